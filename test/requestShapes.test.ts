import { connect } from 'node:net';
import { text } from 'node:stream/consumers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Fleet, { eventually } from '../stand-in/Fleet';
import {
  configurationFiles,
  publish,
  startDaemons,
  waitUntilInForce,
  writeFolder,
} from './support';

/**
 * Sends bytes unchanged on a new connection and reads until the daemon closes it.
 *
 * @param address - Address for calls of a daemon, `host:port`.
 * @param bytes - Request as it goes over the wire.
 * @returns Status and reason phrase of the first response and its outcome, `none` without one.
 */
async function exchangeRaw(address: string, bytes: string): Promise<string> {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  socket.write(bytes);
  const answer = await text(socket);
  const status = answer.split('\r\n')[0]!.replace('HTTP/1.1 ', '');
  const outcome = /x-azurestream-outcome: (\S+)/i.exec(answer)?.[1] ?? 'none';
  return `${status}, ${outcome}`;
}

const HOST = 'Host: mesh\r\n';
const CLOSE = 'Connection: close\r\n';

/** Raw HTTP requests, by a short description; most are malformed, ambiguous or too large. */
const REQUESTS: Readonly<Record<string, string>> = {
  'well formed': `GET /stock HTTP/1.1\r\n${HOST}${CLOSE}\r\n`,
  'chunked body': `POST /stock HTTP/1.1\r\n${HOST}${CLOSE}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`,
  'Content-Length and Transfer-Encoding': `POST /stock HTTP/1.1\r\n${HOST}${CLOSE}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'two Content-Length headers': `POST /stock HTTP/1.1\r\n${HOST}${CLOSE}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd`,
  'Content-Length that is not a number': `POST /stock HTTP/1.1\r\n${HOST}${CLOSE}Content-Length: +3\r\n\r\nabc`,
  'bare line feeds': `GET /stock HTTP/1.1\nHost: mesh\n\n`,
  'no Host header': `GET /stock HTTP/1.1\r\n${CLOSE}\r\n`,
  'two Host headers': `GET /stock HTTP/1.1\r\n${HOST}Host: other\r\n${CLOSE}\r\n`,
  'folded header': `GET /stock HTTP/1.1\r\n${HOST}X-A: b\r\n c\r\n${CLOSE}\r\n`,
  'space before the colon': `GET /stock HTTP/1.1\r\n${HOST}Content-Length : 3\r\n${CLOSE}\r\nabc`,
  'unknown transfer coding': `POST /stock HTTP/1.1\r\n${HOST}${CLOSE}Transfer-Encoding: xchunked\r\n\r\nabc`,
  'absolute target': `GET http://other/stock HTTP/1.1\r\n${HOST}${CLOSE}\r\n`,
  'headers too large': `GET /stock HTTP/1.1\r\n${HOST}X-Large: ${'a'.repeat(20_000)}\r\n${CLOSE}\r\n`,
  'body too large': `POST /stock HTTP/1.1\r\n${HOST}${CLOSE}Content-Length: 99999999\r\n\r\n`,
  'chunked body too large': `POST /stock HTTP/1.1\r\n${HOST}${CLOSE}Transfer-Encoding: chunked\r\n\r\n200000\r\n${'a'.repeat(2 ** 20 + 1)}`,
  'not HTTP': `hello\r\n\r\n`,
  'path without a route': `GET /nothing HTTP/1.1\r\n${HOST}${CLOSE}\r\n`,
};

test('malformed, ambiguous and oversized requests are refused as not run', async () => {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const daemons = await startDaemons(fleet, ['coq']);
    await fleet.startUpstream('stock', daemons[0]!);
    await publish(fleet, writeFolder(fleet, 'folder', configurationFiles(['stock'], 'first')));
    await waitUntilInForce(0, daemons);
    const { calls } = daemons[0]!.ready.listening;
    await eventually(
      'a call to the upstream is answered',
      async () => (await fetch(`http://${calls}/stock`)).status === 200,
    );
    const lines: string[] = [];
    for (const [name, request] of Object.entries(REQUESTS)) {
      lines.push(`${name}: ${await exchangeRaw(calls, request)}`);
    }
    assert.snapshot(
      lines.join('\n'),
      `well formed: 200 OK, answered
chunked body: 200 OK, answered
Content-Length and Transfer-Encoding: 400 Bad Request, not-run
two Content-Length headers: 400 Bad Request, not-run
Content-Length that is not a number: 400 Bad Request, not-run
bare line feeds: 400 Bad Request, not-run
no Host header: 400 Bad Request, not-run
two Host headers: 400 Bad Request, not-run
folded header: 400 Bad Request, not-run
space before the colon: 400 Bad Request, not-run
unknown transfer coding: 400 Bad Request, not-run
absolute target: 400 Bad Request, not-run
headers too large: 431 Request Header Fields Too Large, not-run
body too large: 413 Payload Too Large, not-run
chunked body too large: 413 Payload Too Large, not-run
not HTTP: 400 Bad Request, not-run
path without a route: 404 Not Found, not-run`,
    );
  } finally {
    await fleet.dispose();
  }
});

test.run();
