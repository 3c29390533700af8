import type { IncomingMessage } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { applyWSSHandler } from '@trpc/server/adapters/ws';
import { WebSocketServer, type WebSocket } from 'ws';
import type { DaemonId, Disposable } from '../common/Types';
import messageCodec from '../connection/messageCodec';
import PEER_PATH, { LIVENESS_PATH } from '../connection/peerPath';
import type { PeerRouter } from '../connection/peerRouter';
import type SocketMeter from '../connection/SocketMeter';
import { MAX_FRAME_BYTES } from '../request/channelFrames';
import { CHANNEL_PATH, channelOpener } from '../request/channelUrl';
import type Listener from './Listener';

/**
 * Maximum size of a WebSocket message of the peer procedures, in bytes. More than a store keeps of one
 * topic, as the changes of a version that a store accepted must reach every daemon.
 */
const MAX_PROCEDURE_MESSAGE_BYTES = 256 * 1024 * 1024;

/** Accepts a channel that another daemon opened to send calls over. */
export type ChannelAcceptor = (socket: WebSocket, tcpSocket: Socket, daemon: DaemonId) => void;

function closeAll(server: WebSocketServer): void {
  for (const socket of server.clients) socket.terminate();
  server.close();
}

/**
 * Serves other daemons: procedures over WebSocket and HTTP, channels for calls, and a liveness endpoint,
 * each at its own path.
 *
 * @param listener - The server of the peer address.
 * @param router - Router of the procedures.
 * @param accept - Receives each accepted channel.
 * @param meter - Counts the bytes of the procedures.
 * @returns Closes all WebSocket connections when disposed of.
 */
export default function servePeers(
  listener: Listener,
  router: PeerRouter,
  accept: ChannelAcceptor,
  meter: SocketMeter,
): Disposable {
  const procedures = createHTTPHandler({ router, basePath: `${PEER_PATH}/` });
  listener.handle((message, response) => {
    if (message.url === LIVENESS_PATH) {
      response.writeHead(204);
      response.end();
    } else if (message.url?.startsWith(`${PEER_PATH}/`)) {
      meter.track(message.socket);
      procedures(message, response);
    } else {
      response.writeHead(404);
      response.end();
    }
  });
  const options = { noServer: true, perMessageDeflate: false };
  const peers = new WebSocketServer({ ...options, maxPayload: MAX_PROCEDURE_MESSAGE_BYTES });
  const channels = new WebSocketServer({ ...options, maxPayload: MAX_FRAME_BYTES });
  listener.server.on('upgrade', (request: IncomingMessage, duplex: Duplex, head: Buffer) => {
    const url = request.url ?? '';
    const opener = url.startsWith(`${CHANNEL_PATH}?`) ? channelOpener(url) : undefined;
    if (opener !== undefined) {
      channels.handleUpgrade(request, duplex, head, (socket) =>
        accept(socket, request.socket, opener),
      );
    } else if (url.split('?', 1)[0] === PEER_PATH) {
      meter.track(request.socket);
      peers.handleUpgrade(request, duplex, head, (socket) =>
        peers.emit('connection', socket, request),
      );
    } else duplex.destroy();
  });
  applyWSSHandler({ wss: peers, router, experimental_encoder: messageCodec });
  return {
    dispose: () => {
      closeAll(peers);
      closeAll(channels);
    },
  };
}
