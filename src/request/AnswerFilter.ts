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
const HTTP_START = 'HTTP/';
/** Ends lines for some parsers only. */
const BARE_LINE_FEED = /(?:^|[^\r])\n/;
/** Lowest status of a final response. */
const MIN_FINAL_STATUS = 200;

/**
 * Removes the responses of other requests from the bytes of a connection to an upstream. The HTTP client
 * would take the first response for that of the request in progress, while the request's own response
 * may follow on the same connection.
 *
 * Each byte is looked at once, however many responses the bytes hold and in whatever parts they arrive.
 * Bytes are held back only until the head of a response is complete. What isn't certain to be the
 * response of another request is passed on unchanged.
 */
export default class AnswerFilter {
  /** Id of the request whose response is awaited; `undefined` if bytes are passed on unchanged. */
  private awaitedId: RequestId | undefined;

  private readonly held = new GrowingBuffer();

  /** Number of held bytes at the start of which no head ends. */
  private searchedBytes = 0;

  /** Scans the response of another request at the start of the held bytes; `undefined` before its head. */
  private foreign: ResponseScanner | undefined;

  /**
   * @param idHeader - Name of the header that echoes the request id, in lower case.
   * @param onForeignAnswer - Called with the id of each response that is removed.
   * @param onEndlessHead - Called if a head is longer than the HTTP client accepts; it must close the
   * connection. The client itself would raise an error for each further header.
   */
  public constructor(
    private readonly idHeader: string,
    private readonly onForeignAnswer: (echoedId: string) => void,
    private readonly onEndlessHead: () => void,
  ) {}

  /** @param id - Id of the request whose response comes next; `undefined` if it has none. */
  public awaitAnswer(id: RequestId | undefined): void {
    this.awaitedId = id;
  }

  /**
   * @param chunk - Bytes received on the connection.
   * @returns Bytes for the HTTP client; `undefined` if more must be received first.
   */
  public filter(chunk: Buffer): Buffer | undefined {
    if (this.awaitedId === undefined) return chunk;
    this.held.append(chunk);
    const passed: Buffer[] = [];
    while (this.awaitedId !== undefined && this.held.length > 0) {
      const passedBytes = this.examine(this.awaitedId);
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
  private examine(awaitedId: RequestId): number | undefined {
    if (this.foreign) return this.examineForeign(this.foreign);
    const { bytes } = this.held;
    const headEnd = bytes.indexOf(HEAD_END, Math.max(0, this.searchedBytes - HEAD_END.length));
    if (headEnd < 0) {
      this.searchedBytes = bytes.length;
      const start = bytes.toString('latin1', 0, HTTP_START.length);
      if (!HTTP_START.startsWith(start)) return this.passAll();
      if (bytes.length > MAX_HELD_BYTES) this.onEndlessHead();
      return undefined;
    }
    const head = bytes.toString('latin1', 0, headEnd);
    if (head.includes(awaitedId) || BARE_LINE_FEED.test(head)) return this.passAll();
    const headBytes = headEnd + HEAD_END.length;
    if (INTERIM_HEAD.test(head)) return headBytes;
    const scanner = new ResponseScanner(this.idHeader);
    scanner.scan(bytes.subarray(0, headBytes));
    if (!scanner.head || scanner.head.status < MIN_FINAL_STATUS) return this.passAll();
    if (scanner.head.echoedId === undefined || !scanner.head.isDelimited) return this.passAll();
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
    this.awaitedId = undefined;
    return this.held.length;
  }
}
