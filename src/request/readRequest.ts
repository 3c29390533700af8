import type { IncomingMessage } from 'node:http';
import type { RequestId } from '../common/Types';
import CallError from './CallError';
import { forwardedRequestHeaders } from './callHeaders';
import RequestError from './RequestError';
import type { CallRequest, HeaderNames } from './Types';

/** Size up to which bodies aren't counted, in bytes; their number is bounded by that of the open calls. */
const SMALL_BODY_BYTES = 64 * 1024;

/**
 * Waits until there is memory for a body.
 *
 * @param bytes - Size of its buffer, which a later call may raise.
 * @throws NotRunError - There was none for too long.
 */
export type TakeMemory = (bytes: number) => Promise<void>;

/**
 * Rejects requests that two servers could parse differently (request smuggling). The HTTP parser
 * already rejects bare line feeds and requests with both Content-Length and Transfer-Encoding.
 *
 * @see {@link https://www.rfc-editor.org/rfc/rfc9112#section-11.2}
 */
function rejectAmbiguous(message: IncomingMessage): void {
  let hosts = 0;
  for (let index = 0; index < message.rawHeaders.length; index += 2) {
    if (message.rawHeaders[index]!.toLowerCase() === 'host') hosts += 1;
  }
  if (hosts !== 1) throw new RequestError(400, `${hosts} Host headers, expected one`);
  if (!message.url?.startsWith('/')) throw new RequestError(400, 'the target is no absolute path');
}

/** Collects a body; unless it is small, in one buffer with room for more, as joining its parts doubles it. */
class BodyCollector {
  private readonly parts: Buffer[] = [];

  private storage: Buffer | undefined;

  private bytes = 0;

  /**
   * @param length - Declared length of the body in bytes; `undefined` for a chunked one.
   * @param maxBytes - Upper bound of its size, in bytes.
   * @param takeMemory - Waits until there is memory for the buffer.
   */
  public constructor(
    private readonly length: number | undefined,
    private readonly maxBytes: number,
    private readonly takeMemory: TakeMemory,
  ) {}

  /** The body that was collected. */
  public get body(): Buffer {
    if (this.storage) return this.storage.subarray(0, this.bytes);
    return this.parts.length === 1 ? this.parts[0]! : Buffer.concat(this.parts);
  }

  /** @returns Whether the part was added; otherwise the body is larger than the upper bound. */
  public async add(part: Buffer): Promise<boolean> {
    const bytes = this.bytes + part.length;
    if (bytes > this.maxBytes) return false;
    if (bytes > SMALL_BODY_BYTES) this.storage = await this.reserve(bytes);
    if (this.storage) part.copy(this.storage, this.bytes);
    else this.parts.push(part);
    this.bytes = bytes;
    return true;
  }

  /** Returns a buffer with room for so many bytes that holds what was collected. */
  private async reserve(bytes: number): Promise<Buffer> {
    if (this.storage && bytes <= this.storage.length) return this.storage;
    const capacity = this.length ?? Math.min(2 * bytes, this.maxBytes);
    await this.takeMemory(capacity);
    const collected = this.body;
    const storage = Buffer.allocUnsafeSlow(capacity);
    collected.copy(storage);
    this.parts.length = 0;
    return storage;
  }
}

async function readBody(
  message: IncomingMessage,
  maxBytes: number,
  takeMemory: TakeMemory,
): Promise<Buffer | null> {
  const { 'content-length': length, 'transfer-encoding': coding } = message.headers;
  if (length === undefined && coding === undefined) return null;
  if (Number(length) > maxBytes) {
    throw new RequestError(413, `a body of ${length} bytes, at most ${maxBytes}`);
  }
  const declared = length === undefined ? undefined : Number(length);
  const collector = new BodyCollector(declared, maxBytes, takeMemory);
  let isComplete = true;
  try {
    // Leaving this loop early must not destroy the request: that would close the caller's
    // connection, and the responses to earlier requests on it would be lost.
    for await (const chunk of message.iterator({ destroyOnReturn: false })) {
      isComplete = await collector.add(chunk as Buffer);
      if (!isComplete) break;
    }
  } catch (error) {
    if (error instanceof CallError) throw error;
    throw new RequestError(400, `the body broke off: ${(error as Error).message}`);
  }
  if (!isComplete) throw new RequestError(413, `a body of more than ${maxBytes} bytes`);
  return collector.body;
}

/**
 * Reads a request with its complete body into memory, so that it can be sent more than once.
 *
 * @param message - The request as received.
 * @param maxBytes - Largest allowed body, in bytes.
 * @param names - Names of the headers that callers use.
 * @param takeMemory - Called for a body that isn't small, before the rest of it is read.
 * @returns The request without hop-by-hop headers.
 * @throws RequestError - The request is malformed, or its body is too large or truncated.
 * @throws NotRunError - There is no memory for its body.
 */
export default async function readRequest(
  message: IncomingMessage,
  maxBytes: number,
  names: HeaderNames,
  takeMemory: TakeMemory,
): Promise<CallRequest> {
  rejectAmbiguous(message);
  const requestId = message.headers[names.requestId];
  return {
    method: message.method!,
    path: message.url!,
    requestId: typeof requestId === 'string' ? (requestId as RequestId) : undefined,
    headers: forwardedRequestHeaders(message.rawHeaders, message.headers.connection, names),
    body: await readBody(message, maxBytes, takeMemory),
  };
}
