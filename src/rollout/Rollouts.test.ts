import { test } from 'uvu';
import * as assert from 'uvu/assert';
import RolloutFleet from '../../stand-in/RolloutFleet';
import type { DaemonId, ServiceName } from '../common/Types';

const SERVICE = 'stock' as ServiceName;
const DURATION_MS = 20_000;

/** Runs a fleet of 12 daemons and ends it. */
async function withFleet(use: (fleet: RolloutFleet) => Promise<void>): Promise<void> {
  const fleet = new RolloutFleet(12);
  try {
    await use(fleet);
  } finally {
    fleet.dispose();
  }
}

const halfFails = (version: string, draw: number) => (version === 'v2' && draw < 0.5 ? 500 : 200);

/** The different verdicts that the daemons hold. */
function verdicts(fleet: RolloutFleet): string {
  const held = fleet.daemons.map(({ rollouts }) => rollouts.get(SERVICE)?.verdict ?? 'none');
  return [...new Set(held)].join(', ');
}

function total({ sent }: RolloutFleet): number {
  return Object.values(sent).reduce((sum, count) => sum + count, 0);
}

// Guards against a good version that isn't completed in time or gets too much at first.
test('a good version is completed before the deadline, after a trial of at most a tenth', () =>
  withFleet(async (fleet) => {
    fleet.order('v2', DURATION_MS);
    await fleet.run(DURATION_MS / 2);
    assert.ok(fleet.sent.v2! <= 0.1 * total(fleet) + 50, `${fleet.sent.v2} calls`);
    await fleet.run(DURATION_MS / 2 - 1_000);
    assert.is(fleet.history, 'running v2, completed v2');
    assert.is(verdicts(fleet), 'completed');
  }));

// Guards against a fault that is seen too late or only by the daemons that met it.
test('a version of which half of the calls fail is rolled back by all daemons within its exposure', () =>
  withFleet(async (fleet) => {
    fleet.statusOf = halfFails;
    fleet.order('v2', DURATION_MS);
    await fleet.run(8_000);
    assert.is(fleet.history, 'running v2, rolled_back v2');
    assert.is(verdicts(fleet), 'rolled_back');
    const { v2 } = fleet.sent;
    assert.ok(v2! < 50, `${v2} calls`);
    await fleet.run(DURATION_MS);
    assert.is(fleet.sent.v2, v2);
  }));

// Guards against a verdict that dies with the daemon that recorded it.
test('a verdict is adopted from the store after the daemon that wrote it was killed', () =>
  withFleet(async (fleet) => {
    fleet.statusOf = halfFails;
    const { appendStatus } = fleet;
    let killed: string | undefined;
    fleet.order('v2', DURATION_MS);
    fleet.appendStatus = async function append(record, end) {
      const isWritten = await appendStatus.call(fleet, record, end);
      const writer = fleet.daemons.find(({ rollouts }) => rollouts.get(SERVICE)?.stop);
      if (record.state !== 'running' && isWritten && writer && killed === undefined) {
        killed = writer.id;
        for (const { id } of [...fleet.daemons.slice(0, 6)]) fleet.remove(id);
      }
      return isWritten;
    };
    await fleet.run(15_000);
    assert.ok(killed);
    assert.is(fleet.history, 'running v2, rolled_back v2');
    assert.is(verdicts(fleet), 'rolled_back');
  }));

// Guards against both verdicts being recorded for one order.
test('of two daemons that decide at once one records its verdict and the other adopts it', () =>
  withFleet(async (fleet) => {
    fleet.order('v2', DURATION_MS);
    await fleet.run(17_000);
    for (const { rollouts } of fleet.daemons.slice(0, 6)) {
      rollouts.get(SERVICE)!.rollBack('a fault seen here', 'test');
    }
    await fleet.run(6_000);
    const finals = fleet.records.filter(({ state }) => state !== 'running');
    assert.is(finals.length, 1);
    assert.is(verdicts(fleet), finals[0]!.state);
  }));

// Guards against a share that grows without the store, and a verdict that is never recorded.
test('while the store is down the share stays within the trial; it is rolled back afterwards', () =>
  withFleet(async (fleet) => {
    fleet.order('v2', DURATION_MS);
    await fleet.run(3_000);
    fleet.isStoreDown = true;
    await fleet.run(DURATION_MS);
    assert.ok(fleet.sent.v2! <= 0.1 * total(fleet) + 50, `${fleet.sent.v2} calls`);
    assert.is(fleet.history, 'running v2');
    fleet.isStoreDown = false;
    await fleet.run(15_000);
    assert.is(fleet.history, 'running v2, rolled_back v2');
    assert.is(verdicts(fleet), 'rolled_back');
  }));

// Guards against a record that is written twice, or given up, when its response is lost.
test('a record whose response was lost is found by the next read', () =>
  withFleet(async (fleet) => {
    fleet.losesAnswers = true;
    fleet.order('v2', DURATION_MS);
    await fleet.run(DURATION_MS);
    assert.is(fleet.history, 'running v2, completed v2');
    assert.is(verdicts(fleet), 'completed');
  }));

// Guards against a rolled-back version that gets calls again after a restart of the fleet.
test('daemons that all restart take the verdict from the store', () =>
  withFleet(async (fleet) => {
    fleet.statusOf = halfFails;
    const order = fleet.order('v2', DURATION_MS);
    await fleet.run(8_000);
    const { v2 } = fleet.sent;
    for (const { id } of [...fleet.daemons]) {
      fleet.remove(id);
      fleet.add(id).rollouts.order(order, false);
    }
    await fleet.run(10_000);
    assert.is(verdicts(fleet), 'rolled_back');
    assert.is(fleet.history, 'running v2, rolled_back v2');
    assert.is(fleet.sent.v2, v2);
  }));

// Guards against a group that raises the share on its own, and one that never learns the verdict.
test('a group that is cut off does not raise the share and adopts the verdict later', () =>
  withFleet(async (fleet) => {
    fleet.order('v2', DURATION_MS);
    await fleet.run(4_000);
    fleet.cutOff = new Set(['coq-4', 'coq-5', 'coq-6'] as DaemonId[]);
    await fleet.run(DURATION_MS - 5_000);
    const group = fleet.daemons.filter(({ id }) => fleet.cutOff.has(id));
    for (const { rollouts } of group) assert.ok(rollouts.get(SERVICE)!.state.step <= 2);
    await fleet.run(500);
    assert.is(fleet.history, 'running v2, completed v2');
    fleet.cutOff = new Set();
    for (const { rollouts } of fleet.daemons) {
      for (const { id } of fleet.daemons) rollouts.forget(id);
    }
    await fleet.run(5_000);
    assert.is(verdicts(fleet), 'completed');
  }));

// Guards against a crash being taken for a fault of the version, and against calls to nobody.
test('a crash of all upstreams of both versions ends no rollout', () =>
  withFleet(async (fleet) => {
    fleet.order('v2', DURATION_MS);
    await fleet.run(5_000);
    fleet.serve({});
    await fleet.run(1_500);
    fleet.serve({ v1: 4, v2: 4 });
    await fleet.run(DURATION_MS - 7_500);
    assert.is(fleet.history, 'running v2, completed v2');
  }));

// Guards against an unproven version that keeps its calls when its order is replaced.
test('an order replaces another; the version of the earlier one gets no more calls', () =>
  withFleet(async (fleet) => {
    fleet.serve({ v1: 4, v2: 4, v3: 4 });
    fleet.order('v2', DURATION_MS);
    await fleet.run(4_000);
    fleet.order('v3', DURATION_MS, 2);
    await fleet.run(1_000);
    const { v2 } = fleet.sent;
    await fleet.run(DURATION_MS - 2_000);
    assert.is(fleet.sent.v2, v2);
    assert.is(fleet.history, 'running v2, running v3, completed v3');
  }));

// Guards against orders that never end.
test('a target that nobody runs and a deadline that has passed end rolled back', () =>
  withFleet(async (fleet) => {
    fleet.order('v9', 3_000);
    await fleet.run(8_000);
    fleet.order('v2', 1, 2);
    await fleet.run(500);
    const { v2 } = fleet.sent;
    await fleet.run(8_000);
    assert.is(fleet.history, 'running v9, rolled_back v9, rolled_back v2');
    assert.is(fleet.sent.v9 ?? 0, 0);
    assert.is(fleet.sent.v2, v2);
  }));

// Guards against a rollout that waits for evidence where there are no calls.
test('an order for a service without calls is completed if the target serves', async () => {
  const fleet = new RolloutFleet(12, 0);
  fleet.order('v2', DURATION_MS);
  await fleet.run(DURATION_MS);
  fleet.dispose();
  assert.is(fleet.history, 'running v2, completed v2');
});

// Guards against messages that are sent for good.
test('nothing is collected for peers once a rollout has ended and all know it', () =>
  withFleet(async (fleet) => {
    fleet.order('v2', DURATION_MS);
    await fleet.run(DURATION_MS + 3_000);
    const [first, second] = fleet.daemons;
    assert.is(first!.rollouts.collect(second!.id), undefined);
    assert.is(first!.rollouts.hasNewsFor(second!.id), false);
  }));

test.run();
