/**
 * Text in HTTP headers. The characters of a header's value stand for its bytes, which are those of UTF-8.
 *
 * @packageDocumentation
 */
const ASCII = /^[\x20-\x7e]*$/;

/**
 * @param text - Printable text without spaces at its ends.
 * @returns The value of a header that holds it.
 */
export function encodeHeader(text: string): string {
  return ASCII.test(text) ? text : Buffer.from(text).toString('latin1');
}

/**
 * @param value - The value of a header.
 * @returns The text that it holds.
 */
export function decodeHeader(value: string): string {
  return ASCII.test(value) ? value : Buffer.from(value, 'latin1').toString();
}
