import fc from 'fast-check';
import { test } from 'uvu';
import compareBytes from './compareBytes';

test('strings are ordered as their UTF-8 bytes are', () => {
  const text = fc.string({
    unit: fc.oneof(fc.constantFrom('a', 'é', '\uffff', '😀'), fc.string()),
  });
  fc.assert(
    fc.property(text, text, (a, b) => {
      const expected = Buffer.compare(Buffer.from(a), Buffer.from(b));
      return Math.sign(compareBytes(a, b)) === expected;
    }),
    { seed: 30, numRuns: 2_000 },
  );
});

test.run();
