import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Address } from '../common/Types';
import AnswerMatcher from './AnswerMatcher';
import CancelController from './CancelController';
import DEFAULT_HEADER_NAMES from './defaultHeaderNames';
import exchange from './exchange';
import UpstreamConnections from './UpstreamConnections';

const BODY = 'x'.repeat(10_000);
const NO_LENGTH = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';
const TIMEOUT_MS = 5_000;

/**
 * Sends a request to an upstream that writes a head and a body and then ends its connection.
 *
 * @returns Whether the body was whole or broken, and its received bytes.
 */
async function readBody(
  head: string,
  end: (socket: Socket) => void,
  delayMs = 20,
): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(head + BODY, () => {
        if (delayMs === 0) end(socket);
        else setTimeout(() => end(socket), delayMs);
      });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
  const options = {
    connections: 1,
    connectMs: TIMEOUT_MS,
    keepAliveMs: TIMEOUT_MS,
    idHeader: DEFAULT_HEADER_NAMES.requestId,
  };
  const connections = new UpstreamConnections(address, options);
  try {
    const { answer } = await exchange({
      connections,
      matcher: new AnswerMatcher(DEFAULT_HEADER_NAMES),
      origin: `http://${address}`,
      request: { method: 'GET', path: '/', requestId: undefined, headers: [], body: null },
      headers: ['host', 'x'],
      headTimeoutMs: TIMEOUT_MS,
      bodyTimeoutMs: TIMEOUT_MS,
      signal: new CancelController(),
    });
    let bytes = 0;
    const write = (chunk: Buffer) => {
      bytes += chunk.length;
      return true;
    };
    const result = await answer.pipe({ write, onDrain: () => undefined }).then(
      () => 'whole',
      () => 'broken',
    );
    return `${result} ${bytes}`;
  } finally {
    connections.destroy();
    server.close();
  }
}

test('a close-delimited body is whole only if its connection is closed gracefully, not reset', async () => {
  const withLength = `HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ${2 * BODY.length}\r\n\r\n`;
  const rows = [
    `no length, ended: ${await readBody(NO_LENGTH, (socket) => socket.end())}`,
    `no length, reset: ${await readBody(NO_LENGTH, (socket) => socket.resetAndDestroy())}`,
    `no length, ended immediately: ${await readBody(NO_LENGTH, (socket) => socket.end(), 0)}`,
    `no length, reset immediately: ${await readBody(NO_LENGTH, (socket) => socket.resetAndDestroy(), 0)}`,
    `length, ended: ${await readBody(withLength, (socket) => socket.end())}`,
    `length, reset: ${await readBody(withLength, (socket) => socket.resetAndDestroy())}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `no length, ended: whole 10000
no length, reset: broken 10000
no length, ended immediately: whole 10000
no length, reset immediately: broken 10000
length, ended: broken 10000
length, reset: broken 10000`,
  );
});

test('requests in progress and waiting ones fail when the connections are destroyed', async () => {
  const server = createServer((socket) => socket.on('error', () => undefined));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
  const rejections: unknown[] = [];
  const onRejection = (reason: unknown) => rejections.push(reason);
  process.on('unhandledRejection', onRejection);
  const connections = new UpstreamConnections(address, {
    connections: 1,
    connectMs: TIMEOUT_MS,
    keepAliveMs: TIMEOUT_MS,
    idHeader: DEFAULT_HEADER_NAMES.requestId,
  });
  const results = ['/running', '/waiting'].map((path) =>
    exchange({
      connections,
      matcher: new AnswerMatcher(DEFAULT_HEADER_NAMES),
      origin: `http://${address}`,
      request: { method: 'GET', path, requestId: undefined, headers: [], body: null },
      headers: ['host', 'x'],
      headTimeoutMs: TIMEOUT_MS,
      bodyTimeoutMs: TIMEOUT_MS,
      signal: new CancelController(),
    }).then(
      () => 'answered',
      (error: Error) => error.name,
    ),
  );
  await new Promise((resolve) => {
    server.once('connection', resolve);
  });
  connections.destroy();
  assert.equal(await Promise.all(results), ['ExchangeError', 'ExchangeError']);
  for (let turn = 0; turn < 5; turn += 1) await new Promise(setImmediate);
  process.off('unhandledRejection', onRejection);
  server.close();
  assert.equal(rejections, []);
});

test.run();
