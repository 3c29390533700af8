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

/** Sends bytes as they are and returns the status line and the outcome. */
async function send(address: string, lines: string): Promise<string> {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  socket.write(lines);
  const answer = await text(socket);
  const status = answer.split('\r\n')[0]!.replace('HTTP/1.1 ', '');
  const outcome = /x-azurestream-outcome: (\S+)/i.exec(answer)?.[1] ?? 'none';
  return `${status}, ${outcome}`;
}

const HOST = 'Host: mesh\r\n';
const CLOSE = 'Connection: close\r\n';

const SHAPES: Readonly<Record<string, string>> = {
  'well formed': `GET /stock HTTP/1.1\r\n${HOST}${CLOSE}\r\n`,
  'body in chunks': `POST /stock HTTP/1.1\r\n${HOST}${CLOSE}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`,
  'both lengths': `POST /stock HTTP/1.1\r\n${HOST}${CLOSE}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'two lengths': `POST /stock HTTP/1.1\r\n${HOST}${CLOSE}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd`,
  'length that is no number': `POST /stock HTTP/1.1\r\n${HOST}${CLOSE}Content-Length: +3\r\n\r\nabc`,
  'bare line feeds': `GET /stock HTTP/1.1\nHost: mesh\n\n`,
  'no Host': `GET /stock HTTP/1.1\r\n${CLOSE}\r\n`,
  'Host twice': `GET /stock HTTP/1.1\r\n${HOST}Host: other\r\n${CLOSE}\r\n`,
  'folded header': `GET /stock HTTP/1.1\r\n${HOST}X-A: b\r\n c\r\n${CLOSE}\r\n`,
  'space before the colon': `GET /stock HTTP/1.1\r\n${HOST}Content-Length : 3\r\n${CLOSE}\r\nabc`,
  'unknown coding': `POST /stock HTTP/1.1\r\n${HOST}${CLOSE}Transfer-Encoding: xchunked\r\n\r\nabc`,
  'absolute target': `GET http://other/stock HTTP/1.1\r\n${HOST}${CLOSE}\r\n`,
  'headers too large': `GET /stock HTTP/1.1\r\n${HOST}X-Large: ${'a'.repeat(20_000)}\r\n${CLOSE}\r\n`,
  'body too large': `POST /stock HTTP/1.1\r\n${HOST}${CLOSE}Content-Length: 99999999\r\n\r\n`,
  'body too large, in chunks': `POST /stock HTTP/1.1\r\n${HOST}${CLOSE}Transfer-Encoding: chunked\r\n\r\n200000\r\n${'a'.repeat(2 ** 20 + 1)}`,
  'no HTTP': `hello\r\n\r\n`,
  'no route': `GET /nothing HTTP/1.1\r\n${HOST}${CLOSE}\r\n`,
};

test('requests that two servers could read in two ways are refused as not run', async () => {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const daemons = await startDaemons(fleet, ['coq']);
    await fleet.startUpstream('stock', daemons[0]!);
    await publish(fleet, writeFolder(fleet, 'folder', configurationFiles(['stock'], 'first')));
    await waitUntilInForce(0, daemons);
    const { calls } = daemons[0]!.ready.listening;
    await eventually(
      'the upstream serves',
      async () => (await fetch(`http://${calls}/stock`)).status === 200,
    );
    const lines: string[] = [];
    for (const [name, shape] of Object.entries(SHAPES)) {
      lines.push(`${name}: ${await send(calls, shape)}`);
    }
    assert.snapshot(
      lines.join('\n'),
      `well formed: 200 OK, answered
body in chunks: 200 OK, answered
both lengths: 400 Bad Request, not-run
two lengths: 400 Bad Request, not-run
length that is no number: 400 Bad Request, not-run
bare line feeds: 400 Bad Request, not-run
no Host: 400 Bad Request, not-run
Host twice: 400 Bad Request, not-run
folded header: 400 Bad Request, not-run
space before the colon: 400 Bad Request, not-run
unknown coding: 400 Bad Request, not-run
absolute target: 400 Bad Request, not-run
headers too large: 431 Request Header Fields Too Large, not-run
body too large: 413 Payload Too Large, not-run
body too large, in chunks: 413 Payload Too Large, not-run
no HTTP: 400 Bad Request, not-run
no route: 404 Not Found, not-run`,
    );
  } finally {
    await fleet.dispose();
  }
});

test.run();
