import { once } from 'node:events';
import { get, type IncomingMessage } from 'node:http';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import * as assert from 'uvu/assert';
import { test } from 'uvu';
import Fleet, { eventually } from '../stand-in/Fleet';
import {
  fetchDump,
  publish,
  scenario,
  startDaemons,
  waitUntilInForce,
  writeFolder,
  type DaemonProcess,
} from './support';

const CALLS = 20;
/** Upper bound of the resident memory of a daemon, by its design, in bytes. */
const MAX_RESIDENT_BYTES = 256e6;
const ANNOUNCE_INTERVAL_MS = 500;
const FOLDER = {
  '10-stock.toml': `[service.stock]\nslots = ${CALLS}\n[route.stock]\nservice = "stock"\npath = "/"\ntimeout = "2s"\nretries = 0\n`,
};
const HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const SMALL_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(5_000));

/** An upstream that sends a complete response for `/sound` and an endless chunked one for all else. */
class EndlessUpstream {
  /** Open connections on which an endless response is being sent. */
  public readonly endlessConnections = new Set<Socket>();

  private readonly server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (request) => {
      const isComplete = request.includes('/sound');
      if (isComplete) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
      else this.sendEndlessBody(socket);
    });
  });

  private timer: NodeJS.Timeout | undefined;

  /** Starts listening and announces this upstream to the daemon, again and again until `close`. */
  public async announce({ ready }: DaemonProcess): Promise<void> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    const announcement = {
      service: 'stock',
      address,
      state: 'serving',
      healthy: true,
      slots: CALLS,
    };
    const announceOnce = () =>
      fetch(`http://${ready.listening.control}/upstream`, {
        method: 'PUT',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(announcement),
      }).catch(() => undefined);
    await announceOnce();
    this.timer = setInterval(() => void announceOnce(), ANNOUNCE_INTERVAL_MS);
  }

  public close(): void {
    clearInterval(this.timer);
    this.server.close();
  }

  private sendEndlessBody(socket: Socket): void {
    this.endlessConnections.add(socket);
    socket.on('close', () => this.endlessConnections.delete(socket));
    const sendMore = () => {
      if (socket.destroyed) return;
      if (socket.write(SMALL_CHUNKS)) setImmediate(sendMore);
      else socket.once('drain', sendMore);
    };
    socket.write(HEAD);
    sendMore();
  }
}

/**
 * Reads the body of a response.
 *
 * @param answer - Response whose head has arrived.
 * @param readable - Resolves when the caller begins to read; until then it applies backpressure.
 * @returns `whole`, `broken` for a body that was cut off, or `refused` for a status other than 200.
 */
async function readOutcome(answer: IncomingMessage, readable: Promise<void>): Promise<string> {
  if (answer.statusCode !== 200) {
    answer.resume();
    return 'refused';
  }
  const ended = new Promise<string>((resolve) => {
    answer.on('error', () => resolve('broken'));
    answer.on('end', () => resolve(answer.complete ? 'whole' : 'broken'));
  });
  await readable;
  answer.resume();
  return ended;
}

function call(entry: DaemonProcess, path: string, readable = Promise.resolve()): Promise<string> {
  return new Promise((resolve) => {
    get(`http://${entry.ready.listening.calls}${path}`, { agent: false }, (answer) => {
      void readOutcome(answer, readable).then(resolve);
    }).on('error', () => resolve('broken'));
  });
}

/**
 * Sends calls with endless responses through one daemon of a mesh of two; the upstream is beside the
 * second. Half of the callers read nothing until the daemons have aborted all responses. Checks that
 * both daemons stay below the memory limit and serve calls afterwards. Guards against a daemon that
 * buffers or relays an endless response without bound.
 *
 * @param chooseEntry - Picks the daemon that the callers use.
 * @returns How many calls ended, and how many of them with a complete response.
 */
async function callEndlessUpstream(
  chooseEntry: (daemons: readonly DaemonProcess[]) => DaemonProcess,
) {
  const fleet = new Fleet();
  const upstream = new EndlessUpstream();
  try {
    await fleet.startLog();
    const daemons = await startDaemons(fleet, ['coq', 'coq']);
    await publish(fleet, writeFolder(fleet, 'folder', FOLDER));
    await waitUntilInForce(0, daemons);
    await upstream.announce(daemons[1]!);
    const entry = chooseEntry(daemons);
    await eventually(
      'a call is answered in full',
      async () => (await call(entry, '/sound')) === 'whole',
    );
    let release = () => undefined as void;
    const released = new Promise<void>((resolve) => {
      release = resolve;
    });
    const outcomes = Array.from({ length: CALLS }, (_, index) =>
      call(entry, '/endless', index % 2 === 0 ? released : undefined),
    );
    let residentBytes = 0;
    let hasStarted = false;
    await eventually('all endless responses are aborted', async () => {
      const dumps = await Promise.all(daemons.map(fetchDump));
      residentBytes = Math.max(residentBytes, ...dumps.map(({ memory }) => memory.residentBytes));
      hasStarted ||= upstream.endlessConnections.size > 0;
      return (
        hasStarted && upstream.endlessConnections.size === 0 && dumps[1]!.upstream?.running === 0
      );
    });
    release();
    const completeCount = (await Promise.all(outcomes)).filter((end) => end === 'whole').length;
    await eventually(
      'a call is answered in full after the endless ones',
      async () => (await call(entry, '/sound')) === 'whole',
    );
    const megabytes = Math.round(residentBytes / 1e6);
    assert.ok(
      residentBytes < MAX_RESIDENT_BYTES,
      `a daemon used ${megabytes} MB of resident memory`,
    );
    return `${outcomes.length} ended, ${completeCount} whole`;
  } finally {
    upstream.close();
    await fleet.dispose();
  }
}

scenario(
  'the memory of two daemons stays bounded under endless responses in small chunks',
  async () => {
    assert.is(await callEndlessUpstream(([first]) => first!), `${CALLS} ended, 0 whole`);
  },
);

scenario(
  'the memory of one daemon stays bounded under endless responses in small chunks',
  async () => {
    assert.is(await callEndlessUpstream(([, second]) => second!), `${CALLS} ended, 0 whole`);
  },
);

test.run();
