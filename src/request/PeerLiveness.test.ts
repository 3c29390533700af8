import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { setTimeout as delay } from 'node:timers/promises';
import SystemClock from '../common/SystemClock';
import type { Address, LogFields, Logger } from '../common/Types';
import PeerLiveness, { type ChannelLiveness } from './PeerLiveness';
import type { ProbeResult } from './Types';

const PEER = 'peer:1' as Address;
const NULL_LOGGER = { log: () => undefined };
const SILENCE_MS = 20;
const NO_CHANNEL = { ping: () => undefined, lastReceivedAt: () => undefined };

function createLiveness(
  probe: () => Promise<ProbeResult>,
  options = {},
  channels: ChannelLiveness = NO_CHANNEL,
  logger: Logger = NULL_LOGGER,
): PeerLiveness {
  const settings = { silenceMs: SILENCE_MS, ...options };
  return new PeerLiveness(probe, channels, settings, new SystemClock(), logger);
}

/** Watchers of two calls that record what the failure detector reports to them. */
function watchers(notified: string[]) {
  return ['a', 'b'].map((call) => ({
    onSilent: () => notified.push(`${call}: silent`),
    onUnreachable: () => notified.push(`${call}: unreachable`),
  }));
}

/** Polls until a condition holds. */
async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await delay(5);
}

test('calls at a daemon that refuses connections fail at once, and the daemon can recover', async () => {
  let result: ProbeResult = 'unreachable';
  const probe = () => Promise.resolve(result);
  const liveness = createLiveness(probe);
  const notified: string[] = [];
  for (const watcher of watchers(notified)) liveness.watch(PEER, watcher);
  await until(() => liveness.isUnresponsive(PEER));
  assert.equal(notified, ['a: unreachable', 'b: unreachable']);
  result = 'answers';
  await until(() => !liveness.isUnresponsive(PEER));
  liveness.dispose();
});

test('calls at a daemon that accepts connections but does not respond do not fail', async () => {
  let probes = 0;
  const probe = async (): Promise<ProbeResult> => {
    probes += 1;
    // Every second connection fails, as if packets were lost.
    return probes % 2 === 0 ? 'unreachable' : 'silent';
  };
  const liveness = createLiveness(probe);
  const notified: string[] = [];
  for (const watcher of watchers(notified)) liveness.watch(PEER, watcher);
  await until(() => liveness.isUnresponsive(PEER) && probes >= 4);
  assert.equal([...new Set(notified)], ['a: silent', 'b: silent']);
  liveness.reportResponse(PEER);
  liveness.dispose();
});

test('calls at a silent daemon fail once it refuses connections', async () => {
  let result: ProbeResult = 'silent';
  const probe = () => Promise.resolve(result);
  const liveness = createLiveness(probe);
  const notified: string[] = [];
  for (const watcher of watchers(notified)) liveness.watch(PEER, watcher);
  await until(() => notified.includes('b: silent'));
  result = 'unreachable';
  await until(() => notified.includes('b: unreachable'));
  assert.ok(notified.includes('a: unreachable'));
  liveness.reportResponse(PEER);
  liveness.dispose();
});

test('a slow call at a daemon that responds to probes continues', async () => {
  let probes = 0;
  const probe = () => {
    probes += 1;
    return Promise.resolve('answers' as const);
  };
  const liveness = createLiveness(probe);
  const notified: string[] = [];
  liveness.watch(PEER, watchers(notified)[0]!);
  await until(() => probes >= 3);
  assert.equal(notified, []);
  assert.not(liveness.isUnresponsive(PEER));
  liveness.dispose();
});

test('a refused connection makes a daemon unresponsive without a probe', () => {
  const probe = () => Promise.resolve('unreachable' as const);
  const liveness = createLiveness(probe);
  liveness.reportConnectionRefused(PEER);
  assert.ok(liveness.isUnresponsive(PEER));
  liveness.reportResponse(PEER);
  assert.not(liveness.isUnresponsive(PEER));
  liveness.dispose();
});

test('a daemon with a slow call is not probed while it responds to pings', async () => {
  const clock = new SystemClock();
  let respondsToPings = true;
  let pings = 0;
  let probes = 0;
  let receivedAt: number | undefined;
  const channels = {
    ping: () => {
      pings += 1;
      if (respondsToPings) receivedAt = clock.now();
    },
    lastReceivedAt: () => receivedAt,
  };
  const probe = async () => {
    probes += 1;
    return 'unreachable' as const;
  };
  const liveness = new PeerLiveness(probe, channels, { silenceMs: 400 }, clock, NULL_LOGGER);
  liveness.watch(PEER, watchers([])[0]!);
  await until(() => pings >= 3);
  assert.is(probes, 0);
  respondsToPings = false;
  await until(() => liveness.isUnresponsive(PEER));
  assert.ok(probes > 0);
  liveness.dispose();
});

test('a daemon that refuses a connection during a probe is unreachable, and its probes do not overlap', async () => {
  const results: ProbeResult[] = ['silent', 'unreachable'];
  let openProbes = 0;
  let maxOpenProbes = 0;
  let probes = 0;
  const notified: string[] = [];
  let refuse: () => void = () => undefined;
  const probe = async (): Promise<ProbeResult> => {
    openProbes += 1;
    maxOpenProbes = Math.max(maxOpenProbes, openProbes);
    if (probes === 1) refuse();
    probes += 1;
    await delay(1);
    openProbes -= 1;
    return results[probes - 1] ?? 'unreachable';
  };
  const liveness = createLiveness(probe);
  refuse = () => liveness.reportConnectionRefused(PEER);
  for (const watcher of watchers(notified)) liveness.watch(PEER, watcher);
  await until(() => probes >= 5);
  assert.equal([...new Set(notified)], ['a: unreachable', 'b: unreachable']);
  assert.is(maxOpenProbes, 1);
  liveness.reportResponse(PEER);
  liveness.dispose();
});

test('a call that starts during a probe does not fail because of its result', async () => {
  const notified: string[] = [];
  let probes = 0;
  let startCall: () => void = () => undefined;
  const probe = async (): Promise<ProbeResult> => {
    probes += 1;
    await delay(2);
    if (probes === 2) startCall();
    return 'unreachable';
  };
  const liveness = createLiveness(probe);
  startCall = () => liveness.watch(PEER, watchers(notified)[1]!);
  liveness.watch(PEER, watchers(notified)[0]!);
  await until(() => liveness.isUnresponsive(PEER));
  assert.equal(notified, ['a: unreachable']);
  liveness.reportResponse(PEER);
  liveness.dispose();
});

test('calls at a daemon to which no connection can be established continue until it counts as unreachable', async () => {
  let probes = 0;
  let probesUntilUnreachable = 0;
  const notified: string[] = [];
  const lines: string[] = [];
  const probe = async (): Promise<ProbeResult> => {
    probes += 1;
    // A refused connection or an established one resets the count of probes without a connection.
    if (probes === 8) return 'unreachable';
    return probes === 16 ? 'silent' : 'unconnected';
  };
  const logger = {
    log: (_message: string, { state, reason }: LogFields = {}) => lines.push(`${state}: ${reason}`),
  };
  const liveness = createLiveness(probe, { recoveryProbeMs: 1 }, NO_CHANNEL, logger);
  const [first, second] = watchers(notified);
  liveness.watch(PEER, first!);
  liveness.watch(PEER, {
    ...second!,
    onUnreachable: (reason) => {
      probesUntilUnreachable ||= probes;
      notified.push(`b: ${reason}`);
    },
  });
  await until(() => probesUntilUnreachable > 0);
  assert.is(probesUntilUnreachable, 16 + 12);
  assert.equal(
    [...new Set(notified)],
    ['a: silent', 'b: silent', 'a: unreachable', 'b: no connection to it came about for 12 probes'],
  );
  assert.equal(lines, [
    'unconnected: no connection to it came about in time',
    'silent: it takes connections and answers no probe',
    'unconnected: no connection to it came about in time',
    'unreachable: no connection to it came about for 12 probes',
  ]);
  liveness.reportResponse(PEER);
  liveness.dispose();
});

test('a daemon whose channel receives data recovers although no new connection can be established', async () => {
  const clock = new SystemClock();
  let receivedAt: number | undefined;
  const channels = { ping: () => undefined, lastReceivedAt: () => receivedAt };
  let probes = 0;
  const probe = async (): Promise<ProbeResult> => {
    probes += 1;
    await delay(1);
    if (probes > 4) receivedAt = clock.now();
    return 'unconnected';
  };
  const notified: string[] = [];
  const liveness = createLiveness(probe, { recoveryProbeMs: 1 }, channels);
  liveness.watch(PEER, watchers(notified)[0]!);
  await until(() => liveness.isUnresponsive(PEER));
  await until(() => !liveness.isUnresponsive(PEER));
  assert.equal([...new Set(notified)], ['a: silent']);
  liveness.dispose();
});

test('calls at a daemon without a network route continue until it refuses a connection', () => {
  const notified: string[] = [];
  const liveness = createLiveness(async () => 'unconnected');
  liveness.watch(PEER, watchers(notified)[0]!);
  liveness.reportNoRoute(PEER);
  assert.ok(liveness.isUnresponsive(PEER));
  assert.equal(notified, ['a: silent']);
  liveness.reportConnectionRefused(PEER);
  assert.equal(notified, ['a: silent', 'a: unreachable']);
  liveness.reportResponse(PEER);
  liveness.dispose();
});

test.run();
