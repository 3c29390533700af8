/** Sends requests as a client does, each on a connection of its own, and tells how each ended. */
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { request as sendRequest } from 'node:http';

let lastId = 0;

/** An id that no other request of this run has. */
export function nextId(prefix) {
  lastId += 1;
  return `${prefix}-${lastId}`;
}

/**
 * Sends a request and waits for the end of its answer.
 *
 * @returns `kind`: `answer` (complete), `cut` (began and broke off), `closed` (the connection ended without an
 * answer) or `left` (the client's deadline passed); and `atMs`, the time that it took.
 */
export function send({ host, port }, { id, path, method, headers, body, deadlineMs }) {
  const startedAt = performance.now();
  return new Promise((resolve) => {
    let settled = false;
    let timer;
    let bytes = 0;
    const settle = (kind, response) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      const atMs = Math.round(performance.now() - startedAt);
      const { statusCode: status, headers: answered = {} } = response ?? {};
      resolve({ id, kind, status, headers: answered, bytes, atMs });
    };
    const request = sendRequest(
      {
        host,
        port,
        path,
        method,
        agent: false,
        headers: {
          ...headers,
          'azurestream-attempt-id': id,
          'azurestream-deadline-ms': deadlineMs,
        },
      },
      (response) => {
        response.on('data', (chunk) => {
          bytes += chunk.length;
        });
        response.on('end', () => settle(response.complete ? 'answer' : 'cut', response));
        response.on('error', () => settle('cut', response));
      },
    );
    request.on('error', () => settle('closed'));
    timer = setTimeout(() => {
      settle('left');
      request.destroy();
    }, deadlineMs);
    request.end(body);
  });
}
