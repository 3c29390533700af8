/**
 * Shows that the tests on real processes find the faults they are meant for: builds variants with
 * one piece of the mechanism taken out and runs the scenario that must then fail.
 * Usage: `mutants.mjs [NAME]`. Exits with 1 where a variant isn't found out.
 */
import { spawnSync } from 'node:child_process';
import { rmSync } from 'node:fs';
import bundle from './bundle.mjs';

const MUTANTS = [
  {
    name: 'any base is accepted',
    file: 'src/version/Fold.ts',
    from: "if (publication.base !== head) return { kind: 'base', head };",
    to: '',
    test: 'test/configurationFaults.test.ts',
    scenario: 'concurrent publications',
  },
  {
    name: 'no checkpoints',
    file: 'src/connection/CheckpointWriter.ts',
    from: 'if (!signal.aborted && this.isDue()) await this.write();',
    to: '',
    test: 'test/configurationFaults.test.ts',
    scenario: 'daemons that all restart recover from a checkpoint',
  },
  {
    name: 'peers give no configuration',
    file: 'src/connection/PeerHeadTracker.ts',
    from: 'return delta && { delta, through: this.through };',
    to: 'return undefined;',
    test: 'test/configurationFaults.test.ts',
    scenario: 'a log outage beyond retention',
  },
  {
    name: 'an old join counts as announced',
    file: 'src/connection/Joiner.ts',
    from: 'contacts.some(({ address }) => address === this.members.self.address)',
    to: 'contacts.some(({ id }) => id === this.members.self.id)',
    test: 'test/configurationFaults.test.ts',
    scenario: 'daemons that all restart recover from a checkpoint',
  },
  {
    name: 'a broken connection counts as not run',
    file: 'src/request/PeerTransport.ts',
    from: "if (state === 'forbidden') return",
    to: 'if (state !== "nothing") return',
    test: 'test/callFaults.test.ts',
    scenario: 'daemons killed and restarted',
  },
  {
    name: 'unknown outcomes are retried',
    file: 'src/request/Call.ts',
    from: 'if (!notRun && (!this.idempotent || this.attemptsAbove > 1)) return false;',
    to: '',
    test: 'test/callFaults.test.ts',
    scenario: 'daemons killed and restarted',
  },
  {
    name: 'no second attempt for stragglers',
    file: 'src/request/Call.ts',
    from: 'if (!this.idempotent || this.attemptsAbove > 1) return first(signal, () => undefined);',
    to: 'return first(signal, () => undefined);',
    test: 'test/callFaults.test.ts',
    scenario: 'a frozen upstream',
  },
  {
    name: 'callers who leave keep their slots',
    file: 'src/request/CallHandler.ts',
    from: 'const leave = () => cancel.abort(CALLER_LEFT);',
    to: 'const leave = () => CALLER_LEFT;',
    test: 'test/callFaults.test.ts',
    scenario: 'a caller that disconnects frees',
  },
  {
    name: 'no other connections after a silent one, no second round of upstreams',
    file: 'src/request/Call.ts',
    from: 'this.place(this.tried) ?? this.place(NONE)',
    to: 'this.place(this.tried)',
    also: {
      file: 'src/request/PeerTransport.ts',
      from: 'this.channels.leave(upstream.address, channel);',
      to: '',
    },
    test: 'test/silentConnections.test.ts',
    scenario: 'connections that go silent without closing: every GET',
  },
  {
    name: 'a drain cuts off what runs',
    file: 'src/process/Daemon.ts',
    from: 'await Promise.race([work, sleep(leftMs, late.signal)]);',
    to: 'void [work, leftMs]; process.exit(0);',
    test: 'test/callFaults.test.ts',
    scenario: 'rolling restart',
  },
];

const folder = 'dist-mutant';
const wanted = MUTANTS.filter(({ name }) => !process.argv[2] || name === process.argv[2]);
let survivors = 0;
for (const mutant of wanted) {
  await bundle(folder, mutant);
  const { status } = spawnSync(process.execPath, ['--import', 'tsx', mutant.test], {
    env: { ...process.env, AZURESTREAM_DIST: folder, AZURESTREAM_SCENARIO: mutant.scenario },
    timeout: 120_000,
  });
  if (status === 0) survivors += 1;
  process.stdout.write(`${status === 0 ? 'NOT FOUND OUT' : 'found out'}: ${mutant.name}\n`);
}
rmSync(folder, { recursive: true, force: true });
process.exit(survivors > 0 ? 1 : 0);
