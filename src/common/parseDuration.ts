import ms from 'ms';

const DURATION = /^\d+(\.\d+)?(ms|s|m|h)$/;

/** What a duration should look like, for error messages. */
export const DURATION_EXPECTED = 'a duration with its unit, such as "500ms", "2s", "1m" or "1h"';

/**
 * @param text - A number with the unit ms, s, m or h.
 * @returns Milliseconds, or `undefined` where the text is no duration.
 */
export function parseDuration(text: string): number | undefined {
  if (!DURATION.test(text)) return undefined;
  return ms(text as ms.StringValue);
}
