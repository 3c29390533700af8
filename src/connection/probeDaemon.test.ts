import { once } from 'node:events';
import { createServer as createHttpServer } from 'node:http';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Address } from '../common/Types';
import probeDaemon from './probeDaemon';

const BLOCKED_MS = 400;

async function addressOf(server: Server): Promise<Address> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
}

test('a daemon that takes the connection and does not answer is told from one that has ended', async () => {
  const busy = createServer((socket) => socket.resume().on('error', () => undefined));
  const sound = createHttpServer((_request, response) => response.writeHead(204).end());
  const busyAddress = await addressOf(busy);
  const soundAddress = await addressOf(sound);
  const results = [await probeDaemon(soundAddress), await probeDaemon(busyAddress)];
  const closed = once(busy, 'close');
  busy.close();
  await closed;
  results.push(await probeDaemon(busyAddress));
  sound.close();
  assert.equal(results, ['answers', 'silent', 'unreachable']);
});

test('a daemon is not unreachable because the one that asks was held up', async () => {
  const sound = createHttpServer((_request, response) => response.writeHead(204).end());
  const probe = probeDaemon(await addressOf(sound));
  const until = performance.now() + BLOCKED_MS;
  while (performance.now() < until);
  assert.is.not(await probe, 'unreachable');
  sound.close();
});

test.run();
