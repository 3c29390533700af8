import { decode, encode } from '@msgpack/msgpack';

/** MessagePack codec of the frames between daemons; smaller than JSON and cheaper to parse. */
const messageCodec = {
  /**
   * @param data - Message to encode.
   * @returns Binary frame.
   */
  encode: (data: unknown): Uint8Array<ArrayBuffer> => encode(data, { ignoreUndefined: true }),
  /**
   * @param data - Binary frame, or text frame with JSON.
   * @returns Decoded message.
   */
  decode: (data: string | ArrayBuffer | Uint8Array): unknown => {
    // Keep-alive frames of tRPC are text.
    if (typeof data === 'string') return JSON.parse(data);
    return decode(data instanceof ArrayBuffer ? new Uint8Array(data) : data);
  },
};

export default messageCodec;
