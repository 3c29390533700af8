import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import { Agent, request, type buildConnector, type Dispatcher } from 'undici';
import type { Address, DaemonId } from '../common/Types';
import answeredInTime from './answeredInTime';
import meteredConnector from './meteredConnector';
import PEER_PATH from './peerPath';
import type { PeerRouter } from './peerRouter';
import type SocketMeter from './SocketMeter';

const ASK_TIMEOUT_MS = 1_500;

/** What the link asks to be sent. */
type LinkRequest = Pick<Dispatcher.RequestOptions, 'method' | 'headers' | 'body' | 'signal'>;

/** Sends a request of the link, which wants a fetch, without all that a fetch does. */
async function sendPlainly(url: string, sent: Partial<LinkRequest>, dispatcher: Agent) {
  const { statusCode, body } = await request(url, { ...sent, dispatcher });
  return { ok: statusCode === 200, json: () => body.json() };
}

/** Asks a peer once, on a connection of its own, so that no older connection's silence matters. */
export default class PeerAsker {
  private readonly connect: buildConnector.connector;

  /** @param meter - Counts the bytes. */
  public constructor(meter: SocketMeter) {
    this.connect = meteredConnector(meter);
  }

  /**
   * @param address - The peer's address for other daemons.
   * @param question - What to ask.
   * @returns The answer.
   * @throws Whatever the question's call throws, a time-out included.
   */
  public async ask<Answer>(
    address: Address,
    question: (client: TRPCClient<PeerRouter>, signal: AbortSignal) => Promise<Answer>,
  ): Promise<Answer> {
    const agent = new Agent({ connect: this.connect, pipelining: 1 });
    const client = createTRPCClient<PeerRouter>({
      links: [
        httpLink({
          url: `http://${address}${PEER_PATH}`,
          fetch: (url, options) =>
            sendPlainly(url as string, options as Partial<LinkRequest>, agent),
        }),
      ],
    });
    try {
      return await answeredInTime([], ASK_TIMEOUT_MS, (signal) => question(client, signal));
    } finally {
      void agent.destroy();
    }
  }

  /**
   * @param id - The member that should answer.
   * @param address - Where.
   * @returns Whether it did.
   */
  public async reach(id: DaemonId, address: Address): Promise<boolean> {
    try {
      return (
        (await this.ask(address, (client, signal) =>
          client.identity.query(undefined, { signal }),
        )) === id
      );
    } catch {
      return false;
    }
  }
}
