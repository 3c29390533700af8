import type { IncomingMessage } from 'node:http';
import type { RequestId } from '../common/Types';
import { forwardedRequestHeaders } from './callHeaders';
import RequestError from './RequestError';
import type { CallRequest, HeaderNames } from './Types';

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

async function readBody(message: IncomingMessage, maxBytes: number): Promise<Buffer | null> {
  const { 'content-length': length, 'transfer-encoding': coding } = message.headers;
  if (length === undefined && coding === undefined) return null;
  if (Number(length) > maxBytes) {
    throw new RequestError(413, `a body of ${length} bytes, at most ${maxBytes}`);
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    // Leaving this loop early must not destroy the request: that would close the caller's
    // connection, and the responses to earlier requests on it would be lost.
    for await (const chunk of message.iterator({ destroyOnReturn: false })) {
      bytes += (chunk as Buffer).length;
      if (bytes > maxBytes) break;
      chunks.push(chunk as Buffer);
    }
  } catch (error) {
    throw new RequestError(400, `the body broke off: ${(error as Error).message}`);
  }
  if (bytes > maxBytes) throw new RequestError(413, `a body of more than ${maxBytes} bytes`);
  return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}

/**
 * Reads a request with its complete body into memory, so that it can be sent more than once.
 *
 * @param message - The request as received.
 * @param maxBytes - Largest allowed body, in bytes.
 * @param names - Names of the headers that callers use.
 * @returns The request without hop-by-hop headers.
 * @throws RequestError - The request is malformed, or its body is too large or truncated.
 */
export default async function readRequest(
  message: IncomingMessage,
  maxBytes: number,
  names: HeaderNames,
): Promise<CallRequest> {
  rejectAmbiguous(message);
  const requestId = message.headers[names.requestId];
  return {
    method: message.method!,
    path: message.url!,
    requestId: typeof requestId === 'string' ? (requestId as RequestId) : undefined,
    headers: forwardedRequestHeaders(message.rawHeaders, message.headers.connection, names),
    body: await readBody(message, maxBytes),
  };
}
