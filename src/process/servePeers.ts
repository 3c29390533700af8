import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { applyWSSHandler } from '@trpc/server/adapters/ws';
import { WebSocketServer } from 'ws';
import type { Disposable } from '../common/Types';
import messageEncoder from '../connection/messageEncoder';
import PEER_PATH, { ALIVE_PATH } from '../connection/peerPath';
import type { PeerRouter } from '../connection/peerRouter';
import type SocketMeter from '../connection/SocketMeter';
import type PeerCallHandler from '../request/PeerCallHandler';
import type Listener from './Listener';

const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/**
 * Serves peers: their procedures over WebSocket and HTTP below one path, their calls on all others.
 *
 * @param listener - The listening server.
 * @param router - The procedures.
 * @param calls - Answers the calls.
 * @param meter - Counts the bytes of the procedures.
 * @returns Closes the WebSocket connections.
 */
export default function servePeers(
  listener: Listener,
  router: PeerRouter,
  calls: PeerCallHandler,
  meter: SocketMeter,
): Disposable {
  const procedures = createHTTPHandler({ router, basePath: `${PEER_PATH}/` });
  listener.handle((message, response) => {
    if (message.url === ALIVE_PATH) {
      response.writeHead(204);
      response.end();
    } else if (message.url?.startsWith(`${PEER_PATH}/`)) {
      meter.track(message.socket);
      procedures(message, response);
    } else {
      void calls.handle(message, response);
    }
  });
  const sockets = new WebSocketServer({
    server: listener.server,
    path: PEER_PATH,
    perMessageDeflate: false,
    maxPayload: MAX_MESSAGE_BYTES,
  });
  sockets.on('connection', (_socket, request) => meter.track(request.socket));
  applyWSSHandler({ wss: sockets, router, experimental_encoder: messageEncoder });
  return {
    dispose: () => {
      for (const socket of sockets.clients) socket.terminate();
      sockets.close();
    },
  };
}
