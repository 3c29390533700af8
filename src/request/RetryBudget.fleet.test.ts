/**
 * Replays, in virtual time, a fleet whose upstreams are overloaded, shed and fail, and make inner calls.
 * Guards against repeats that nobody charges: a repeated run repeats its inner calls too.
 *
 * @packageDocumentation
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import SeededRandom from '../common/SeededRandom';
import type { RouteName } from '../common/Types';
import InnerCalls from './InnerCalls';
import RetryBudget from './RetryBudget';
import UpstreamRuns from './UpstreamRuns';

const SEEDS = 100;
const WINDOW_MS = 10_000;
const RATIO = 0.2;
const MAX_ATTEMPTS = 3;
const SLOTS = 4;
const RETRY_DELAY_MS = 5;
/** Low load, at which routes can be learnt, then an overload that ends suddenly. */
const PHASES = [
  { untilMs: 6_000, load: 0.3 },
  { untilMs: 22_000, load: 1.4 },
  { untilMs: 30_000, load: 0.1 },
];
/** Services: `a` calls `b`; ordinary callers call both. */
type Target = 'a' | 'b';

/** An arrival of a request at an upstream of a service. */
interface Arrival {
  readonly service: Target;
  readonly at: number;
  readonly isFirst: boolean;
}

/** One daemon with its upstream. */
class Node {
  public readonly runs: UpstreamRuns;

  public readonly inner: InnerCalls;

  public readonly budgets: Record<Target, RetryBudget>;

  public running = 0;

  public constructor(
    clock: ManualClock,
    slack: number,
    public readonly service: Target,
    /** Average duration of a run, in milliseconds. */
    public readonly durationMs: number,
    /** Share of its runs that fail. */
    public readonly failureShare: number,
    /** Whether the upstream itself sheds calls, rather than this daemon refusing them. */
    public readonly sheds: boolean,
  ) {
    this.runs = new UpstreamRuns(clock);
    this.inner = new InnerCalls(this.runs);
    const allowance = {
      windowMs: () => WINDOW_MS,
      slack: () => slack,
      isShared: () => true,
      maxShare: () => 1,
    };
    this.budgets = { a: new RetryBudget(allowance, clock), b: new RetryBudget(allowance, clock) };
  }

  /** Whether no further call is run: all slots are taken, and as many places in the queue. */
  public get isFull(): boolean {
    return this.running >= 2 * SLOTS;
  }
}

/** The fleet of one seed. */
class Fleet {
  public readonly arrivals: Arrival[] = [];

  /** Number of calls whose first attempt wasn't sent at the time of the call. */
  public delayed = 0;

  public readonly slack: number;

  private readonly clock = new ManualClock();

  private readonly random: SeededRandom;

  private readonly nodes: Node[];

  private readonly events: (() => void)[][] = [];

  private readonly seen = new Set<string>();

  private readonly innerPerRun: number;

  private readonly innerRoute: RouteName;

  public constructor(
    seed: number,
    private readonly isCharged: boolean,
  ) {
    this.random = new SeededRandom(seed);
    this.slack = 56 + this.random.below(5);
    const size = 8 + this.random.below(13);
    this.innerPerRun = this.uniform(0.7, 2);
    this.innerRoute = (this.uniform(0, 1) < 0.5 ? 'inner' : 'b') as RouteName;
    const failureShare = this.uniform(0.2, 0.7);
    const shareOfB = this.uniform(0.25, 0.75);
    this.nodes = Array.from({ length: size }, (_none, index) => {
      const fails = this.uniform(0, 1) < 0.6 ? failureShare : 0.01;
      const durationMs = 150 * this.uniform(0.6, 2);
      const slack = this.slack / size;
      const service = index > 1 && this.uniform(0, 1) < shareOfB ? 'b' : 'a';
      const sheds = this.uniform(0, 1) < 0.5;
      return new Node(this.clock, slack, index === 0 ? 'b' : service, durationMs, fails, sheds);
    });
  }

  public run(): void {
    let from = 0;
    for (const { untilMs, load } of PHASES) {
      for (const node of this.nodes) this.scheduleCallers(node, from, untilMs, load);
      from = untilMs;
    }
    for (let now = 0; now < from; now += 1) {
      const due = this.events[now] ?? [];
      for (let index = 0; index < due.length; index += 1) due[index]!();
      delete this.events[now];
      this.clock.advance(1);
    }
  }

  /** Ratio of the arrivals beyond the first to the bound in the worst window, over both services. */
  public get worstShare(): number {
    return Math.max(this.worstShareOf('a'), this.worstShareOf('b'));
  }

  private worstShareOf(service: Target): number {
    const arrivals = this.arrivals.filter((arrival) => arrival.service === service);
    let worst = 0;
    let start = 0;
    let firsts = 0;
    let repeats = 0;
    for (const { at, isFirst } of arrivals) {
      if (isFirst) firsts += 1;
      else repeats += 1;
      for (; arrivals[start]!.at <= at - WINDOW_MS; start += 1) {
        if (arrivals[start]!.isFirst) firsts -= 1;
        else repeats -= 1;
      }
      worst = Math.max(worst, repeats / (RATIO * firsts + this.slack));
    }
    return worst;
  }

  private scheduleCallers(node: Node, from: number, untilMs: number, load: number): void {
    const perMs = (load * SLOTS) / 300;
    let at = from;
    for (;;) {
      at += -Math.log(1 - this.uniform(0, 1)) / perMs;
      if (at >= untilMs) return;
      const service = this.uniform(0, 1) < 0.6 ? 'a' : 'b';
      const id = `${service}${this.random.below(2 ** 30)}.${at}`;
      this.at(Math.floor(at), () =>
        this.call(node, service, service as RouteName, id, () => undefined),
      );
    }
  }

  /** A call as `Call` and `CallHandler` make it: charge, first attempt, retries within the budget. */
  private call(
    node: Node,
    service: Target,
    route: RouteName,
    id: string,
    onEnd: (failed: boolean) => void,
  ): void {
    const calledAt = this.clock.now();
    const budget = node.budgets[service];
    budget.deposit(RATIO);
    const probability = node.inner.recordCall(route);
    if (this.isCharged) budget.chargeRepeat(probability);
    const tried = new Set<Node>();
    let received = 0;
    const attempt = (number: number) => {
      if (number === 1 && this.clock.now() > calledAt) this.delayed += 1;
      const all = this.nodes.filter((other) => other.service === service);
      const untried = all.filter((other) => !tried.has(other));
      const target = untried[this.random.below(untried.length)]!;
      tried.add(target);
      const isLast = number === MAX_ATTEMPTS || untried.length === 1;
      if (target.isFull && !target.sheds) {
        // A refusal by a daemon is no arrival; one more attempt after it is free.
        if (number === 1 && !isLast) attempt(2);
        else {
          if (received === 0) budget.retract(this.isCharged ? probability : 0);
          onEnd(true);
        }
        return;
      }
      received += 1;
      this.arrive(target, id, received > 1, (failed) => {
        if (failed && !isLast && budget.withdraw()) {
          this.in(RETRY_DELAY_MS, () => attempt(number + 1));
        } else onEnd(failed);
      });
    };
    attempt(1);
  }

  private arrive(
    node: Node,
    id: string,
    isRepeat: boolean,
    onEnd: (failed: boolean) => void,
  ): void {
    const { service } = node;
    this.arrivals.push({ service, at: this.clock.now(), isFirst: !this.seen.has(id) });
    this.seen.add(id);
    if (node.isFull) {
      onEnd(true);
      return;
    }
    const slowdown = Math.max(1, node.running / SLOTS);
    const busyMs = Math.round(node.durationMs * slowdown * this.uniform(0.5, 1.5));
    const innerCalls = service === 'a' ? Math.floor(this.innerPerRun + this.uniform(0, 1)) : 0;
    const result = { failed: this.uniform(0, 1) < node.failureShare };
    let left = 1 + innerCalls;
    const { runs } = node;
    node.running += 1;
    runs.begin(isRepeat);
    const end = () => {
      left -= 1;
      if (left > 0) return;
      node.running -= 1;
      runs.end(isRepeat);
      onEnd(result.failed);
    };
    this.in(busyMs, end);
    for (let number = 0; number < innerCalls; number += 1) {
      this.in(this.random.below(busyMs), () =>
        this.call(node, 'b', this.innerRoute, `${id}/${number}`, (failed) => {
          result.failed ||= failed && this.uniform(0, 1) < 0.5;
          end();
        }),
      );
    }
  }

  private in(delayMs: number, act: () => void): void {
    this.at(this.clock.now() + delayMs, act);
  }

  private at(time: number, act: () => void): void {
    (this.events[time] ??= []).push(act);
  }

  private uniform(from: number, to: number): number {
    return from + ((to - from) * this.random.below(2 ** 30)) / 2 ** 30;
  }
}

function replay(seeds: number, isCharged: boolean): { shares: number[]; delayed: number } {
  const fleets = Array.from({ length: seeds }, (_none, seed) => new Fleet(seed + 1, isCharged));
  for (const fleet of fleets) fleet.run();
  return {
    shares: fleets.map(({ worstShare }) => worstShare),
    delayed: fleets.reduce((sum, { delayed }) => sum + delayed, 0),
  };
}

test('the repeats of all daemons, with those of inner calls, stay within the budget in any window', () => {
  const { shares, delayed } = replay(SEEDS, true);
  const worst = Math.max(...shares);
  assert.ok(worst <= 1, `${worst.toFixed(2)} of the budget is used`);
  assert.ok(worst > 0.6, 'most of the budget can be used');
  assert.is(delayed, 0, 'first attempts are sent at once');
});

test('without a charge for inner calls the budget is exceeded', () => {
  assert.ok(Math.max(...replay(SEEDS / 5, false).shares) > 1);
});

test.run();
