/**
 * Compares two strings by their UTF-8 bytes, so that every daemon sorts and merges files in the
 * same order.
 *
 * @param a - First string.
 * @param b - Second string.
 * @returns Negative if `a` sorts first, positive if `b` does, zero if they are equal.
 */
export default function compareBytes(a: string, b: string): number {
  return Buffer.compare(Buffer.from(a), Buffer.from(b));
}
