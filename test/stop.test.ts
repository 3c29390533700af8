import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Fleet, { eventually } from '../stand-in/Fleet';
import { startDaemons } from './support';

const ZONES = ['coq', 'coq', 'rogers', 'rogers'];

test('a daemon that lost peers ends by itself with 0 once it is stopped', async () => {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const [first, second, ...others] = await startDaemons(fleet, ZONES);
    await Promise.all(others.map((daemon) => Fleet.end(daemon, 'SIGKILL')));
    const left = [first!, second!];
    await eventually('the others are lost from sight', async () => {
      const answer = await fetch(`http://${first!.ready.listening.control}/members`);
      const members = (await answer.json()) as { health: string }[];
      return members.filter(({ health }) => health === 'alive').length === left.length;
    });
    for (const { child } of left) child.kill('SIGTERM');
    await eventually('both have ended', () => left.every(({ child }) => child.exitCode !== null));
    assert.equal(
      left.map(({ child }) => child.exitCode),
      [0, 0],
    );
  } finally {
    await fleet.dispose();
  }
});

test.run();
