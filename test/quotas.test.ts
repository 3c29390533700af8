import { createHash } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Fleet, { eventually } from '../stand-in/Fleet';
import {
  configurationFiles,
  publish,
  scenario,
  startDaemons,
  waitUntilInForce,
  writeFolder,
} from './support';

const KEY = 'key-of-acme';
const RATE = 20;
const WORK_MS = 3;
/** Time in which daemons that started lately learn who their peers are, and lend their parts. */
const SETTLED_MS = 4_000;

scenario(
  'daemons share the quota of an organisation, and tell refused callers when to retry',
  async () => {
    const fleet = new Fleet();
    try {
      await fleet.startLog();
      const daemons = await startDaemons(fleet, ['coq', 'rogers', 'rogers']);
      const digest = createHash('sha256').update(KEY).digest('hex');
      const folder = writeFolder(fleet, 'folder', {
        ...configurationFiles(['rentals'], 'first'),
        '40-organisations.toml': `[organisation.acme]\nkeys = ["${digest}"]\nrate = ${RATE}\nburst = ${RATE}\n`,
      });
      await publish(fleet, folder);
      await waitUntilInForce(0, daemons);
      await fleet.startUpstream('rentals', daemons[0]!, WORK_MS);
      const call = async (index: number) => {
        const address = daemons[index % daemons.length]!.ready.listening.calls;
        const answer = await fetch(`http://${address}/rentals`, {
          headers: { 'x-azurestream-api-key': KEY },
        });
        await answer.text();
        return { status: answer.status, retryAfter: answer.headers.get('retry-after') };
      };
      await delay(SETTLED_MS);
      await eventually('a call is answered', async () => (await call(0)).status === 200);
      const usual: number[] = [];
      for (let index = 0; index < RATE; index += 1) {
        usual.push((await call(index)).status);
        await delay(1_000 / (0.6 * RATE));
      }
      assert.equal(new Set(usual), new Set([200]));
      const startedAt = Date.now();
      const flood = [];
      for (let index = 0; Date.now() < startedAt + 5_000; index += 1) {
        flood.push(call(index));
        await delay(10);
      }
      const results = await Promise.all(flood);
      const answered = results.filter(({ status }) => status === 200).length;
      const refused = results.filter(({ status }) => status === 429);
      assert.ok(answered <= (RATE * 5 + RATE) * 1.1 + 20, `${answered} calls ran in 5 s`);
      assert.ok(answered >= RATE * 4, `${answered} calls ran in 5 s`);
      assert.is(answered + refused.length, results.length);
      assert.ok(refused.every(({ retryAfter }) => Number(retryAfter) > 0));
    } finally {
      await fleet.dispose();
    }
  },
);

test.run();
