import { createTRPCClient, createWSClient, wsLink, type TRPCClient } from '@trpc/client';
import type { WebSocket } from 'ws';
import type { Address, Disposable } from '../common/Types';
import messageCodec from './messageCodec';
import meteredSocket from './meteredSocket';
import PEER_PATH from './peerPath';
import type { PeerRouter } from './peerRouter';
import type SocketMeter from './SocketMeter';

/**
 * Time, in ms, that the tRPC client waits before it reconnects. It never does, because `dispose`
 * closes the client within this time.
 */
const RECONNECT_DELAY_MS = 100;

/** A WebSocket connection to a peer, without automatic reconnection. */
export default class PeerConnection implements Disposable {
  public readonly client: TRPCClient<PeerRouter>;

  /** Aborted when the connection ends, whichever side closed it. */
  public readonly ended: AbortSignal;

  private readonly end = new AbortController();

  private readonly sockets: WebSocket[] = [];

  private readonly closeClient: () => void;

  /**
   * @param address - The peer's address for other daemons.
   * @param meter - Counts the bytes on the socket.
   */
  public constructor(address: Address, meter: SocketMeter) {
    this.ended = this.end.signal;
    const { sockets } = this;
    const wsClient = createWSClient({
      url: `ws://${address}${PEER_PATH}`,
      WebSocket: meteredSocket(meter, (socket) => sockets.push(socket)),
      retryDelayMs: () => RECONNECT_DELAY_MS,
      experimental_encoder: messageCodec,
      onClose: () => this.dispose(),
    });
    this.closeClient = () => void wsClient.close().catch(() => undefined);
    this.client = createTRPCClient<PeerRouter>({ links: [wsLink({ client: wsClient })] });
  }

  public dispose(): void {
    this.end.abort();
    this.closeClient();
    // An unresponsive peer never completes the closing handshake.
    for (const socket of this.sockets) socket.terminate();
  }
}
