import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import { Agent, request, type buildConnector, type Dispatcher } from 'undici';
import type { Address, DaemonId } from '../common/Types';
import withStallAwareTimeout from './withStallAwareTimeout';
import meteredConnector from './meteredConnector';
import PEER_PATH from './peerPath';
import type { PeerRouter } from './peerRouter';
import type SocketMeter from './SocketMeter';

const REQUEST_TIMEOUT_MS = 1_500;

/** Request options that the tRPC link passes to its fetch function. */
type LinkRequest = Pick<Dispatcher.RequestOptions, 'method' | 'headers' | 'body' | 'signal'>;

/** Replacement for `fetch` in the tRPC link, with less overhead than the full Fetch API. */
async function sendWithUndici(url: string, sent: Partial<LinkRequest>, dispatcher: Agent) {
  const { statusCode, body } = await request(url, { ...sent, dispatcher });
  return { ok: statusCode === 200, json: () => body.json() };
}

/** Sends single requests to peers, each on a new connection, independent of stalled connections. */
export default class PeerClient {
  private readonly connect: buildConnector.connector;

  /** @param meter - Counts the bytes on the sockets. */
  public constructor(meter: SocketMeter) {
    this.connect = meteredConnector(meter);
  }

  /**
   * @param address - The peer's address for other daemons.
   * @param procedure - Calls the procedure; must reject when its signal is aborted.
   * @returns The response.
   * @throws Any error of the procedure call, including an abort after the timeout.
   */
  public async request<Result>(
    address: Address,
    procedure: (client: TRPCClient<PeerRouter>, signal: AbortSignal) => Promise<Result>,
  ): Promise<Result> {
    const agent = new Agent({ connect: this.connect, pipelining: 1 });
    const client = createTRPCClient<PeerRouter>({
      links: [
        httpLink({
          url: `http://${address}${PEER_PATH}`,
          fetch: (url, options) =>
            sendWithUndici(url as string, options as Partial<LinkRequest>, agent),
        }),
      ],
    });
    try {
      return await withStallAwareTimeout([], REQUEST_TIMEOUT_MS, (signal) =>
        procedure(client, signal),
      );
    } finally {
      void agent.destroy();
    }
  }

  /**
   * @param id - Expected id of the daemon.
   * @param address - Address of the daemon for other daemons.
   * @returns Whether a daemon with this id responded.
   */
  public async isReachable(id: DaemonId, address: Address): Promise<boolean> {
    try {
      return (
        (await this.request(address, (client, signal) =>
          client.identity.query(undefined, { signal }),
        )) === id
      );
    } catch {
      return false;
    }
  }
}
