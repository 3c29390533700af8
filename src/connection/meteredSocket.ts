import { WebSocket } from 'ws';
import type SocketMeter from './SocketMeter';

const HANDSHAKE_TIMEOUT_MS = 1_000;

/**
 * Makes a WebSocket class for a client that constructs its socket itself.
 *
 * @param meter - Counts the bytes.
 * @param onSocket - Gets each socket, so that a silent one can be cut off.
 * @returns The class.
 */
export default function meteredSocket(
  meter: SocketMeter,
  onSocket: (socket: WebSocket) => void,
): typeof globalThis.WebSocket {
  class MeteredSocket extends WebSocket {
    public constructor(url: string) {
      super(url, { handshakeTimeout: HANDSHAKE_TIMEOUT_MS, perMessageDeflate: false });
      onSocket(this);
      this.on('upgrade', ({ socket }) => {
        socket.setNoDelay(true);
        meter.track(socket);
      });
      // Without a listener an error before the handshake would end the process.
      this.on('error', () => undefined);
    }
  }
  return MeteredSocket as unknown as typeof globalThis.WebSocket;
}
