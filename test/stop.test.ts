import { cpSync, mkdirSync, writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import { text } from 'node:stream/consumers';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Fleet, { eventually } from '../stand-in/Fleet';
import { configurationFiles, fetchLedger, publish, startDaemons, writeFolder } from './support';

const ZONES = ['coq', 'coq', 'rogers', 'rogers'];

test('a daemon whose peers were killed exits with code 0 on SIGTERM', async () => {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const [first, second, ...others] = await startDaemons(fleet, ZONES);
    await Promise.all(others.map((daemon) => Fleet.stopProcess(daemon, 'SIGKILL')));
    const survivors = [first!, second!];
    await eventually('the killed daemons are no longer listed as alive', async () => {
      const answer = await fetch(`http://${first!.ready.listening.control}/members`);
      const members = (await answer.json()) as { health: string }[];
      return members.filter(({ health }) => health === 'alive').length === survivors.length;
    });
    for (const { child } of survivors) child.kill('SIGTERM');
    await eventually('both daemons have exited', () =>
      survivors.every(({ child }) => child.exitCode !== null),
    );
    assert.equal(
      survivors.map(({ child }) => child.exitCode),
      [0, 0],
    );
  } finally {
    await fleet.dispose();
  }
});

// Guards against a stop that outlasts its time, as a probe of a lost daemon is still under way.
test('a stopped daemon exits with code 0 though something still keeps its event loop alive', async () => {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const file = fleet.tempPath('keepAlive.cjs');
    writeFileSync(file, 'setInterval(() => undefined, 3_600_000);');
    const daemon = await fleet.startDaemon({
      name: 'stopping',
      zone: 'coq',
      extra: { daemon: 'leave = "100ms"\ndrain = "1s"' },
      nodeArguments: ['--require', file],
    });
    daemon.child.kill('SIGTERM');
    await eventually('the daemon has exited', () => daemon.child.exitCode !== null);
    assert.is(daemon.child.exitCode, 0);
  } finally {
    await fleet.dispose();
  }
});

test('a stopping daemon still passes calls of other daemons to its upstream', async () => {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const [entry] = await startDaemons(fleet, ['coq']);
    const stopping = await fleet.startDaemon({
      name: 'far',
      zone: 'coq',
      extra: { daemon: 'leave = "60s"\ndrain = "90s"' },
    });
    await fleet.startUpstream('stock', stopping);
    const folder = fleet.tempPath('folder');
    cpSync('examples/association', folder, { recursive: true });
    await fleet.runCommand(['publish', folder, '--log', fleet.logAddress]);
    const url = `http://${entry!.ready.listening.calls}/stock/x`;
    await eventually('a call is answered', async () => (await fetch(url)).status === 200);
    stopping.child.kill('SIGTERM');
    await eventually('the stopping daemon closes connections of callers', async () => {
      const answer = await fetch(`http://${stopping.ready.listening.calls}/stock/x`);
      return answer.headers.get('connection') === 'close';
    });
    const statuses: number[] = [];
    for (let call = 0; call < 20; call += 1) statuses.push((await fetch(url)).status);
    assert.equal(new Set(statuses), new Set([200]));
    stopping.child.kill('SIGTERM');
    assert.is((await fetch(url)).status, 200, 'a second SIGTERM ends no call');
    assert.is(stopping.child.exitCode, null);
  } finally {
    await fleet.dispose();
  }
});

// Guards against calls that are cut as signals come again while a daemon stops.
test('a daemon that gets signals in series while it stops answers the calls that it took', async () => {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const [daemon] = await startDaemons(fleet, ['coq']);
    const stopping = await fleet.startDaemon({
      name: 'stopping',
      zone: 'coq',
      extra: { daemon: 'leave = "200ms"\ndrain = "60s"' },
    });
    const upstream = await fleet.startUpstream('stock', daemon!, 2_000);
    const folder = writeFolder(fleet, 'folder', configurationFiles(['stock'], 'first'));
    await publish(fleet, folder);
    const call = (id: string) =>
      fetch(`http://${stopping.ready.listening.calls}/stock`, {
        method: 'POST',
        headers: { 'x-call-id': id },
      });
    await eventually('a call is answered', async () => (await call('before')).status === 200);
    const ids = ['first', 'second', 'third'];
    const answers = ids.map(call);
    await eventually('the calls run', async () => {
      const ran = (await fetchLedger(upstream.ready.port)).map(({ id }) => id);
      return ids.every((id) => ran.includes(id));
    });
    for (const signal of ['SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGINT', 'SIGHUP', 'SIGTERM'] as const) {
      stopping.child.kill(signal);
      await delay(50);
    }
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    assert.equal(statuses, [200, 200, 200]);
    await eventually('the daemon has exited', () => stopping.child.exitCode !== null);
    assert.is(stopping.child.exitCode, 0);
  } finally {
    await fleet.dispose();
  }
});

// Guards against a process that a reload of its settings ends.
test('a daemon that gets SIGHUP while it starts runs on', async () => {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const preload = fleet.tempPath('hangup.cjs');
    writeFileSync(
      preload,
      `const { Server } = require('node:net');
      const { listen } = Server.prototype;
      Server.prototype.listen = function (...args) {
        process.kill(process.pid, 'SIGHUP');
        return listen.apply(this, args);
      };`,
    );
    const nodeArguments = ['--require', preload];
    const daemon = await fleet.startDaemon({ name: 'coq-0', zone: 'coq', nodeArguments });
    assert.is(await Fleet.stopProcess(daemon), 0);
  } finally {
    await fleet.dispose();
  }
});

test('a stopping daemon refuses a call that is expected to outlast it', async () => {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const [daemon] = await startDaemons(fleet, ['coq']);
    const stopping = await fleet.startDaemon({
      name: 'stopping',
      zone: 'coq',
      extra: { daemon: 'leave = "60s"\ndrain = "90s"' },
    });
    const upstream = await fleet.startUpstream('stock', daemon!);
    const folder = fleet.tempPath('folder');
    mkdirSync(folder);
    const routes = ['short', 'long'].map(
      (name) => `[route.${name}]\nservice = "stock"\npath = "/${name}"\ntimeout = "10m"\n`,
    );
    const [short, long] = [`${routes[0]}objective = "1s"\n`, `${routes[1]}objective = "5m"\n`];
    const service = '[service.stock]\nslots = 18\nconnections = 120\n';
    writeFileSync(`${folder}/10.toml`, `${service}${short}${long}`);
    await fleet.runCommand(['publish', folder, '--log', fleet.logAddress]);
    const call = (path: string, id: string) =>
      fetch(`http://${stopping.ready.listening.calls}${path}`, { headers: { 'x-call-id': id } });
    await eventually(
      'a call is answered',
      async () => (await call('/short', 'before')).status === 200,
    );
    stopping.child.kill('SIGTERM');
    await eventually(
      'the stopping daemon closes connections of callers',
      async () => (await call('/short', 'stopping')).headers.get('connection') === 'close',
    );
    const answers = [await call('/short', 'ends'), await call('/long', 'outlasts')];
    assert.equal(
      answers.map(({ status, headers }) => [
        status,
        headers.get('connection'),
        headers.get('x-azurestream-outcome'),
      ]),
      [
        [200, 'close', 'answered'],
        [503, 'close', 'not-run'],
      ],
    );
    const ran = (await fetchLedger(upstream.ready.port)).map(({ id }) => id);
    assert.ok(ran.includes('ends'));
    assert.not(ran.includes('outlasts'));
  } finally {
    await fleet.dispose();
  }
});

test('a stopping daemon refuses a call that may not be repeated and may outlast it', async () => {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const [daemon] = await startDaemons(fleet, ['coq']);
    const stopping = await fleet.startDaemon({
      name: 'stopping',
      zone: 'coq',
      extra: { daemon: 'leave = "60s"\ndrain = "90s"' },
    });
    const upstream = await fleet.startUpstream('stock', daemon!);
    const folder = fleet.tempPath('folder');
    mkdirSync(folder);
    const service = '[service.stock]\nslots = 18\nconnections = 120\n';
    const route = '[route.stock]\nservice = "stock"\npath = "/stock"\nobjective = "1s"\n';
    writeFileSync(`${folder}/10.toml`, `${service}${route}timeout = "10m"\n`);
    await fleet.runCommand(['publish', folder, '--log', fleet.logAddress]);
    const call = (method: string, id: string, deadlineMs: number) =>
      fetch(`http://${stopping.ready.listening.calls}/stock/x`, {
        method,
        headers: { 'x-call-id': id, 'x-azurestream-deadline-ms': String(deadlineMs) },
      });
    await eventually(
      'a call is answered',
      async () => (await call('GET', 'before', 60_000)).status === 200,
    );
    stopping.child.kill('SIGTERM');
    await eventually(
      'the stopping daemon closes connections of callers',
      async () => (await call('GET', 'stopping', 5_000)).headers.get('connection') === 'close',
    );
    const answers = [
      await call('POST', 'outlasts', 600_000),
      await call('POST', 'ends', 5_000),
      await call('GET', 'repeatable', 600_000),
    ];
    assert.equal(
      answers.map(({ status, headers }) => [status, headers.get('x-azurestream-outcome')]),
      [
        [503, 'not-run'],
        [200, 'answered'],
        [200, 'answered'],
      ],
    );
    const ran = (await fetchLedger(upstream.ready.port)).map(({ id }) => id);
    assert.equal([ran.includes('outlasts'), ran.includes('ends')], [false, true]);
  } finally {
    await fleet.dispose();
  }
});

test('a stopping daemon answers pipelined requests in order and closes the connection', async () => {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const stopping = await fleet.startDaemon({
      name: 'far',
      zone: 'coq',
      extra: { daemon: 'leave = "60s"\ndrain = "90s"' },
    });
    await fleet.startUpstream('stock', stopping);
    const folder = fleet.tempPath('folder');
    cpSync('examples/association', folder, { recursive: true });
    await fleet.runCommand(['publish', folder, '--log', fleet.logAddress]);
    const { calls } = stopping.ready.listening;
    const url = `http://${calls}/stock/x`;
    await eventually('a call is answered', async () => (await fetch(url)).status === 200);
    stopping.child.kill('SIGTERM');
    await eventually('the stopping daemon closes connections of callers', async () => {
      const answer = await fetch(url);
      return answer.headers.get('connection') === 'close';
    });
    const [host, port] = calls.split(':');
    const socket = connect(Number(port), host);
    for (const [id, workMs] of [
      ['first', 600],
      ['second', 200],
    ]) {
      socket.write(
        `GET /stock/x?work=${workMs} HTTP/1.1\r\nHost: mesh\r\nX-Call-Id: ${id}\r\n\r\n`,
      );
    }
    const answers = (await text(socket)).split(/(?=HTTP\/1\.1 )/);
    assert.equal(
      answers.map((answer) => [
        /first|second/.exec(answer)?.[0],
        /^connection: close/im.test(answer),
      ]),
      [
        ['first', false],
        ['second', true],
      ],
    );
    stopping.child.kill('SIGTERM');
    assert.is((await fetch(url)).status, 200, 'a second SIGTERM ends no call');
    assert.is(stopping.child.exitCode, null);
  } finally {
    await fleet.dispose();
  }
});

test('a stop ends an endless call as unknown and sends the pipelined response behind it', async () => {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const [daemon] = await startDaemons(fleet, ['coq']);
    const stopping = await fleet.startDaemon({
      name: 'stopping',
      zone: 'coq',
      extra: { daemon: 'leave = "100ms"\ndrain = "1s"' },
    });
    const upstream = await fleet.startUpstream('stock', daemon!);
    await publish(fleet, writeFolder(fleet, 'folder', configurationFiles(['stock'], 'first')));
    const { calls } = stopping.ready.listening;
    const url = `http://${calls}/stock`;
    await eventually('a call is answered', async () => (await fetch(url)).status === 200);
    const [host, port] = calls.split(':');
    const socket = connect(Number(port), host);
    for (const [id, work] of Object.entries({ endless: 600_000, ready: 0 })) {
      socket.write(`GET /stock?work=${work} HTTP/1.1\r\nHost: mesh\r\nx-call-id: ${id}\r\n\r\n`);
    }
    await eventually('both calls run', async () => {
      const ran = (await fetchLedger(upstream.ready.port)).map(({ id }) => id);
      return ran.includes('endless') && ran.includes('ready');
    });
    stopping.child.kill('SIGTERM');
    const received = await text(socket);
    assert.equal(received.match(/(?<=^HTTP\/1.1 )\d+|(?<=^x-azurestream-outcome: )\S+/gm), [
      '502',
      'unknown',
      '200',
      'answered',
    ]);
  } finally {
    await fleet.dispose();
  }
});

test.run();
