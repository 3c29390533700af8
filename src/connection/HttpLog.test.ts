import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Address, Offset } from '../common/Types';
import HttpLog from './HttpLog';
import LogUnavailableError from './LogUnavailableError';
import SocketMeter from './SocketMeter';

/** Parts and pause of a response that takes longer than a log has for the first part of one. */
const PARTS = 13;
const PAUSE_MS = 500;

/** Runs a log service that answers every read by a function. */
async function withLog(
  answer: (response: ServerResponse) => void,
  use: (log: HttpLog) => Promise<void>,
): Promise<void> {
  const server = createServer((_request, response) => answer(response));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const log = new HttpLog(`127.0.0.1:${port}` as Address, '', new SocketMeter());
  try {
    await use(log);
  } finally {
    log.dispose();
    server.close();
    server.closeAllConnections();
  }
}

async function sendSlowly(response: ServerResponse): Promise<void> {
  const records = Array.from({ length: PARTS }, (_, offset) => ({ offset, data: 'record' }));
  response.write(`{"earliest":0,"next":${PARTS},"records":[`);
  for (const [index, record] of records.entries()) {
    await delay(PAUSE_MS);
    response.write(`${index > 0 ? ',' : ''}${JSON.stringify(record)}`);
  }
  response.end(']}');
}

test('a read whose records arrive slowly is read to its end', async () => {
  await withLog(
    (response) => void sendSlowly(response),
    async (log) => {
      const { records } = await log.read(
        'configuration',
        0 as Offset,
        0,
        new AbortController().signal,
      );
      assert.is(records.length, PARTS);
    },
  );
});

test('an unexpected body of an expired read is an error that the reader retries', async () => {
  await withLog(
    (response) => {
      response.writeHead(410);
      response.end('{"earliest":"soon"}');
    },
    async (log) => {
      const error = await log
        .read('configuration', 0 as Offset, 0, new AbortController().signal)
        .catch((reason: unknown) => reason);
      assert.instance(error, LogUnavailableError);
    },
  );
});

test.run();
