import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Address } from '../common/Types';
import CancelSource from './CancelSource';
import exchange from './exchange';
import UpstreamConnections from './UpstreamConnections';

const BODY = 'x'.repeat(10_000);
const UNFRAMED = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';
const TIMEOUT_MS = 5_000;

/** Asks an upstream that answers the bytes and then ends the connection as told. */
async function ask(head: string, end: (socket: Socket) => void, delayMs = 20): Promise<string> {
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
  const bounds = { connections: 1, connectMs: TIMEOUT_MS, keepAliveMs: TIMEOUT_MS };
  const connections = new UpstreamConnections(address, bounds);
  try {
    const answer = await exchange({
      dispatcher: connections.pool,
      origin: `http://${address}`,
      request: { method: 'GET', path: '/', requestId: undefined, headers: [], body: null },
      headers: ['host', 'x'],
      headTimeoutMs: TIMEOUT_MS,
      bodyTimeoutMs: TIMEOUT_MS,
      signal: new CancelSource(),
      endedInOrder: () => connections.endedInOrder(),
      meterOfHead: () => connections.meterOfHead,
    });
    let bytes = 0;
    const write = (chunk: Buffer) => {
      bytes += chunk.length;
      return true;
    };
    const verdict = await answer.pipe({ write, onDrain: () => undefined }).then(
      () => 'whole',
      () => 'broken',
    );
    return `${verdict} ${bytes}`;
  } finally {
    connections.destroy();
    server.close();
  }
}

test('an answer that ends with its connection is whole only where that ends in order', async () => {
  const framed = `HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ${2 * BODY.length}\r\n\r\n`;
  const rows = [
    `unframed, ended: ${await ask(UNFRAMED, (socket) => socket.end())}`,
    `unframed, reset: ${await ask(UNFRAMED, (socket) => socket.resetAndDestroy())}`,
    `unframed, ended at once: ${await ask(UNFRAMED, (socket) => socket.end(), 0)}`,
    `unframed, reset at once: ${await ask(UNFRAMED, (socket) => socket.resetAndDestroy(), 0)}`,
    `framed, ended: ${await ask(framed, (socket) => socket.end())}`,
    `framed, reset: ${await ask(framed, (socket) => socket.resetAndDestroy())}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `unframed, ended: whole 10000
unframed, reset: broken 10000
unframed, ended at once: whole 10000
unframed, reset at once: broken 10000
framed, ended: broken 10000
framed, reset: broken 10000`,
  );
});

test.run();
