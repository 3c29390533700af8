import type { Fence } from '../request/PeerTransport';
import type PeerAsker from './PeerAsker';

/**
 * @param asker - Asks on new connections.
 * @returns Resolves attempts by asking the daemon that they were sent to.
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
      // Whoever asked logs what follows from it.
      return 'unanswered';
    }
  };
}
