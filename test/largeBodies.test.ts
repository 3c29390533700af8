import { request } from 'undici';
import * as assert from 'uvu/assert';
import { test } from 'uvu';
import Fleet, { eventually } from '../stand-in/Fleet';
import {
  fetchDump,
  pollUntil,
  publish,
  scenario,
  SHORT_PERIODS,
  waitUntilAllAlive,
  waitUntilInForce,
  writeFolder,
} from './support';

const LARGEST_BODY_BYTES = 64 * 1024 * 1024;
const UPLOADS = 4;
/** Memory that the platform gives to a daemon, in bytes. */
const MEMORY_LIMIT_BYTES = 350e6;
const FOLDER = {
  '10-stock.toml': `[service.stock]\nslots = ${UPLOADS}\n[route.stock]\nservice = "stock"\npath = "/"\ntimeout = "20s"\nretries = 0\n`,
};

// Guards against a daemon that holds as many large bodies as callers send, and is ended for its memory.
scenario(
  'the memory of daemons stays bounded under several uploads of the largest size',
  async () => {
    const fleet = new Fleet();
    try {
      await fleet.startLog();
      const extra = { ...SHORT_PERIODS, calls: `max_body_bytes = ${LARGEST_BODY_BYTES}` };
      const daemons = await Promise.all(
        ['coq', 'rogers'].map((zone) => fleet.startDaemon({ name: `${zone}-1`, zone, extra })),
      );
      await waitUntilAllAlive(daemons);
      await publish(fleet, writeFolder(fleet, 'folder', FOLDER));
      await waitUntilInForce(0, daemons);
      await fleet.startUpstream('stock', daemons[1]!);
      const url = `http://${daemons[0]!.ready.listening.calls}/`;
      await eventually('a call is answered', async () => (await fetch(url)).status === 200);
      const body = Buffer.alloc(LARGEST_BODY_BYTES);
      const uploads = Promise.allSettled(
        Array.from({ length: UPLOADS }, async () => {
          const answer = await request(url, { method: 'POST', body });
          return `${answer.statusCode}: ${await answer.body.text()}`;
        }),
      );
      let residentBytes = 0;
      await pollUntil(uploads, async () => {
        const dumps = await Promise.all(daemons.map(fetchDump));
        residentBytes = Math.max(residentBytes, ...dumps.map(({ memory }) => memory.residentBytes));
      });
      assert.ok(residentBytes < MEMORY_LIMIT_BYTES, `${Math.round(residentBytes / 1e6)} MB`);
      // The connection of an upload that isn't read is closed, which its sender may see before the refusal.
      const outcomes = (await uploads).map((upload) =>
        upload.status === 'fulfilled' ? upload.value : 'not read',
      );
      assert.ok(
        outcomes.some((outcome) => outcome.startsWith('200')),
        outcomes.join('\n'),
      );
      const unexpected = outcomes.filter(
        (outcome) => !/^(200|503.*memory for bodies|not read)/.test(outcome),
      );
      assert.equal(unexpected, []);
      assert.is((await fetch(url)).status, 200);
    } finally {
      await fleet.dispose();
    }
  },
);

test.run();
