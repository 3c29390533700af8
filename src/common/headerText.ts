const ASCII = /^[\x20-\x7e]*$/;

/**
 * Encodes a name for an HTTP header, whose characters are sent as single bytes.
 *
 * @param text - Printable text without spaces at its ends.
 * @returns The value whose bytes are the UTF-8 bytes of the text.
 */
export default function headerText(text: string): string {
  return ASCII.test(text) ? text : Buffer.from(text).toString('latin1');
}
