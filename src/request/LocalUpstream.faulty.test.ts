/**
 * Upstreams that repeat, cut, reorder or forge responses: a caller is told the truth of its request.
 *
 * @packageDocumentation
 */
import * as fc from 'fast-check';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ScriptedUpstream, {
  type ScriptedRequest,
  type ScriptedStep,
} from '../../stand-in/ScriptedUpstream';
import SystemClock from '../common/SystemClock';
import type { RequestId } from '../common/Types';
import AttemptRegistry, { DEFAULT_REGISTRY_OPTIONS } from './AttemptRegistry';
import CancelController from './CancelController';
import DEFAULT_HEADER_NAMES from './defaultHeaderNames';
import LocalUpstream from './LocalUpstream';
import type { Answer, AttemptContext, CallRequest, HeaderNames } from './Types';
import UpstreamConnections from './UpstreamConnections';
import UpstreamRuns from './UpstreamRuns';

const ALWAYS_ECHOED: HeaderNames = { ...DEFAULT_HEADER_NAMES, isRequestIdAlwaysEchoed: true };
const TEST_TIMEOUT_MS = 10_000;
/** Time that a call has, in milliseconds; a response that never comes costs as much. */
const CALL_MS = 250;
/** Number of generated sequences; AZURESTREAM_FUZZ_RUNS sets another one for runs by hand. */
const FUZZ_RUNS = Number(process.env.AZURESTREAM_FUZZ_RUNS ?? 60);
const ID = DEFAULT_HEADER_NAMES.requestId;
const REFUSED = `HTTP/1.1 503 Full\r\n${DEFAULT_HEADER_NAMES.notExecuted}: 1\r\ncontent-length: 0\r\n`;

function bodyOf(id: string): string {
  return `the answer to ${id}`;
}

function answer(id: string): string {
  const body = bodyOf(id);
  return `HTTP/1.1 200 OK\r\n${ID}: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

function chunkedAnswer(id: string): string {
  const body = bodyOf(id);
  const head = `HTTP/1.1 200 OK\r\n${ID}: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`;
  return `${head}${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
}

function refusal(id?: string): string {
  return `${REFUSED}${id ? `${ID}: ${id}\r\n` : ''}\r\n`;
}

/** A daemon's upstream with one slot and one connection, and what its callers were told. */
class Trial {
  /** Ids of the requests that the upstream ran, once for each run. */
  public readonly ran: string[] = [];

  private readonly server: ScriptedUpstream;

  private upstream!: LocalUpstream;

  private calls = 0;

  /**
   * @param names - Header names, and whether the upstream always echoes ids.
   * @param respond - What the upstream sends; it reports by `run` that it ran the request.
   */
  public constructor(
    private readonly names: HeaderNames,
    respond: (request: ScriptedRequest, run: () => void) => ScriptedStep[],
  ) {
    this.server = new ScriptedUpstream((request) =>
      respond(request, () => this.ran.push(request.id)),
    );
  }

  public async start(): Promise<void> {
    const address = await this.server.listen();
    const clock = new SystemClock();
    const options = {
      connections: 1,
      connectMs: TEST_TIMEOUT_MS,
      keepAliveMs: TEST_TIMEOUT_MS,
      idHeader: ID,
    };
    this.upstream = new LocalUpstream({ slots: 1, queue: 4, warmUpMs: 0 }, address, {
      connect: () => new UpstreamConnections(address, options),
      registry: new AttemptRegistry(DEFAULT_REGISTRY_OPTIONS, clock),
      runs: new UpstreamRuns(clock),
      names: this.names,
      lagMs: () => 0,
      waitedMs: () => 0,
      clock,
      logger: { log: () => undefined },
      onUnreachable: () => undefined,
    });
  }

  /** Sends a POST; returns `answered`, `broken`, or the name of the error. */
  public async call(id: string, allowedMs = TEST_TIMEOUT_MS): Promise<string> {
    this.calls += 1;
    const requestId = id as RequestId;
    const headers = ['host', 'x', ID, id];
    const body = Buffer.from('charge');
    const request: CallRequest = { method: 'POST', path: `/${id}`, requestId, headers, body };
    const deadline = new SystemClock().now() + allowedMs;
    const attempt = { daemon: 'near', incarnation: 1, number: this.calls };
    const common = { service: 's', route: 'r', priority: 0, idempotent: false, attempts: 1 };
    const context = { id: attempt, ...common, deadline, objective: deadline };
    const cancel = new CancelController();
    const timer = setTimeout(() => cancel.abort('the deadline passed'), allowedMs);
    try {
      return await Trial.read(
        await this.upstream.run(request, context as unknown as AttemptContext, cancel),
        id,
      );
    } catch (error) {
      return (error as Error).name;
    } finally {
      clearTimeout(timer);
    }
  }

  public get runningCalls(): number {
    return this.upstream.counts.running;
  }

  public stop(): void {
    this.upstream.dispose();
    this.server.close();
  }

  private static async read(response: Answer, id: string): Promise<string> {
    let body = '';
    const write = (chunk: Buffer) => {
      body += chunk.toString('latin1');
      return true;
    };
    try {
      await response.pipe({ write, onDrain: () => undefined });
    } catch {
      return 'broken';
    }
    if (response.status !== 200) return `status ${response.status}`;
    return body === bodyOf(id) ? 'answered' : `answered with "${body}"`;
  }
}

/**
 * Sends two calls to an upstream that sends extra bytes after its first response.
 *
 * @returns What the callers were told, and which requests ran.
 */
async function runRepeat(
  names: HeaderNames,
  first: (id: string) => string,
  delayMs: number | 'in front of the next answer',
): Promise<string> {
  let earlier = '';
  const trial = new Trial(names, ({ id, index }, run) => {
    if (index === 0) {
      earlier = first(id);
      if (first === answer) run();
      return typeof delayMs === 'number' ? [earlier, delayMs, earlier] : [earlier];
    }
    run();
    return typeof delayMs === 'number' ? [20, answer(id)] : [earlier, 3, answer(id)];
  });
  await trial.start();
  try {
    const told = [await trial.call('a')];
    if (delayMs === 40) await delay(20);
    told.push(await trial.call('b'));
    return `${told.join(', ')}; ran ${trial.ran.join(' ')}`;
  } finally {
    trial.stop();
  }
}

test('a response that is sent once more is not taken for that of the next request', async () => {
  const firsts = { answer, 'refusal with id': refusal, 'refusal without id': () => refusal() };
  const rows: string[] = [];
  for (const [name, first] of Object.entries(firsts)) {
    for (const delayMs of [0, 3, 40, 'in front of the next answer'] as const) {
      rows.push(`${name}, ${delayMs}: ${await runRepeat(DEFAULT_HEADER_NAMES, first, delayMs)}`);
    }
  }
  const served = 'NotRunError, answered; ran b';
  assert.snapshot(
    rows.join('\n'),
    `answer, 0: answered, answered; ran a b
answer, 3: answered, answered; ran a b
answer, 40: answered, answered; ran a b
answer, in front of the next answer: answered, answered; ran a b
refusal with id, 0: ${served}
refusal with id, 3: ${served}
refusal with id, 40: ${served}
refusal with id, in front of the next answer: ${served}
refusal without id, 0: ${served}
refusal without id, 3: ${served}
refusal without id, 40: ${served}
refusal without id, in front of the next answer: NotRunError, UnknownOutcomeError; ran b`,
  );
});

test('a head that is cut off anywhere gives no answer', async () => {
  const whole = chunkedAnswer('a');
  const heads = [answer('a'), whole, `HTTP/1.1 103 Early Hints\r\n\r\n${whole}`];
  for (const head of heads) {
    const headBytes = head.lastIndexOf('\r\n\r\n', head.indexOf('the answer'));
    for (let bytes = 1; bytes < headBytes; bytes += 7) {
      for (const end of ['END', 'RESET'] as const) {
        const trial = new Trial(DEFAULT_HEADER_NAMES, () => [head.slice(0, bytes), 2, end]);
        await trial.start();
        const told = await trial.call('a');
        trial.stop();
        assert.is(told, 'UnknownOutcomeError', JSON.stringify(head.slice(0, bytes)));
      }
    }
  }
});

/** Heads that nothing may be taken from, each followed by a whole body. */
const MALFORMED_HEADS = [
  ...['000', '099', '101', '600', '700', '999', '20', '1000', '2xx'].flatMap((status) => [
    `HTTP/1.1 ${status} X\r\nID\r\ncontent-length: LENGTH`,
    `HTTP/1.1 ${status} X\r\nID\r\n${DEFAULT_HEADER_NAMES.notExecuted}: 1\r\ncontent-length: LENGTH`,
  ]),
  'HTTP/1.1 101 X\r\nconnection: upgrade\r\nupgrade: x',
  ...['HTTP/2.0', 'HTTP/0.9', 'HTTP/1.2', 'RTSP/1.0'].map(
    (version) => `${version} 200 OK\r\nID\r\ncontent-length: LENGTH`,
  ),
  ...['-1', '+5', '1.5', '0x5', 'LENGTH, LENGTH', '', '99999999999999999999'].map(
    (length) => `HTTP/1.1 200 OK\r\nID\r\ncontent-length: ${length}`,
  ),
  'HTTP/1.1 200 OK\r\nID\r\ncontent-length: LENGTH\r\ncontent-length: 3',
  'HTTP/1.1 200 OK\r\nID\r\ncontent-length: 3\r\ntransfer-encoding: chunked',
  'HTTP/1.1 200 OK\r\nID\r\ntransfer-encoding: chunked\r\ncontent-length: 3',
];

// Guards against statuses that are forwarded, or that only a timeout ends, and against a next call that fails.
test('a malformed head fails its call at once, on a connection that carries no further call', async () => {
  const faults: string[] = [];
  for (const [faultyIndex, head] of [0, 1].flatMap((at) =>
    MALFORMED_HEADS.map((text) => [at, text] as const),
  )) {
    const connections: unknown[] = [];
    const trial = new Trial(DEFAULT_HEADER_NAMES, ({ id, index, sent }) => {
      connections.push(sent);
      if (index !== faultyIndex) return [answer(id)];
      const filled = head.replace('ID', `${ID}: ${id}`).replaceAll('LENGTH', '15');
      return [`${filled}\r\n\r\n${bodyOf(id)}`];
    });
    await trial.start();
    const told = [await trial.call('a'), await trial.call('b'), await trial.call('c')];
    trial.stop();
    const expected = ['answered', 'answered', 'answered'];
    expected[faultyIndex] = 'UnknownOutcomeError';
    const isReused = connections[faultyIndex] === connections[faultyIndex + 1];
    if (told.join() !== expected.join() || isReused) faults.push(`${head}: ${told} ${isReused}`);
  }
  assert.equal(faults, []);
});

/** What a faulty upstream does with one request. */
interface Fault {
  readonly kind: 'answer' | 'chunked' | 'refuse' | 'refuseWithoutId' | 'silent';
  /** Sent before the response. */
  readonly before: 'nothing' | 'repeat' | 'interim' | 'garbage';
  /** Sent behind it. */
  readonly after: 'nothing' | 'repeat' | 'lateRepeat' | 'garbage' | 'close';
  /** Share of the response after which it is cut off; 1 for a whole one. */
  readonly cutAt: number;
  /** Size of the parts in which the response is written, in bytes. */
  readonly partBytes: number;
}

function chooseRepeat(sent: readonly string[]): string {
  return sent[0] ?? '';
}

function respondFaultily(fault: Fault, { id, sent }: ScriptedRequest): ScriptedStep[] {
  const responses = {
    answer: answer(id),
    chunked: chunkedAnswer(id),
    refuse: refusal(id),
    refuseWithoutId: refusal(),
    silent: '',
  };
  const before = {
    nothing: '',
    repeat: chooseRepeat(sent),
    interim: 'HTTP/1.1 102 Processing\r\n\r\n',
    garbage: 'garbage\r\n\r\n',
  }[fault.before];
  const response = responses[fault.kind];
  const isCut = fault.cutAt < 1;
  const bytes = before + response.slice(0, Math.floor(response.length * fault.cutAt));
  const steps: ScriptedStep[] = [];
  for (let start = 0; start < bytes.length; start += fault.partBytes) {
    steps.push(bytes.slice(start, start + fault.partBytes), 0);
  }
  if (response && !isCut) sent.push(response);
  if (isCut || fault.kind === 'silent') return [...steps, 'END'];
  const repeat = chooseRepeat(sent);
  const after = { nothing: [], repeat: [repeat], lateRepeat: [3, repeat], garbage: ['garbage'] };
  return [...steps, ...(fault.after === 'close' ? ['END' as const] : after[fault.after])];
}

const arbitraryFault: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom('answer', 'answer', 'chunked', 'refuse', 'refuseWithoutId', 'silent'),
  before: fc.constantFrom('nothing', 'nothing', 'repeat', 'interim', 'garbage'),
  after: fc.constantFrom('nothing', 'nothing', 'repeat', 'lateRepeat', 'garbage', 'close'),
  cutAt: fc.constantFrom(1, 1, 1, 0.2, 0.6, 0.95),
  partBytes: fc.constantFrom(1_000, 1_000, 13),
});

/** Whether the upstream ran a request that it treated so: it refuses without running. */
function isRun({ kind }: Fault): boolean {
  return kind !== 'refuse' && kind !== 'refuseWithoutId';
}

for (const names of [DEFAULT_HEADER_NAMES, ALWAYS_ECHOED]) {
  const echo = names.isRequestIdAlwaysEchoed ? 'always' : 'not always';
  test(`whatever an upstream sends, callers are told the truth; ids are ${echo} echoed`, async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(arbitraryFault, { minLength: 2, maxLength: 6 }), async (faults) => {
        const trial = new Trial(names, (request, run) => {
          const fault = faults[request.index] ?? faults[0]!;
          if (isRun(fault)) run();
          return respondFaultily(fault, request);
        });
        await trial.start();
        try {
          for (const index of faults.keys()) {
            const id = `call-${index}`;
            const told = await trial.call(id, CALL_MS);
            const runs = trial.ran.filter((ran) => ran === id).length;
            assert.ok(runs <= 1, `${id} ran ${runs} times`);
            if (told === 'NotRunError') assert.is(runs, 0, `${id} ran`);
            if (told === 'answered') assert.is(runs, 1, `${id} didn't run`);
            const expected = ['answered', 'broken', 'NotRunError', 'UnknownOutcomeError'];
            assert.ok(expected.includes(told), told);
          }
          assert.is(trial.runningCalls, 0);
        } finally {
          trial.stop();
        }
      }),
      { seed: 3, numRuns: FUZZ_RUNS },
    );
  });
}

test.run();
