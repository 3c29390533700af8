import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { setTimeout as delay } from 'node:timers/promises';
import SystemClock from '../common/SystemClock';
import type { Address, LogFields, Logger } from '../common/Types';
import PeerLiveness, { type ChannelSigns } from './PeerLiveness';
import type { ProbeResult } from './Types';

const PEER = 'peer:1' as Address;
const QUIET = { log: () => undefined };
const SILENCE_MS = 20;
const NO_CHANNEL = { ping: () => undefined, lastHeardAt: () => undefined };

function livenessWith(
  probe: () => Promise<ProbeResult>,
  options = {},
  channels: ChannelSigns = NO_CHANNEL,
  logger: Logger = QUIET,
): PeerLiveness {
  const settings = { silenceMs: SILENCE_MS, ...options };
  return new PeerLiveness(probe, channels, settings, new SystemClock(), logger);
}

/** Notes what each of two calls is told. */
function watchers(told: string[]) {
  return ['a', 'b'].map((call) => ({
    onSilent: () => told.push(`${call}: silent`),
    onUnreachable: () => told.push(`${call}: unreachable`),
  }));
}

/** Waits until something holds; how long that took is no matter. */
async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await delay(5);
}

test('calls at a daemon that went silent are freed at once, and it comes back', async () => {
  let result: ProbeResult = 'unreachable';
  const probe = () => Promise.resolve(result);
  const liveness = livenessWith(probe);
  const told: string[] = [];
  for (const watcher of watchers(told)) liveness.watch(PEER, watcher);
  await until(() => liveness.isUnresponsive(PEER));
  assert.equal(told, ['a: unreachable', 'b: unreachable']);
  result = 'answers';
  await until(() => !liveness.isUnresponsive(PEER));
  liveness.dispose();
});

test('calls at a daemon that takes connections and does not answer are not freed', async () => {
  let probes = 0;
  const probe = async (): Promise<ProbeResult> => {
    probes += 1;
    // One connection in two fails, as packets may be lost.
    return probes % 2 === 0 ? 'unreachable' : 'silent';
  };
  const liveness = livenessWith(probe);
  const told: string[] = [];
  for (const watcher of watchers(told)) liveness.watch(PEER, watcher);
  await until(() => liveness.isUnresponsive(PEER) && probes >= 4);
  assert.equal([...new Set(told)], ['a: silent', 'b: silent']);
  liveness.heard(PEER);
  liveness.dispose();
});

test('calls at a silent daemon are freed once it takes no connection any more', async () => {
  let result: ProbeResult = 'silent';
  const probe = () => Promise.resolve(result);
  const liveness = livenessWith(probe);
  const told: string[] = [];
  for (const watcher of watchers(told)) liveness.watch(PEER, watcher);
  await until(() => told.includes('b: silent'));
  result = 'unreachable';
  await until(() => told.includes('b: unreachable'));
  assert.ok(told.includes('a: unreachable'));
  liveness.heard(PEER);
  liveness.dispose();
});

test('a slow call at a daemon that answers probes keeps waiting', async () => {
  let probes = 0;
  const probe = () => {
    probes += 1;
    return Promise.resolve('answers' as const);
  };
  const liveness = livenessWith(probe);
  const told: string[] = [];
  liveness.watch(PEER, watchers(told)[0]!);
  await until(() => probes >= 3);
  assert.equal(told, []);
  assert.not(liveness.isUnresponsive(PEER));
  liveness.dispose();
});

test('a refused connection is a loss without a probe', () => {
  const probe = () => Promise.resolve('unreachable' as const);
  const liveness = livenessWith(probe);
  liveness.refused(PEER);
  assert.ok(liveness.isUnresponsive(PEER));
  liveness.heard(PEER);
  assert.not(liveness.isUnresponsive(PEER));
  liveness.dispose();
});

test('a slow call at a daemon that answers pings costs no probe until it stops answering', async () => {
  const clock = new SystemClock();
  let answers = true;
  let pings = 0;
  let probes = 0;
  let heardAt: number | undefined;
  const channels = {
    ping: () => {
      pings += 1;
      if (answers) heardAt = clock.now();
    },
    lastHeardAt: () => heardAt,
  };
  const probe = async () => {
    probes += 1;
    return 'unreachable' as const;
  };
  const liveness = new PeerLiveness(probe, channels, { silenceMs: 400 }, clock, QUIET);
  liveness.watch(PEER, watchers([])[0]!);
  await until(() => pings >= 3);
  assert.is(probes, 0);
  answers = false;
  await until(() => liveness.isUnresponsive(PEER));
  assert.ok(probes > 0);
  liveness.dispose();
});

test('a daemon that refuses a connection while it is probed is unreachable, and probed once at a time', async () => {
  const results: ProbeResult[] = ['silent', 'unreachable'];
  let open = 0;
  let most = 0;
  let probes = 0;
  const told: string[] = [];
  let refuse: () => void = () => undefined;
  const probe = async (): Promise<ProbeResult> => {
    open += 1;
    most = Math.max(most, open);
    if (probes === 1) refuse();
    probes += 1;
    await delay(1);
    open -= 1;
    return results[probes - 1] ?? 'unreachable';
  };
  const liveness = livenessWith(probe);
  refuse = () => liveness.refused(PEER);
  for (const watcher of watchers(told)) liveness.watch(PEER, watcher);
  await until(() => probes >= 5);
  assert.equal([...new Set(told)], ['a: unreachable', 'b: unreachable']);
  assert.is(most, 1);
  liveness.heard(PEER);
  liveness.dispose();
});

test('a call that came after a daemon was asked is not freed by what that showed', async () => {
  const told: string[] = [];
  let probes = 0;
  let call: () => void = () => undefined;
  const probe = async (): Promise<ProbeResult> => {
    probes += 1;
    await delay(2);
    if (probes === 2) call();
    return 'unreachable';
  };
  const liveness = livenessWith(probe);
  call = () => liveness.watch(PEER, watchers(told)[1]!);
  liveness.watch(PEER, watchers(told)[0]!);
  await until(() => liveness.isUnresponsive(PEER));
  assert.equal(told, ['a: unreachable']);
  liveness.heard(PEER);
  liveness.dispose();
});

test('calls at a daemon to which no connection comes about go on, until it counts as gone', async () => {
  let probes = 0;
  let probesAtEnd = 0;
  const told: string[] = [];
  const lines: string[] = [];
  const probe = async (): Promise<ProbeResult> => {
    probes += 1;
    // A single refusal, or a connection that came about, starts the count anew.
    if (probes === 8) return 'unreachable';
    return probes === 16 ? 'silent' : 'unconnected';
  };
  const logger = {
    log: (_message: string, { state, reason }: LogFields = {}) => lines.push(`${state}: ${reason}`),
  };
  const liveness = livenessWith(probe, { returnProbeMs: 1 }, NO_CHANNEL, logger);
  const [first, second] = watchers(told);
  liveness.watch(PEER, first!);
  liveness.watch(PEER, {
    ...second!,
    onUnreachable: (reason) => {
      probesAtEnd ||= probes;
      told.push(`b: ${reason}`);
    },
  });
  await until(() => probesAtEnd > 0);
  assert.is(probesAtEnd, 16 + 12);
  assert.equal(
    [...new Set(told)],
    ['a: silent', 'b: silent', 'a: unreachable', 'b: no connection to it came about for 12 probes'],
  );
  assert.equal(lines, [
    'unconnected: no connection to it came about in time',
    'silent: it takes connections and answers no probe',
    'unconnected: no connection to it came about in time',
    'unreachable: no connection to it came about for 12 probes',
  ]);
  liveness.heard(PEER);
  liveness.dispose();
});

test('a daemon whose channel shows life is not gone because no new connection comes about', async () => {
  const clock = new SystemClock();
  let heardAt: number | undefined;
  const channels = { ping: () => undefined, lastHeardAt: () => heardAt };
  let probes = 0;
  const probe = async (): Promise<ProbeResult> => {
    probes += 1;
    await delay(1);
    if (probes > 4) heardAt = clock.now();
    return 'unconnected';
  };
  const told: string[] = [];
  const liveness = livenessWith(probe, { returnProbeMs: 1 }, channels);
  liveness.watch(PEER, watchers(told)[0]!);
  await until(() => liveness.isUnresponsive(PEER));
  await until(() => !liveness.isUnresponsive(PEER));
  assert.equal([...new Set(told)], ['a: silent']);
  liveness.dispose();
});

test('where the network knows no way to a daemon, its calls go on', () => {
  const told: string[] = [];
  const liveness = livenessWith(async () => 'unconnected');
  liveness.watch(PEER, watchers(told)[0]!);
  liveness.unconnected(PEER);
  assert.ok(liveness.isUnresponsive(PEER));
  assert.equal(told, ['a: silent']);
  liveness.refused(PEER);
  assert.equal(told, ['a: silent', 'a: unreachable']);
  liveness.heard(PEER);
  liveness.dispose();
});

test.run();
