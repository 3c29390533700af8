import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Fleet from '../stand-in/Fleet';
import {
  configurationFiles,
  publish,
  startDaemons,
  waitUntilInForce,
  writeFolder,
} from './support';

/**
 * Replaces the parts of a command's output that differ between runs: paths, addresses, versions.
 */
function normalise(text: string, fleet: Fleet): string {
  return text
    .replaceAll(fleet.tempPath('').replace(/\/$/, ''), 'TMP')
    .replace(/127\.0\.0\.1:\d{4,}/g, 'ADDRESS')
    .replace(/version \d+/g, 'version N');
}

test('invalid input is reported in one line and by the exit code', async () => {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const good = writeFolder(fleet, 'good', configurationFiles(['stock'], 'first'));
    const bad = writeFolder(fleet, 'bad', { '10.toml': '[route.a]\nservice = "x"\npath = "/a"\n' });
    const settings = fleet.tempPath('settings.toml');
    writeFileSync(settings, '[daemon]\nname = 1\n');
    const lines: string[] = [];
    const run = async (...args: string[]) => {
      const { exitCode, stderr } = await fleet.runCommand(args);
      lines.push(`${args[0]} ${exitCode}: ${normalise(stderr.trim().split('\n')[0]!, fleet)}`);
    };
    await run('launch');
    await run('check');
    await run('check', fleet.tempPath('missing'));
    await run('check', bad);
    await run('publish', bad, '--log', fleet.logAddress);
    await run('publish', good);
    await run('publish', good, '--log', '127.0.0.1:9');
    await run('publish', good, '--log', fleet.logAddress, '--base', 'latest');
    await run('publish', good, '--log', fleet.logAddress, '--base', '7');
    await run('pull', fleet.tempPath('pulled'), '--log', fleet.logAddress);
    await run('status');
    await run('status', '--daemon', '127.0.0.1:9');
    await run('dump', '127.0.0.1:9');
    await run('explain', '127.0.0.1:9', 'GET', '/stock');
    await run('run');
    await run('run', '--settings', fleet.tempPath('missing.toml'));
    await run('run', '--settings', settings);
    assert.snapshot(
      lines.join('\n'),
      `launch 2: azurestream: found command "launch", expected one of run, check, merge, diff, pull, publish, status, dump, explain, trace
check 2: azurestream check: found 0 arguments, expected FOLDER
check 1: azurestream check: TMP/missing: found no folder that can be read (ENOENT), expected a folder
check 1: azurestream check: 10.toml:2: route.a.service: found "x", expected a service that some file declares
publish 1: azurestream publish: 10.toml:2: route.a.service: found "x", expected a service that some file declares
publish 2: azurestream publish: found neither --log nor --settings, expected one of them
publish 3: azurestream publish: log service: read failed: ECONNREFUSED
publish 1: azurestream publish: --base: found "latest", expected a version number or "none"
publish 1: azurestream publish: nothing was ever published; expected the base "none"
pull 1: azurestream pull: nothing was ever published
status 2: azurestream status: found neither --daemon nor --settings
status 3: azurestream status: 127.0.0.1:9: found no daemon (ECONNREFUSED), expected the control address of one
dump 3: azurestream dump: 127.0.0.1:9: found no daemon (ECONNREFUSED), expected the control address of one
explain 3: azurestream explain: 127.0.0.1:9: found no daemon (ECONNREFUSED), expected the control address of one
run 2: azurestream run: found no --settings, expected a TOML file
run 1: azurestream run: TMP/missing.toml: can't be read: ENOENT
run 1: azurestream run: TMP/settings.toml: daemon.name: found 1, expected a name`,
    );
  } finally {
    await fleet.dispose();
  }
});

test('--help describes each command', async () => {
  const fleet = new Fleet();
  try {
    const lines: string[] = [];
    for (const name of [
      'run',
      'check',
      'merge',
      'diff',
      'pull',
      'publish',
      'status',
      'dump',
      'explain',
    ]) {
      const { exitCode, stdout } = await fleet.runCommand([name, '--help']);
      lines.push(
        `${exitCode} ${stdout
          .split('\n')
          .find((line) => line.trim().startsWith(name))
          ?.trim()}`,
      );
    }
    assert.snapshot(
      lines.join('\n'),
      `0 run                           run the daemon; needs --settings
0 check FOLDER                  print every fault and doubtful entry; with --daemon or --log, what differs in force
0 merge FOLDER                  print the merged configuration, each value with the file it comes from
0 diff FOLDER                   compare a folder with the one in force
0 pull FOLDER                   make a folder equal to the one in force; other .toml files in it are removed
0 publish FOLDER                check, append to the log and wait for the verdict; --wait until in force everywhere
0 status                        version and digest of each live daemon, which lag, and why
0 dump ADDRESS                  the whole state of one daemon, as JSON
0 explain ADDRESS METHOD PATH   which route matches a call, from which file, which upstreams, which limits`,
    );
  } finally {
    await fleet.dispose();
  }
});

test('publish, pull, diff, status and explain agree on the version in force', async () => {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const daemons = await startDaemons(fleet, ['coq', 'rogers']);
    const { control } = daemons[0]!.ready.listening;
    const folder = writeFolder(fleet, 'folder', configurationFiles(['stock'], 'first'));
    const lines: string[] = [];
    const run = async (...args: string[]) => {
      const { exitCode, stdout } = await fleet.runCommand([
        ...args,
        '--log',
        fleet.logAddress,
        '--daemon',
        control,
      ]);
      lines.push(`${args[0]} ${exitCode}: ${normalise(stdout.trim(), fleet)}`);
    };
    await run('publish', folder, '--wait');
    await run('publish', folder);
    const pulled = fleet.tempPath('pulled');
    mkdirSync(pulled);
    writeFileSync(join(pulled, 'left-over.toml'), '');
    await run('pull', pulled);
    writeFileSync(join(pulled, '30-marker.toml'), '# second\n');
    writeFileSync(join(pulled, '40-new.toml'), '');
    await run('diff', pulled);
    await run('publish', pulled, '--wait');
    await run('publish', writeFolder(fleet, 'folder', configurationFiles(['stock'], 'other')));
    await waitUntilInForce(1, daemons);
    await run('explain', control, 'post', '/stock/7');
    await run('explain', control, 'get', '/nowhere');
    const status = await fleet.runCommand(['status', '--daemon', control, '--json']);
    const { newest, lagging } = JSON.parse(status.stdout) as { newest: number; lagging: number };
    const base = Number(readFileSync(join(pulled, '.azurestream-base'), 'utf8'));
    lines.push(
      `status ${status.exitCode}: lagging ${lagging}, newest is the folder's base: ${newest === base}`,
    );
    assert.snapshot(
      lines.join('\n'),
      `publish 0: accepted as version N
publish 0: version N is this folder already
pull 0: wrote version N: 3 files
diff 0: changed 30-marker.toml
added   40-new.toml
publish 0: accepted as version N
publish 1: 
explain 1: POST /stock/7 on version N
route stock: GET HEAD OPTIONS PUT DELETE POST PATCH /stock, 120000 ms
service stock: 18 slots, 120 connections
service.stock from 10-services.toml
route.stock from 20-routes.toml
idempotent: no; upstreams that serve: 0
would be refused as not run: route stock is not in force: service stock has no upstream that serves
explain 1: GET /nowhere on version N
would be refused as not run: no route matches
status 0: lagging 0, newest is the folder's base: true`,
    );
    assert.is((await publish(fleet, pulled)).exitCode, 0);
  } finally {
    await fleet.dispose();
  }
});

test.run();
