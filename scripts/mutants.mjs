/**
 * Mutation tests for the tests that run real processes: builds mutants, each with one mechanism
 * disabled, and runs the scenario that must fail because of it.
 * Usage: `mutants.mjs [NAME]`. Exits with status 1 if a scenario passes with its mutant.
 */
import { spawnSync } from 'node:child_process';
import { rmSync } from 'node:fs';
import bundle from './bundle.mjs';

const MUTANTS = [
  {
    name: 'publications with an outdated base are accepted',
    file: 'src/version/ConfigurationReplay.ts',
    from: "if (publication.base !== head) return { kind: 'base', head };",
    to: '',
    test: 'test/configurationFaults.test.ts',
    scenario: 'concurrent publications',
  },
  {
    name: 'no checkpoints are written',
    file: 'src/connection/CheckpointWriter.ts',
    from: 'if (!signal.aborted && this.isDue()) await this.write();',
    to: '',
    test: 'test/configurationFaults.test.ts',
    scenario: 'daemons that all restart recover from a checkpoint',
  },
  {
    name: 'peers send no configuration',
    file: 'src/connection/PeerHeadTracker.ts',
    from: 'return delta && { delta, through: this.through };',
    to: 'return undefined;',
    test: 'test/configurationFaults.test.ts',
    scenario: 'a log outage beyond retention',
  },
  {
    name: 'a join record with an old address counts as announced',
    file: 'src/connection/Joiner.ts',
    from: 'contacts.some(({ address }) => address === this.members.self.address)',
    to: 'contacts.some(({ id }) => id === this.members.self.id)',
    test: 'test/configurationFaults.test.ts',
    scenario: 'daemons that all restart recover from a checkpoint',
  },
  {
    name: 'a lost connection counts as not run',
    file: 'src/request/PeerTransport.ts',
    from: "if (state === 'forbidden') return",
    to: 'if (state !== "nothing") return',
    test: 'test/callFaults.test.ts',
    scenario: 'daemons killed and restarted',
  },
  {
    name: 'calls with an unknown outcome are retried',
    file: 'src/request/Call.ts',
    from: 'if (!notRun && (!this.idempotent || this.attemptsAbove > 1)) return false;',
    to: '',
    test: 'test/callFaults.test.ts',
    scenario: 'daemons killed and restarted',
  },
  {
    name: 'slow calls are not hedged',
    file: 'src/request/Call.ts',
    from: 'if (!this.idempotent || this.attemptsAbove > 1) return first(signal, () => undefined);',
    to: 'return first(signal, () => undefined);',
    test: 'test/callFaults.test.ts',
    scenario: 'a frozen upstream',
  },
  {
    name: 'calls of disconnected callers keep their slots',
    file: 'src/request/CallHandler.ts',
    from: 'const onCallerClose = () => cancel.abort(CALLER_LEFT);',
    to: 'const onCallerClose = () => CALLER_LEFT;',
    test: 'test/callFaults.test.ts',
    scenario: 'a caller that disconnects frees',
  },
  {
    name: 'silent channels are not replaced, upstreams are not tried twice',
    file: 'src/request/Call.ts',
    from: 'this.chooseExcluding(this.triedDaemons) ?? this.chooseExcluding(NO_DAEMONS)',
    to: 'this.chooseExcluding(this.triedDaemons)',
    also: {
      file: 'src/request/PeerTransport.ts',
      from: 'this.channels.retire(upstream.address, channel);',
      to: '',
    },
    test: 'test/silentConnections.test.ts',
    scenario: 'connections that go silent without closing: every GET',
  },
  {
    name: 'a drain aborts running calls',
    file: 'src/process/Daemon.ts',
    from: 'await Promise.race([work, sleep(leftMs, late.signal)]);',
    to: 'void [work, leftMs]; process.exit(0);',
    test: 'test/callFaults.test.ts',
    scenario: 'rolling restart',
  },
  {
    name: 'keys are accepted whatever the age of the proof, by a daemon that is cut off',
    file: 'src/request/Authenticator.ts',
    from: 'if (!proof || proof.isFresh) {',
    to: 'if (!proof || proof) {',
    test: 'test/revokedKeys.test.ts',
    scenario: 'a daemon that is cut off',
  },
  {
    name: 'keys are accepted whatever the age of the proof, by a daemon that was frozen',
    file: 'src/request/Authenticator.ts',
    from: 'if (!proof || proof.isFresh) {',
    to: 'if (!proof || proof) {',
    test: 'test/revokedKeys.test.ts',
    scenario: 'a daemon that was frozen',
  },
  {
    name: 'replies to heartbeats carry no proof',
    file: 'src/connection/peerRouter.ts',
    from: 'proof: proof.current }',
    to: 'proof: null }',
    test: 'test/revokedKeys.test.ts',
    scenario: 'a daemon that is cut off',
  },
];

const outputFolder = 'dist-mutant';
const selected = MUTANTS.filter(({ name }) => !process.argv[2] || name === process.argv[2]);
let survivors = 0;
for (const mutant of selected) {
  await bundle(outputFolder, mutant);
  const { status } = spawnSync(process.execPath, ['--import', 'tsx', mutant.test], {
    env: { ...process.env, AZURESTREAM_DIST: outputFolder, AZURESTREAM_SCENARIO: mutant.scenario },
    timeout: 120_000,
  });
  if (status === 0) survivors += 1;
  process.stdout.write(`${status === 0 ? 'SURVIVED' : 'killed'}: ${mutant.name}\n`);
}
rmSync(outputFolder, { recursive: true, force: true });
process.exit(survivors > 0 ? 1 : 0);
