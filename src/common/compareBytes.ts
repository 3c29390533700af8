/**
 * Compares two strings by their UTF-8 bytes, the order in which files are merged.
 *
 * @param a - Left string.
 * @param b - Right string.
 * @returns Negative, zero or positive, as `Array.prototype.sort` wants it.
 */
export default function compareBytes(a: string, b: string): number {
  return Buffer.compare(Buffer.from(a), Buffer.from(b));
}
