/**
 * Upstreams that send a response once more, through one daemon and through two: what callers are told
 * of a charge agrees with what the upstream ran.
 *
 * @packageDocumentation
 */
import { setTimeout as delay } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import { test } from 'uvu';
import Fleet, { eventually } from '../stand-in/Fleet';
import ScriptedUpstream, {
  type ScriptedRequest,
  type ScriptedStep,
} from '../stand-in/ScriptedUpstream';
import {
  publish,
  scenario,
  startDaemons,
  waitUntilInForce,
  writeFolder,
  type DaemonProcess,
} from './support';

const ANNOUNCE_INTERVAL_MS = 500;
/** Pause between two charges in which a late repetition arrives, in milliseconds. */
const PAUSE_MS = 60;
const FOLDER = {
  '10-desk.toml': `[service.desk]\nslots = 1\nconnections = 1\n[route.desk]\nservice = "desk"\npath = "/"\ntimeout = "5s"\n`,
};
const REFUSAL_HEAD = 'HTTP/1.1 503 Full\r\nx-azurestream-not-executed: 1\r\ncontent-length: 0\r\n';

function answer(id: string): string {
  const body = `charged ${id}`;
  return `HTTP/1.1 200 OK\r\nx-azurestream-request-id: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

function refusal(id: string | undefined): string {
  return `${REFUSAL_HEAD}${id ? `x-azurestream-request-id: ${id}\r\n` : ''}\r\n`;
}

/** How the upstream repeats its first response. */
interface Repetition {
  readonly name: string;
  readonly first: (id: string) => string;
  /** Milliseconds after which it is repeated; `undefined` to repeat it in front of the next response. */
  readonly delayMs: number | undefined;
}

const FIRSTS = {
  answer,
  'refusal with id': refusal,
  'refusal without id': () => refusal(undefined),
};
const REPETITIONS: Repetition[] = Object.entries(FIRSTS).flatMap(([name, first]) =>
  [0, 3, 40, undefined].map((delayMs) => ({
    name: `${name}, ${delayMs ?? 'in front of the next one'}`,
    first,
    delayMs,
  })),
);

/** An upstream that runs each charge but those that it refuses first, and repeats that response. */
class RepeatingUpstream {
  /** Ids of the charges that ran, once for each run. */
  public readonly ran: string[] = [];

  public repetition = REPETITIONS[0]!;

  /** First response of the current series of charges, once it is sent. */
  private earlier: string | undefined;

  private readonly server = new ScriptedUpstream((request) => this.respond(request));

  private timer: NodeJS.Timeout | undefined;

  /** Starts a series of charges, whose first response is repeated. */
  public begin(repetition: Repetition): void {
    this.repetition = repetition;
    this.earlier = undefined;
  }

  public async announce({ ready }: DaemonProcess): Promise<void> {
    const address = await this.server.listen();
    const body = JSON.stringify({ service: 'desk', address, state: 'serving', slots: 1 });
    const announceOnce = () =>
      fetch(`http://${ready.listening.control}/upstream`, { method: 'PUT', body }).catch(
        () => undefined,
      );
    await announceOnce();
    this.timer = setInterval(() => void announceOnce(), ANNOUNCE_INTERVAL_MS);
  }

  public close(): void {
    clearInterval(this.timer);
    this.server.close();
  }

  private respond({ id, sent }: ScriptedRequest): ScriptedStep[] {
    const { first, delayMs } = this.repetition;
    if (this.earlier === undefined) {
      this.earlier = first(id);
      if (first === answer) this.ran.push(id);
      sent.push(this.earlier);
      return delayMs === undefined ? [this.earlier] : [this.earlier, delayMs, this.earlier];
    }
    this.ran.push(id);
    // Only a kept connection can bring a response of an earlier request.
    const isKept = sent.includes(this.earlier);
    return delayMs === undefined && isKept ? [this.earlier, 2, answer(id)] : [20, answer(id)];
  }
}

async function charge({ ready }: DaemonProcess, id: string) {
  const response = await fetch(`http://${ready.listening.calls}/charge`, {
    method: 'POST',
    headers: { 'x-azurestream-request-id': id },
    body: 'charge',
  });
  const outcome = response.headers.get('x-azurestream-outcome');
  return { status: response.status, outcome, body: await response.text() };
}

scenario('repeated responses: no charge is called not run that ran, none runs twice', async () => {
  const fleet = new Fleet();
  const upstream = new RepeatingUpstream();
  try {
    await fleet.startLog();
    const daemons = await startDaemons(fleet, ['coq', 'coq']);
    await publish(fleet, writeFolder(fleet, 'folder', FOLDER));
    await waitUntilInForce(0, daemons);
    await upstream.announce(daemons[0]!);
    await eventually('both daemons know the upstream', async () => {
      const explained = await Promise.all(
        daemons.map(async ({ ready }) => {
          const url = `http://${ready.listening.control}/explain?method=POST&path=/charge`;
          return ((await (await fetch(url)).json()) as { upstreams: unknown[] }).upstreams.length;
        }),
      );
      return explained.every((count) => count === 1);
    });
    const broken: string[] = [];
    for (const [index, daemon] of daemons.entries()) {
      for (const repetition of REPETITIONS) {
        upstream.begin(repetition);
        for (let number = 0; number < 3; number += 1) {
          const id = `${index}-${repetition.name.replaceAll(/\W+/g, '-')}-${number}`;
          const { status, outcome, body } = await charge(daemon, id);
          const runs = upstream.ran.filter((ran) => ran === id).length;
          const told = `${id}: ${status} ${outcome}, ran ${runs} times`;
          const isFalse =
            runs > 1 ||
            (outcome === 'not-run' && runs > 0) ||
            (outcome === 'answered' && status === 200 && body !== `charged ${id}`);
          // A repetition costs none of the later charges their answer.
          const isLost = number > 0 && status !== 200;
          if (isFalse || isLost) broken.push(told);
          if (number === 0) await delay(PAUSE_MS * (index === 0 ? 1 : 0));
        }
      }
    }
    assert.equal(broken, []);
  } finally {
    upstream.close();
    await fleet.dispose();
  }
});

test.run();
