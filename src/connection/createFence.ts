import type { Fence } from '../request/PeerTransport';
import type PeerClient from './PeerClient';

/**
 * @param peerClient - Sends the requests, on new connections.
 * @returns Function that asks the daemon to which an attempt was sent for the state of the attempt,
 *   and forbids the attempt if it has not arrived there.
 */
export default function createFence(peerClient: PeerClient): Fence {
  return async (upstream, context, giveUp) => {
    try {
      const reply = await peerClient.request(upstream.address, (client, signal) =>
        client.fence.mutate(
          { attempt: context.id, target: upstream.incarnation, giveUp },
          { signal },
        ),
      );
      return reply.state ?? 'replaced';
    } catch {
      // Not logged here, because the user of the fence logs its outcome.
      return 'unanswered';
    }
  };
}
