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
/** As on the platform. */
const CALL_SETTINGS = `max_body_bytes = ${LARGEST_BODY_BYTES}\nsilence = "5s"`;
const UPLOADS = 4;
/** Memory that the platform gives to a daemon, in bytes. */
const MEMORY_LIMIT_BYTES = 350e6;
const FOLDER = {
  '10-stock.toml': `[service.stock]\nslots = ${UPLOADS}\n[route.stock]\nservice = "stock"\npath = "/"\ntimeout = "20s"\nretries = 0\n`,
};

/**
 * Uploads bodies of the largest size to one upstream, all at once, and checks the memory of the daemons.
 *
 * @param zones - Zones of the daemons; the upstream is beside the last one.
 * @param entryOf - Picks the daemon that gets an upload, by the number of the upload.
 */
async function uploadAtOnce(
  zones: readonly string[],
  entryOf: (upload: number) => number,
): Promise<void> {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const extra = { ...SHORT_PERIODS, calls: CALL_SETTINGS };
    const daemons = await Promise.all(
      zones.map((zone, index) => fleet.startDaemon({ name: `${zone}-${index}`, zone, extra })),
    );
    await waitUntilAllAlive(daemons);
    await publish(fleet, writeFolder(fleet, 'folder', FOLDER));
    await waitUntilInForce(0, daemons);
    await fleet.startUpstream('stock', daemons.at(-1)!);
    const urls = daemons.map(({ ready }) => `http://${ready.listening.calls}/`);
    const isServed = async (url: string) => (await fetch(url)).status === 200;
    for (const url of urls) await eventually('a call is answered', () => isServed(url));
    const body = Buffer.alloc(LARGEST_BODY_BYTES);
    const uploads = Promise.allSettled(
      Array.from({ length: UPLOADS }, async (_, upload) => {
        const answer = await request(urls[entryOf(upload)]!, { method: 'POST', body });
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
    const ran = outcomes.filter((outcome) => outcome.startsWith('200'));
    assert.ok(ran.length > 0, outcomes.join('\n'));
    const unexpected = outcomes.filter((outcome) => !/^(200|503.*not-run|not read)/.test(outcome));
    assert.equal(unexpected, []);
    for (const url of urls) assert.ok(await isServed(url));
  } finally {
    await fleet.dispose();
  }
}

// Guards against a daemon that holds as many large bodies as callers send, and is ended for its memory.
scenario('the memory of daemons stays bounded under several uploads of the largest size', () =>
  uploadAtOnce(['coq', 'rogers'], () => 0),
);

// Guards against the same at the daemon beside the upstream, where each comes from another daemon.
scenario(
  'the memory of the daemon beside an upstream stays bounded under large uploads through several daemons',
  () => uploadAtOnce(['coq', 'rogers', 'kootenay', 'pine', 'coq'], (upload) => upload),
);

test.run();
