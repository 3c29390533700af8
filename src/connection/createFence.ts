import type { Fence } from '../request/PeerTransport';
import type PeerAsker from './PeerAsker';

/**
 * @param asker - Sends the requests, on new connections.
 * @returns Function that asks the daemon to which an attempt was sent for the state of the attempt,
 *   and forbids the attempt if it has not arrived there.
 */
export default function createFence(asker: PeerAsker): Fence {
  return async (upstream, context, giveUp) => {
    try {
      const reply = await asker.ask(upstream.address, (client, signal) =>
        client.fence.mutate(
          { attempt: context.id, target: upstream.incarnation, giveUp },
          { signal },
        ),
      );
      return reply.state ?? 'replaced';
    } catch {
      // The caller logs the outcome.
      return 'unanswered';
    }
  };
}
