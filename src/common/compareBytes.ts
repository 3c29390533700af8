/** Code units of characters beyond the basic plane, which UTF-16 and UTF-8 order differently. */
const SURROGATE = /[\ud800-\udfff]/;

/**
 * Compares two strings by their UTF-8 bytes, so that every daemon sorts and merges files in the
 * same order.
 *
 * @param a - First string.
 * @param b - Second string.
 * @returns Negative if `a` sorts first, positive if `b` does, zero if they are equal.
 */
export default function compareBytes(a: string, b: string): number {
  if (a === b) return 0;
  if (SURROGATE.test(a) || SURROGATE.test(b)) {
    return Buffer.compare(Buffer.from(a), Buffer.from(b));
  }
  return a < b ? -1 : 1;
}
