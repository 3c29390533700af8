import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import RouteStatistics from './RouteStatistics';

test('the calls of an interval are logged complete, by route and result, with the time in each stage', () => {
  const clock = new ManualClock();
  const lines: string[] = [];
  const logger = {
    log: (message: string, fields = {}) => void lines.push(`${message} ${JSON.stringify(fields)}`),
  };
  const statistics = new RouteStatistics('Calls of a route.', logger, clock);
  const record = (result: string, lateMs: number, run: number | undefined, unretried?: string) =>
    statistics.record({
      route: 'stock',
      result,
      lateMs,
      unretried,
      stagesMs: { queue: 30, ...(run !== undefined && { run }) },
    });
  record('answered', 0, 100);
  record('answered', 40, 200);
  record('no slot came free in time (attempts: a, b)', 60, undefined, 'no retry is left');
  for (let index = 0; index < 40; index += 1) record(`reason ${index}`, 0, undefined);
  clock.advance(5_000);
  record('answered', 0, 100);
  assert.snapshot(
    lines.join('\n').replace(/"reason \d+":1,/g, ''),
    `Calls of a route. {"route":"stock","overMs":5000,"calls":43,"late":2,"results":{"answered":2,"no slot came free in time":1,"other":10},"unretried":{"no retry is left":1},"stages":{"queue":{"count":43,"meanMs":30,"maxMs":30},"run":{"count":2,"meanMs":150,"maxMs":200}},"lateStages":{"late":{"count":2,"meanMs":50,"maxMs":60},"queue":{"count":2,"meanMs":30,"maxMs":30},"run":{"count":1,"meanMs":200,"maxMs":200}}}`,
  );
});

test.run();
