import type { DaemonId } from '../common/Types';
import type LocalUpstream from './LocalUpstream';
import NotRunError from './NotRunError';
import type {
  Answer,
  AttemptContext,
  AttemptTransport,
  CallRequest,
  CancelSignal,
  Upstream,
} from './Types';

/**
 * Sends attempts for the upstream beside this daemon directly to it, and all other attempts to the
 * daemons beside their upstreams.
 */
export default class RoutingTransport implements AttemptTransport {
  /**
   * @param localDaemon - ID of this daemon.
   * @param local - Returns the upstream beside this daemon; `undefined` while it accepts no calls.
   * @param remote - Transport to other daemons.
   */
  public constructor(
    private readonly localDaemon: DaemonId,
    private readonly local: () => LocalUpstream | undefined,
    private readonly remote: AttemptTransport,
  ) {}

  public send(
    upstream: Upstream,
    request: CallRequest,
    context: AttemptContext,
    signal: CancelSignal,
    onSilent?: () => void,
  ): Promise<Answer> {
    if (upstream.daemon !== this.localDaemon) {
      return this.remote.send(upstream, request, context, signal, onSilent);
    }
    const local = this.local();
    if (!local) return Promise.reject(new NotRunError('the upstream here takes no new work'));
    return local.run(request, context, signal);
  }
}
