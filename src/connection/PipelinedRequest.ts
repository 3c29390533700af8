import type { IncomingMessage, ServerResponse } from 'node:http';
import DeferredBoolean from '../common/DeferredBoolean';
import type { PipelinePosition } from '../request/Types';
import type CallerConnection from './CallerConnection';

/** Position of one request in the pipeline of its caller's connection. */
export default class PipelinedRequest implements PipelinePosition {
  private readonly reachedFront = new DeferredBoolean();

  private readonly responseDelivered = new DeferredBoolean();

  /**
   * @param callerConnection - Connection of the request.
   * @param message - The request.
   * @param response - The response to it.
   * @param ahead - Number of earlier requests on the same connection whose responses haven't been
   *   fully sent.
   */
  public constructor(
    private readonly callerConnection: CallerConnection,
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    public readonly ahead: number,
  ) {}

  public get connection(): number {
    return this.callerConnection.id;
  }

  /** Whether the request has been received completely. */
  public get isComplete(): boolean {
    return this.message.complete;
  }

  public whenWritable(): Promise<boolean> {
    return this.reachedFront.result;
  }

  public whenSent(): Promise<boolean> {
    return this.responseDelivered.result;
  }

  public closeConnection(): boolean {
    return this.callerConnection.tryCloseAfter(this);
  }

  /**
   * Refuses this request if it is incomplete and has no response yet.
   *
   * @param status - HTTP status of the refusal.
   * @param headers - Headers of the refusal, which has no body.
   * @returns Whether the refusal was written.
   */
  public refuseIncomplete(status: number, headers: Readonly<Record<string, string>>): boolean {
    if (this.isComplete || this.response.headersSent) return false;
    this.response.writeHead(status, headers);
    this.response.end();
    return true;
  }

  /** Discards the rest of an incomplete request, so that the connection can be read on. */
  public discardRemainder(): void {
    if (!this.isComplete) this.message.resume();
  }

  /** Allows the response to be written; called when all earlier responses have been sent. */
  public allowResponse(): void {
    this.reachedFront.resolve(true);
  }

  /** @param delivered - Whether the response was handed completely to the operating system. */
  public settle(delivered: boolean): void {
    this.reachedFront.resolve(delivered);
    this.responseDelivered.resolve(delivered);
  }
}
