import { decode, encode } from '@msgpack/msgpack';

/** Frames between daemons as MessagePack; shorter than JSON and cheaper to parse. */
const messageEncoder = {
  /**
   * @param data - A message.
   * @returns Its frame.
   */
  encode: (data: unknown): Uint8Array<ArrayBuffer> => encode(data, { ignoreUndefined: true }),
  /**
   * @param data - A frame.
   * @returns The message.
   */
  decode: (data: string | ArrayBuffer | Uint8Array): unknown => {
    // Keep-alive frames of the library are text.
    if (typeof data === 'string') return JSON.parse(data);
    return decode(data instanceof ArrayBuffer ? new Uint8Array(data) : data);
  },
};

export default messageEncoder;
