import type { IncomingHttpHeaders } from 'node:http';
import type { RequestId } from '../common/Types';
import type { HeaderNames } from './Types';

/** HTTP status with which an upstream refuses a request for another instance. */
export const MISDIRECTED_REQUEST_STATUS = 421;
/** Statuses by which callers are told that a request didn't run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, MISDIRECTED_REQUEST_STATUS, 429, 503]);

/** Number of refused ids that are remembered; a repetition comes long before as many others. */
const MAX_REFUSED_IDS = 1_024;

/** Status and headers of a final response. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/**
 * What a response says of the request that waits for it:
 *
 * - `answer`: the upstream's answer to this request.
 * - `refusal`: proof that this request didn't run and never will.
 * - `unproven`: a refusal that may be meant for another request, so this one may have run.
 * - `foreign`: the answer of another request.
 */
export type AnswerMatch = 'answer' | 'refusal' | 'unproven' | 'foreign';

/**
 * Decides whether a response belongs to the request that waits for it. A faulty upstream may repeat an
 * earlier response on a kept connection, where HTTP/1.1 matches responses by their order alone.
 *
 * - The request's id is echoed: the response belongs to the request.
 * - Another id is echoed: it belongs to another request.
 * - No id is echoed, and upstreams echo it on every response: nothing can be said of this request.
 * - No id is echoed, and upstreams needn't: an answer is taken by its order.
 *
 * A refusal allows the request to be sent again, so a repeated one must not count. Only the first refusal
 * of an upstream with an id, and its first one without an id, can't be a repetition. A request that was
 * refused may come again under its id.
 */
export default class AnswerMatcher {
  /** Ids that recent refusals echoed, the latest last; `undefined` for refusals without an id. */
  private readonly refusedIds = new Set<string | undefined>();

  /** @param names - Names of the headers of responses, and whether upstreams always echo ids. */
  public constructor(private readonly names: HeaderNames) {}

  /**
   * @param head - Head of the response.
   * @param requestId - Id of the request that waits for a response; `undefined` if it has none.
   * @returns What the response says of the request.
   */
  public match(head: AnswerHead, requestId: RequestId | undefined): AnswerMatch {
    const echoed = this.echoedId(head);
    if (echoed !== undefined && echoed !== requestId) return 'foreign';
    const isTied = echoed !== undefined || !this.names.isRequestIdAlwaysEchoed;
    if (this.isRefusal(head)) {
      return isTied && this.isFirstRefusal(echoed) ? 'refusal' : 'unproven';
    }
    if (this.isUnsignedPromise(head)) return 'unproven';
    return isTied ? 'answer' : 'foreign';
  }

  /**
   * @param head - Head of the response.
   * @returns Whether the connection may carry another request. After a refusal without an id it may
   * not: a repetition couldn't be told from the refusal of the next request.
   */
  public allowsReuse(head: AnswerHead): boolean {
    return this.echoedId(head) !== undefined || !this.isRefusal(head);
  }

  private echoedId({ headers }: AnswerHead): string | undefined {
    return headers[this.names.requestId] as string | undefined;
  }

  /** Whether no earlier refusal echoed the id; remembers it. */
  private isFirstRefusal(echoed: string | undefined): boolean {
    const isFirst = !this.refusedIds.has(echoed);
    this.refusedIds.delete(echoed);
    this.refusedIds.add(echoed);
    if (this.refusedIds.size > MAX_REFUSED_IDS) {
      const [oldest] = this.refusedIds;
      this.refusedIds.delete(oldest);
    }
    return isFirst;
  }

  private isRefusal({ status, headers }: AnswerHead): boolean {
    return headers[this.names.notExecuted] !== undefined || status === MISDIRECTED_REQUEST_STATUS;
  }

  /** Whether a response would tell the caller that its request didn't run, without any proof of it. */
  private isUnsignedPromise({ status, headers }: AnswerHead): boolean {
    const { signature } = this.names;
    return (
      signature !== undefined && headers[signature] === undefined && NOT_RUN_STATUSES.has(status)
    );
  }
}
