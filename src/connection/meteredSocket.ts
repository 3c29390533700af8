import { WebSocket } from 'ws';
import type SocketMeter from './SocketMeter';

const HANDSHAKE_TIMEOUT_MS = 1_000;

/**
 * Creates a WebSocket class for clients that construct their sockets themselves.
 *
 * @param meter - Counts the bytes of every socket.
 * @param onSocket - Receives each socket, so that an unresponsive one can be terminated.
 * @returns WebSocket class with byte counting and a handshake timeout.
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
      // Without a listener, an error before the handshake would terminate the process.
      this.on('error', () => undefined);
    }
  }
  return MeteredSocket as unknown as typeof globalThis.WebSocket;
}
