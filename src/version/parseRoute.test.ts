import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { routeSchema } from './configurationSchema';
import parseRoute from './parseRoute';

const SEED = 36;
const RUNS = 1_500;

/** Tables of routes, most of them valid, with settings that recur. */
const tables = fc.record(
  {
    path: fc.constantFrom('/', '/a', '/b/c', 'a', '', 7, undefined),
    host: fc.constantFrom('a.example', 'A', new Date(0), '1970-01-01T00:00:00.000Z'),
    service: fc.constantFrom('stock', 'desk', '', 1),
    split: fc.constantFrom({ stock: 1 }, { stock: 9, desk: 1 }, {}, { stock: -1 }),
    timeout: fc.constantFrom('1s', '20ms', '1x', new Date(0)),
    retries: fc.constantFrom(0, 1, 2, -1, Number.NaN, Infinity),
    priority: fc.constantFrom('interactive', 'background', 3, 'none'),
    hedge: fc.constantFrom(true, false, 'true'),
    methods: fc.constantFrom(['GET'], [], ['GET', 'PUT']),
    unknown: fc.constantFrom(1),
  },
  { requiredKeys: ['path'] },
);

test('a route is parsed as its schema does, whatever was parsed before', () => {
  let valid = 0;
  fc.assert(
    fc.property(tables, (table) => {
      const expected = routeSchema.safeParse(table);
      const actual = parseRoute(table);
      valid += Number(actual.success);
      assert.equal(actual.data, expected.data);
      assert.equal(actual.error?.issues, expected.error?.issues);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  assert.ok(valid > 0);
});

test.run();
