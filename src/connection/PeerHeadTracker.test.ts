import { encode } from '@msgpack/msgpack';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import waitEventLoopTurns from '../common/waitEventLoopTurns';
import type { DaemonId, Digest, FileName, Offset, VersionNumber } from '../common/Types';
import { SCHEMA_NUMBER } from '../version/configurationSchema';
import { folderDigest, sortedFolder } from '../version/folder';
import { mergeSteps } from '../version/mergeFolder';
import type { Head } from '../version/Types';
import VersionStore from '../version/VersionStore';
import PeerHeadTracker from './PeerHeadTracker';
import type { DeltaMessage, Heartbeat } from './Types';

const PEER = 'coq-2' as DaemonId;

function head(version: number, slots: number): Head {
  const folder = [
    { name: '10.toml' as FileName, content: `[service.stock]\nslots = ${slots}\n` },
    { name: '20.toml' as FileName, content: `[service.desk]\nslots = 4\n` },
  ];
  return {
    schema: SCHEMA_NUMBER,
    version: version as VersionNumber,
    publicationId: `store-${version}` as Head['publicationId'],
    digest: folderDigest(folder),
    folder,
  };
}

/** Message with a whole version, as a peer sends it. */
function message(version: number, slots: number, digest?: string): DeltaMessage {
  const { folder, ...fields } = head(version, slots);
  return {
    delta: { ...fields, digest: (digest ?? fields.digest) as Digest, base: null, changes: folder },
    through: version as Offset,
  };
}

function heartbeat(version: number): Heartbeat {
  return {
    from: PEER,
    incarnation: 1 as Heartbeat['incarnation'],
    version: version as VersionNumber,
    through: version as Offset,
    ageMs: null,
    members: '',
  };
}

/** A tracker whose clock the test advances, and the lines that it logs. */
function createTracker() {
  const clock = new ManualClock();
  const lines: string[] = [];
  const tracker = new PeerHeadTracker(new VersionStore(mergeSteps, clock), clock, {
    log: (text, fields) => lines.push(`${text} ${JSON.stringify(fields)}`),
  });
  return { clock, lines, tracker };
}

/** Waits until the newest version that was received is in force. */
async function settle(tracker: PeerHeadTracker): Promise<void> {
  while (tracker.head?.version !== tracker.offer.version) await waitEventLoopTurns(1);
}

test('each version that comes into force or is refused is logged, whichever way it came', async () => {
  const { clock, lines, tracker } = createTracker();
  await tracker.applyLogHead(head(3, 1), 4 as Offset, true);
  clock.advance(1_000);
  tracker.observeHeartbeat(heartbeat(5));
  clock.advance(250);
  await tracker.applyPeerDelta(message(5, 2), PEER);
  await settle(tracker);
  await tracker.applyPeerDelta(message(7, 2, '0'.repeat(64)), undefined);
  await tracker.applyLogHead(head(9, -1), 10 as Offset, true);
  clock.advance(400);
  assert.equal(
    [tracker.knowledge.version, tracker.newestVersionHeard, tracker.behindMs, tracker.refusedCount],
    [5, 9, 400, 2],
  );
  assert.not(tracker.awaitsNewerVersion, 'a refused version never comes into force');
  tracker.observeHeartbeat(heartbeat(11));
  assert.ok(tracker.awaitsNewerVersion);
  await tracker.applyLogHead(head(11, 3), 12 as Offset, true);
  assert.equal([tracker.refusedHead, tracker.behindMs], [undefined, 0]);
  assert.not(tracker.awaitsNewerVersion);
  assert.snapshot(
    lines.join('\n'),
    `A version came into force. {"version":3,"before":null,"through":4,"source":"store","files":2,"behindMs":0,"confirmedAgoMs":null,"tookMs":0}
A version came into force. {"version":5,"before":3,"through":5,"source":"coq-2","files":2,"behindMs":250,"confirmedAgoMs":1250,"tookMs":0}
A version was refused. {"version":7,"before":5,"source":"a peer","reason":"version 7 can't be put in force: its digest differs"}
A version was refused. {"version":9,"before":5,"source":"store","reason":"version 9 can't be put in force: 10.toml:2: service.stock.slots: found -1, expected a whole number from 1 to 10000"}
A version came into force. {"version":11,"before":5,"through":12,"source":"store","files":2,"behindMs":400,"confirmedAgoMs":1650,"tookMs":0}`,
  );
});

test('of versions received while one is validated, only the newest comes into force', async () => {
  const { lines, tracker } = createTracker();
  const outcomes = await Promise.all([
    tracker.applyPeerDelta(message(3, 1), PEER),
    tracker.applyPeerDelta(message(3, 1), undefined),
    tracker.applyPeerDelta(message(4, 1), PEER),
    tracker.applyPeerDelta(message(5, 2), PEER),
    tracker.applyPeerDelta(message(2, 2), PEER),
  ]);
  await settle(tracker);
  assert.equal(outcomes, ['received', 'known', 'received', 'received', 'known']);
  assert.equal(
    lines.map((line) => /"version":\d+/.exec(line)![0]),
    ['"version":3', '"version":5'],
  );
});

// Guards against peers that skip a refused version and then take the one in force for the newest.
test('the offset that peers continue from does not move past a refused version', async () => {
  const { tracker } = createTracker();
  await tracker.applyLogHead(head(3, 1), 4 as Offset, true);
  await tracker.applyLogHead(head(9, -1), 10 as Offset, true);
  await tracker.applyLogHead(undefined, 12 as Offset, true);
  assert.equal([tracker.offer, tracker.knowledge.through], [{ version: 3, through: 4 }, 4]);
  await tracker.applyLogHead(head(13, 2), 14 as Offset, true);
  assert.equal(tracker.offer, { version: 13, through: 14 });
});

test('a version is offered to peers before it is validated, and no longer once it is refused', async () => {
  const { tracker } = createTracker();
  await tracker.applyLogHead(head(2, 1), 3 as Offset, true);
  const offers: string[] = [];
  tracker.onAdvance(({ version }) => offers.push(`${version} while ${tracker.head?.version}`));
  await tracker.applyPeerDelta(message(4, 2), PEER);
  const changes = await tracker.changesSince({ base: 2 as VersionNumber });
  assert.equal([changes?.delta.version, changes?.delta.base, changes?.through], [4, 2, 4]);
  await settle(tracker);
  await tracker.applyPeerDelta(message(6, -1), PEER);
  while (tracker.refusedCount === 0) await waitEventLoopTurns(1);
  assert.equal(tracker.offer, { version: 4, through: 4 });
  assert.is(tracker.isBehind(heartbeat(6)), false);
  assert.is((await tracker.changesSince({ base: null }))?.delta.version, 4);
  assert.equal(offers, ['4 while 2', '6 while 4']);
});

test('the offset goes with the version in force, whatever else was read or refused', async () => {
  const { tracker } = createTracker();
  await tracker.applyLogHead(head(2, 1), 3 as Offset, true);
  const { confirmedAt } = tracker.knowledge;
  // The second of these is replaced by the third before it is validated.
  const reads = [3, 4, 6].map((version) =>
    tracker.applyLogHead(head(version, version), (version + 1) as Offset, true),
  );
  const known = await reads[1]!.then(() => tracker.knowledge);
  assert.is(known.through, known.version! + 1);
  await Promise.all(reads);
  assert.equal(tracker.knowledge, { version: 6, through: 7, confirmedAt });
  await tracker.applyLogHead(head(8, -1), 9 as Offset, true);
  assert.equal(tracker.knowledge, { version: 6, through: 7, confirmedAt });
});

test('a version whose changes are being unpacked is not fetched again', async () => {
  const { tracker } = createTracker();
  assert.is(tracker.isBehind(heartbeat(3)), true);
  const applied = tracker.applyPeerDelta(message(3, 1), PEER);
  assert.is(tracker.isBehind(heartbeat(3)), false);
  assert.is(tracker.isBehind(heartbeat(4)), true);
  await applied;
});

test('the changes of 1,600 routes reach eight peers in a second over a link of 5 Mbit/s', async () => {
  const { tracker: sender } = createTracker();
  const { tracker: receiver } = createTracker();
  const before = head(3, 1);
  const routes = Array.from({ length: 1_600 }, (_, index) => ({
    name: `30-route-r-${index * 7919}.toml` as FileName,
    content: `[route.r-${index * 7919}]\nhost = "wude7.example"\npath = "/mifi${index}/"\nservice = "stock"\ntimeout = "${index}ms"\nobjective = "800ms"\nretries = 2\nidempotent = true\npriority = 1\n`,
  }));
  const folder = sortedFolder([...before.folder, ...routes]);
  const after = { ...head(5, 1), folder, digest: folderDigest(folder) };
  await receiver.applyLogHead(before, 4 as Offset, true);
  await sender.applyLogHead(before, 4 as Offset, true);
  await sender.applyLogHead(after, 6 as Offset, true);
  const changes = await sender.changesSince({ base: before.version, packed: true });
  const bytes = encode(changes).length;
  assert.ok(bytes * 8 * 8 <= 5_000_000, `${bytes} bytes`);
  assert.is(await receiver.applyPeerDelta(changes!, PEER), 'received');
  await settle(receiver);
  assert.is(receiver.head?.digest, after.digest);
  const unpacked = await sender.changesSince({ base: before.version });
  assert.is(unpacked && 'changes' in unpacked.delta && unpacked.delta.changes.length, 1_600);
});

test.run();
