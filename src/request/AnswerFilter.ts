import { HTTPParser } from 'http-parser-js';
import type { RequestId } from '../common/Types';

/**
 * Most bytes that are held back, in bytes. A longer response is left to the HTTP client, which ends
 * the connection if it belongs to another request.
 */
const MAX_HELD_BYTES = 48 * 1024;
const HEAD_END = '\r\n\r\n';
const HTTP_START = 'HTTP/';
/** Ends lines for some parsers only. */
const BARE_LINE_FEED = /(?:^|[^\r])\n/;
const NO_BYTES = Buffer.alloc(0);
/** Lowest status of a final response. */
const MIN_FINAL_STATUS = 200;

/** A response at the start of received bytes. */
interface Message {
  readonly status: number;
  /** The request id that it echoes, if any. */
  readonly echoedId: string | undefined;
  /** Whether its head tells for certain where it ends. */
  readonly isDelimited: boolean;
  /** Number of its bytes; `undefined` if it isn't whole. */
  readonly length: number | undefined;
}

/** The position of the parser in the bytes that it parses, which its typings leave out. */
interface ParserPosition {
  readonly offset: number;
}

/**
 * Removes the responses of other requests from the bytes of a connection to an upstream. The HTTP client
 * would take the first response for that of the request in progress, while the request's own response
 * may follow on the same connection.
 *
 * Bytes are held back only until the head of a response is complete. What isn't certain to be the
 * response of another request is passed on unchanged.
 */
export default class AnswerFilter {
  /** Id of the request whose response is awaited; `undefined` if bytes are passed on unchanged. */
  private awaitedId: RequestId | undefined;

  private held: Buffer = NO_BYTES;

  /**
   * @param idHeader - Name of the header that echoes the request id, in lower case.
   * @param onForeignAnswer - Called with the id of each response that is removed.
   */
  public constructor(
    private readonly idHeader: string,
    private readonly onForeignAnswer: (echoedId: string) => void,
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
    this.held = this.held.length > 0 ? Buffer.concat([this.held, chunk]) : chunk;
    const passed: Buffer[] = [];
    while (this.awaitedId !== undefined && this.held.length > 0) {
      const passedBytes = this.examine(this.awaitedId);
      if (passedBytes === undefined) break;
      if (passedBytes > 0) passed.push(this.held.subarray(0, passedBytes));
      this.held = this.held.subarray(passedBytes);
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
    const { held } = this;
    const headEnd = held.indexOf(HEAD_END);
    if (headEnd < 0) {
      const start = held.toString('latin1', 0, HTTP_START.length);
      const mayBeHead = HTTP_START.startsWith(start) && held.length <= MAX_HELD_BYTES;
      return mayBeHead ? undefined : this.passAll();
    }
    const head = held.toString('latin1', 0, headEnd);
    if (head.includes(awaitedId) || BARE_LINE_FEED.test(head)) return this.passAll();
    const message = this.parse();
    if (!message) return this.passAll();
    if (message.status < MIN_FINAL_STATUS) return message.length ?? this.passAll();
    if (message.echoedId === undefined || !message.isDelimited) return this.passAll();
    if (message.length === undefined) {
      return held.length > MAX_HELD_BYTES ? this.passAll() : undefined;
    }
    this.held = held.subarray(message.length);
    this.onForeignAnswer(message.echoedId);
    return 0;
  }

  private passAll(): number {
    this.awaitedId = undefined;
    return this.held.length;
  }

  /** Parses the first response in the held bytes. */
  private parse(): Message | undefined {
    const parser = new HTTPParser(HTTPParser.RESPONSE);
    let head: Omit<Message, 'length'> | undefined;
    let length: number | undefined;
    parser[HTTPParser.kOnBody] = () => undefined;
    parser[HTTPParser.kOnHeaders] = () => undefined;
    parser[HTTPParser.kOnHeadersComplete] = ({ statusCode, headers }) => {
      if (head) return;
      const hasLength = AnswerFilter.valueOf(headers, 'content-length') !== undefined;
      const hasCoding = AnswerFilter.valueOf(headers, 'transfer-encoding') !== undefined;
      head = {
        status: Number(statusCode),
        echoedId: AnswerFilter.valueOf(headers, this.idHeader),
        isDelimited: hasLength !== hasCoding,
      };
    };
    parser[HTTPParser.kOnMessageComplete] = () => {
      length ??= (parser as unknown as ParserPosition).offset;
    };
    parser.execute(this.held);
    return head && { ...head, length };
  }

  /** The value of a header in a list of alternating names and values. */
  private static valueOf(headers: readonly string[], name: string): string | undefined {
    const index = headers.findIndex(
      (text, position) => position % 2 === 0 && text.toLowerCase() === name,
    );
    return index < 0 ? undefined : headers[index + 1];
  }
}
