import { HTTPParser } from 'http-parser-js';
import ScanEndError from './ScanEndError';

/** What the head of a response says. */
export interface ResponseHead {
  readonly status: number;
  /** The request id that it echoes, if any. */
  readonly echoedId: string | undefined;
  /** Whether the head tells for certain where the response ends. */
  readonly isDelimited: boolean;
}

/** A single object, as collecting the stack for each response would cost more than parsing it. */
const SCAN_END = new ScanEndError();

/** The position of the parser in the bytes that it parses, which its typings leave out. */
interface ParserPosition {
  readonly offset: number;
}

/** The value of a header in a list of alternating names and values. */
function valueOf(headers: readonly string[], name: string): string | undefined {
  const index = headers.findIndex(
    (text, position) => position % 2 === 0 && text.toLowerCase() === name,
  );
  return index < 0 ? undefined : headers[index + 1];
}

/** Finds the end of one response whose bytes arrive in parts; each byte is parsed once. */
export default class ResponseScanner {
  private readonly parser = new HTTPParser(HTTPParser.RESPONSE);

  private scannedBytes = 0;

  private responseHead: ResponseHead | undefined;

  private responseLength: number | undefined;

  /** @param idHeader - Name of the header that echoes the request id, in lower case. */
  public constructor(idHeader: string) {
    const { parser } = this;
    parser[HTTPParser.kOnBody] = () => undefined;
    parser[HTTPParser.kOnHeaders] = () => undefined;
    parser[HTTPParser.kOnHeadersComplete] = ({ statusCode, headers }) => {
      const hasLength = valueOf(headers, 'content-length') !== undefined;
      const hasCoding = valueOf(headers, 'transfer-encoding') !== undefined;
      this.responseHead ??= {
        status: Number(statusCode),
        echoedId: valueOf(headers, idHeader),
        isDelimited: hasLength !== hasCoding,
      };
    };
    parser[HTTPParser.kOnMessageComplete] = () => {
      this.responseLength = this.scannedBytes + (parser as unknown as ParserPosition).offset;
      // The parser has no other means to stop before it parses what follows.
      throw SCAN_END;
    };
  }

  /** What the head says; `undefined` if it isn't complete or can't be parsed. */
  public get head(): ResponseHead | undefined {
    return this.responseHead;
  }

  /** Number of bytes of the response; `undefined` as long as its end wasn't scanned. */
  public get length(): number | undefined {
    return this.responseLength;
  }

  /** @param bytes - All bytes received so far, from the first of the response on. */
  public scan(bytes: Buffer): void {
    const added = bytes.subarray(this.scannedBytes);
    if (added.length === 0 || this.responseLength !== undefined) return;
    try {
      this.parser.execute(added);
    } catch (error) {
      if (error !== SCAN_END) throw error;
    }
    this.scannedBytes += added.length;
  }
}
