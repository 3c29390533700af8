import { once } from 'node:events';
import { get, type IncomingMessage } from 'node:http';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import * as assert from 'uvu/assert';
import { test } from 'uvu';
import Fleet, { eventually } from '../stand-in/Fleet';
import {
  publish,
  scenario,
  startDaemons,
  waitUntilInForce,
  writeFolder,
  type DaemonProcess,
} from './support';

const CALLS = 20;
/** What a daemon may use, from the size to design for. */
const MAX_RESIDENT_BYTES = 256e6;
const ANNOUNCE_MS = 500;
const FOLDER = {
  '10-stock.toml': `[service.stock]\nslots = ${CALLS}\n[route.stock]\nservice = "stock"\npath = "/"\ntimeout = "2s"\nretries = 0\n`,
};
const HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const SMALL_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(5_000));

/** An upstream that answers calls for `/sound`, and all others with small chunks without end. */
class EndlessUpstream {
  /** Connections on which chunks are sent. */
  public readonly endless = new Set<Socket>();

  private readonly server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (request) => {
      const isSound = request.includes('/sound');
      if (isSound) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
      else this.send(socket);
    });
  });

  private timer: NodeJS.Timeout | undefined;

  public async announce({ ready }: DaemonProcess): Promise<void> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    const terms = { service: 'stock', address, state: 'serving', healthy: true, slots: CALLS };
    const say = () =>
      fetch(`http://${ready.listening.control}/upstream`, {
        method: 'PUT',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(terms),
      }).catch(() => undefined);
    await say();
    this.timer = setInterval(() => void say(), ANNOUNCE_MS);
  }

  public close(): void {
    clearInterval(this.timer);
    this.server.close();
  }

  private send(socket: Socket): void {
    this.endless.add(socket);
    socket.on('close', () => this.endless.delete(socket));
    const goOn = () => {
      if (socket.destroyed) return;
      if (socket.write(SMALL_CHUNKS)) setImmediate(goOn);
      else socket.once('drain', goOn);
    };
    socket.write(HEAD);
    goOn();
  }
}

/** Takes an answer's body once it may, and says what came of it. */
async function endOf(answer: IncomingMessage, mayRead: Promise<void>): Promise<string> {
  if (answer.statusCode !== 200) {
    answer.resume();
    return 'refused';
  }
  const ended = new Promise<string>((resolve) => {
    answer.on('error', () => resolve('broken'));
    answer.on('end', () => resolve(answer.complete ? 'whole' : 'broken'));
  });
  await mayRead;
  answer.resume();
  return ended;
}

function call(entry: DaemonProcess, path: string, mayRead = Promise.resolve()): Promise<string> {
  return new Promise((resolve) => {
    get(`http://${entry.ready.listening.calls}${path}`, { agent: false }, (answer) => {
      void endOf(answer, mayRead).then(resolve);
    }).on('error', () => resolve('broken'));
  });
}

async function dumpOf({ ready }: DaemonProcess) {
  const answer = await fetch(`http://${ready.listening.control}/dump`);
  return (await answer.json()) as {
    memory: { residentBytes: number };
    upstream: { running: number } | undefined;
  };
}

/** Calls an endless upstream through the daemon chosen, half of the callers reading nothing at first. */
async function flood(choose: (daemons: readonly DaemonProcess[]) => DaemonProcess) {
  const fleet = new Fleet();
  const upstream = new EndlessUpstream();
  try {
    await fleet.startLog();
    const daemons = await startDaemons(fleet, ['coq', 'coq']);
    await publish(fleet, writeFolder(fleet, 'folder', FOLDER));
    await waitUntilInForce(0, daemons);
    await upstream.announce(daemons[1]!);
    const entry = choose(daemons);
    await eventually('a sound call', async () => (await call(entry, '/sound')) === 'whole');
    let release = () => undefined as void;
    const released = new Promise<void>((resolve) => {
      release = resolve;
    });
    const ends = Array.from({ length: CALLS }, (_, index) =>
      call(entry, '/endless', index % 2 === 0 ? released : undefined),
    );
    let residentBytes = 0;
    let seen = false;
    await eventually('the upstream is left', async () => {
      const dumps = await Promise.all(daemons.map(dumpOf));
      residentBytes = Math.max(residentBytes, ...dumps.map(({ memory }) => memory.residentBytes));
      seen ||= upstream.endless.size > 0;
      return seen && upstream.endless.size === 0 && dumps[1]!.upstream?.running === 0;
    });
    release();
    const whole = (await Promise.all(ends)).filter((end) => end === 'whole').length;
    await eventually(
      'a sound call after all',
      async () => (await call(entry, '/sound')) === 'whole',
    );
    const megabytes = Math.round(residentBytes / 1e6);
    assert.ok(residentBytes < MAX_RESIDENT_BYTES, `a daemon used ${megabytes} MB`);
    return `${ends.length} ended, ${whole} whole`;
  } finally {
    upstream.close();
    await fleet.dispose();
  }
}

scenario('small chunks without end through two daemons keep their memory bounded', async () => {
  assert.is(await flood(([first]) => first!), `${CALLS} ended, 0 whole`);
});

scenario('small chunks without end through one daemon keep its memory bounded', async () => {
  assert.is(await flood(([, second]) => second!), `${CALLS} ended, 0 whole`);
});

test.run();
