import ms from 'ms';

const DURATION_PATTERN = /^\d+(\.\d+)?(ms|s|m|h)$/;

/** Description of a valid duration, for error messages. */
export const DURATION_EXPECTED = 'a duration with its unit, such as "500ms", "2s", "1m" or "1h"';

/**
 * Parses a duration such as `500ms` or `1.5h`.
 *
 * @param text - A number followed by the unit ms, s, m or h.
 * @returns Milliseconds, or `undefined` if the text is not a valid duration.
 */
export function parseDuration(text: string): number | undefined {
  if (!DURATION_PATTERN.test(text)) return undefined;
  return ms(text as ms.StringValue);
}
