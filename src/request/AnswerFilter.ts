import type { RequestId } from '../common/Types';
import GrowingBuffer from './GrowingBuffer';
import ResponseScanner from './ResponseScanner';

/**
 * Most bytes that are held back, in bytes. A longer response is left to the HTTP client, which ends
 * the connection if it belongs to another request.
 */
const MAX_HELD_BYTES = 48 * 1024;
/** Start of an interim response, which has no body; 101 starts another protocol. */
const INTERIM_HEAD = /^HTTP\/1\.[01] 1(?!01)\d\d\b/;
const HEAD_END = '\r\n\r\n';
/**
 * Status lines that the HTTP client may receive: HTTP/1.0 or 1.1 with a final status or an interim one
 * other than 101, as no request asks for another protocol. The client itself takes a status from 600 on
 * and the versions 0.9 and 2.0, and fails an assertion on a status below 100 and on 101.
 */
const STATUS_LINE = /^HTTP\/1\.[01] (?:1(?!01)|[2-5])\d\d(?: |\r?\n)/;
/** Length of a status line without a reason phrase, in bytes. */
const STATUS_LINE_BYTES = 'HTTP/1.1 200\r\n'.length;
/** Starts of the status lines that the HTTP client parses. */
const PARSED_STARTS = ['HTTP/', 'RTSP/', 'ICE/'];
/** Most bytes of a malformed status line that are reported. */
const MAX_REPORTED_BYTES = 40;
const CARRIAGE_RETURN = 13;
const LINE_FEED = 10;
/** Ends lines for some parsers only. */
const BARE_LINE_FEED = /(?:^|[^\r])\n/;

/** Number of line ends, which parsers skip before a status line. */
function countLineEnds(bytes: Buffer): number {
  const index = bytes.findIndex((byte) => byte !== CARRIAGE_RETURN && byte !== LINE_FEED);
  return index < 0 ? bytes.length : index;
}

/** Whether bytes may be the start of a status line that the HTTP client would parse. */
function mayBeStatusLine(bytes: Buffer): boolean {
  return PARSED_STARTS.some((start) => start.startsWith(bytes.toString('latin1', 0, start.length)));
}

/**
 * Checks the status line of each response on a connection to an upstream, and removes the responses of
 * other requests. The HTTP client would take the first response for that of the request in progress, while
 * the request's own response may follow on the same connection.
 *
 * Each byte is looked at once, however many responses the bytes hold and in whatever parts they arrive.
 * Bytes are held back only until the head of a response is complete. What isn't certain to be the
 * response of another request is passed on unchanged. A response with a malformed status line is never
 * passed on: nothing that it says can be trusted, not even that its request didn't run.
 */
export default class AnswerFilter {
  /** Whether the start of a response is awaited; otherwise bytes are passed on unchanged. */
  private isAwaiting = false;

  /** Id of the request whose response is awaited; `undefined` if it has none. */
  private awaitedId: RequestId | undefined;

  private readonly held = new GrowingBuffer();

  /** Number of held bytes at the start of which no head ends. */
  private searchedBytes = 0;

  /** Scans the response of another request at the start of the held bytes; `undefined` before its head. */
  private foreign: ResponseScanner | undefined;

  /**
   * @param idHeader - Name of the header that echoes the request id, in lower case.
   * @param onForeignAnswer - Called with the id of each response that is removed.
   * @param onUnusable - Called with the reason if a status line is malformed, or if a head is longer than
   * the HTTP client accepts, which itself would raise an error for each further header. It must close the
   * connection.
   */
  public constructor(
    private readonly idHeader: string,
    private readonly onForeignAnswer: (echoedId: string) => void,
    private readonly onUnusable: (reason: string) => void,
  ) {}

  /** @param id - Id of the request whose response comes next; `undefined` if it has none. */
  public awaitAnswer(id: RequestId | undefined): void {
    this.awaitedId = id;
    this.isAwaiting = true;
  }

  /**
   * @param chunk - Bytes received on the connection.
   * @returns Bytes for the HTTP client; `undefined` if more must be received first.
   */
  public filter(chunk: Buffer): Buffer | undefined {
    if (!this.isAwaiting) return chunk;
    this.held.append(chunk);
    const passed: Buffer[] = [];
    while (this.isAwaiting && this.held.length > 0) {
      const passedBytes = this.examine();
      if (passedBytes === undefined) break;
      if (passedBytes > 0) passed.push(this.held.bytes.subarray(0, passedBytes));
      this.drop(passedBytes);
    }
    if (passed.length === 0) return undefined;
    return passed.length === 1 ? passed[0] : Buffer.concat(passed);
  }

  /**
   * Examines the response at the start of the held bytes, and removes it if it's another request's.
   *
   * @returns Number of bytes to pass on; `undefined` if the response isn't complete enough to decide.
   */
  private examine(): number | undefined {
    if (this.foreign) return this.examineForeign(this.foreign);
    const { bytes } = this.held;
    const lineEnds = countLineEnds(bytes);
    if (lineEnds > 0) return lineEnds;
    if (!mayBeStatusLine(bytes)) return this.passAll();
    const start = bytes.toString('latin1', 0, STATUS_LINE_BYTES);
    if (start.length < STATUS_LINE_BYTES && !start.includes('\n')) return undefined;
    if (!STATUS_LINE.test(start)) {
      const [line] = bytes.toString('latin1', 0, MAX_REPORTED_BYTES).split('\n', 1);
      const reported = JSON.stringify(line!.trimEnd());
      this.onUnusable(`the status line is malformed: ${reported}`);
      return undefined;
    }
    return this.examineHead(bytes);
  }

  /** Examines a response with a proper status line. */
  private examineHead(bytes: Buffer): number | undefined {
    const { awaitedId } = this;
    const headEnd = bytes.indexOf(HEAD_END, Math.max(0, this.searchedBytes - HEAD_END.length));
    if (headEnd < 0) {
      this.searchedBytes = bytes.length;
      if (bytes.length > MAX_HELD_BYTES) {
        this.onUnusable('the upstream sends bytes of no answer without end');
      }
      return undefined;
    }
    const head = bytes.toString('latin1', 0, headEnd);
    if (BARE_LINE_FEED.test(head)) return this.passAll();
    const headBytes = headEnd + HEAD_END.length;
    if (INTERIM_HEAD.test(head)) return headBytes;
    if (awaitedId === undefined || head.includes(awaitedId)) return this.passAll();
    const scanner = new ResponseScanner(this.idHeader);
    scanner.scan(bytes.subarray(0, headBytes));
    const { head: scanned } = scanner;
    if (scanned?.echoedId === undefined || !scanned.isDelimited) return this.passAll();
    this.foreign = scanner;
    return this.examineForeign(scanner);
  }

  private examineForeign(scanner: ResponseScanner): number | undefined {
    scanner.scan(this.held.bytes);
    const { head, length } = scanner;
    if (length === undefined) {
      return this.held.length > MAX_HELD_BYTES ? this.passAll() : undefined;
    }
    this.drop(length);
    this.onForeignAnswer(head!.echoedId!);
    return 0;
  }

  /** Removes bytes from the start; what follows is another response. */
  private drop(count: number): void {
    this.held.drop(count);
    this.searchedBytes = 0;
    if (count > 0) this.foreign = undefined;
  }

  private passAll(): number {
    this.isAwaiting = false;
    return this.held.length;
  }
}
