/**
 * A daemon that is paused while calls wait at it: what it was allowed to do before has run out when it
 * goes on.
 *
 * @packageDocumentation
 */
import { setTimeout as delay } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import { test } from 'uvu';
import Fleet, { eventually } from '../stand-in/Fleet';
import {
  fetchLedger,
  publish,
  scenario,
  startDaemons,
  waitUntilInForce,
  writeFolder,
  type DaemonProcess,
} from './support';

const ALLOWED_MS = 800;
const PAUSED_MS = 2_500;
const WAITING_CALLS = 6;
const FOLDER = {
  '10-desk.toml': `[service.desk]\nslots = 1\n[route.desk]\nservice = "desk"\npath = "/"\ntimeout = "10s"\n`,
};

async function charge({ ready }: DaemonProcess, id: string, workMs: number, allowedMs: number) {
  const response = await fetch(`http://${ready.listening.calls}/charge?work=${workMs}`, {
    method: 'POST',
    headers: { 'x-call-id': id, 'x-azurestream-deadline-ms': String(allowedMs) },
    body: 'charge',
  });
  await response.arrayBuffer();
  return { id, outcome: response.headers.get('x-azurestream-outcome') };
}

scenario('a paused daemon begins none of the calls whose time ran out meanwhile', async () => {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const [entry, paused] = await startDaemons(fleet, ['coq', 'coq']);
    await publish(fleet, writeFolder(fleet, 'folder', FOLDER));
    await waitUntilInForce(0, [entry!, paused!]);
    const upstream = await fleet.startUpstream('desk', paused!);
    await eventually('the upstream is known', async () => {
      const url = `http://${entry!.ready.listening.control}/explain?method=POST&path=/charge`;
      const { upstreams } = (await (await fetch(url)).json()) as { upstreams: unknown[] };
      return upstreams.length === 1;
    });
    // The call that holds the only slot ends while the daemon is paused.
    const holder = charge(entry!, 'holder', 400, 10_000);
    await eventually(
      'the slot is taken',
      async () => (await fetchLedger(upstream.ready.port)).length === 1,
    );
    const waiting = Array.from({ length: WAITING_CALLS }, (_, index) =>
      charge(index % 2 ? entry! : paused!, `waiting-${index}`, 0, ALLOWED_MS),
    );
    await delay(100);
    paused!.child.kill('SIGSTOP');
    await delay(PAUSED_MS);
    paused!.child.kill('SIGCONT');
    const told = await Promise.all([holder, ...waiting]);
    const ran = (await fetchLedger(upstream.ready.port)).map(({ id }) => id);
    assert.equal(ran, ['holder']);
    for (const { id, outcome } of told.slice(1)) assert.is.not(outcome, 'answered', id);
  } finally {
    await fleet.dispose();
  }
});

test.run();
