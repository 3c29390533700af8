import { once } from 'node:events';
import { createServer as createHttpServer } from 'node:http';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import BlockedDaemon from '../../stand-in/BlockedDaemon';
import type { Address } from '../common/Types';
import probeDaemon from './probeDaemon';

const BLOCKED_MS = 400;

async function addressOf(server: Server): Promise<Address> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
}

test('a daemon that accepts but does not respond is silent; one that has exited is unreachable', async () => {
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

test('a stall of the probing process does not make a daemon unreachable', async () => {
  const sound = createHttpServer((_request, response) => response.writeHead(204).end());
  const probe = probeDaemon(await addressOf(sound));
  const until = performance.now() + BLOCKED_MS;
  while (performance.now() < until);
  assert.is.not(await probe, 'unreachable');
  sound.close();
});

test('a daemon whose accept queue is full is unconnected; one that has exited is unreachable', async () => {
  const blocked = await BlockedDaemon.start();
  const results = [await probeDaemon(blocked.address)];
  blocked.release();
  do results.push(await probeDaemon(blocked.address));
  while (results.at(-1) !== 'answers');
  await blocked.dispose();
  results.push(await probeDaemon(blocked.address));
  assert.equal([results[0], ...results.slice(-2)], ['unconnected', 'answers', 'unreachable']);
});

test('a daemon that responds with another status, or closes the connection, is silent', async () => {
  const older = createHttpServer((_request, response) => response.writeHead(404).end());
  const full = createServer((socket) => socket.destroy());
  const results = [
    await probeDaemon(await addressOf(older)),
    await probeDaemon(await addressOf(full)),
  ];
  older.close();
  full.close();
  assert.equal(results, ['silent', 'silent']);
});

test.run();
