import type { BodySource } from './StreamedAnswer';

/**
 * Flow-control window: most bytes of a body that may be sent before the receiver returns credit.
 */
export const BODY_WINDOW_BYTES = 256 * 1024;

/**
 * Receiving side of the flow control of one body on a channel. Credit is returned to the sender as
 * chunks are received, except while the body is paused; without credit the sender stops.
 */
export default class ReceiveWindow implements BodySource {
  public paused = false;

  private uncreditedBytes = 0;

  /**
   * @param sendCredit - Sends credit for a number of bytes to the daemon that sends the body.
   * @param cancel - Cancels the call at that daemon.
   */
  public constructor(
    private readonly sendCredit: (bytes: number) => void,
    private readonly cancel: () => void,
  ) {}

  public pause(): void {
    this.paused = true;
  }

  public resume(): void {
    this.paused = false;
    this.returnCredit();
  }

  public abort(): void {
    this.cancel();
  }

  /** @param bytes - Size of a received chunk of the body, in bytes. */
  public onReceived(bytes: number): void {
    this.uncreditedBytes += bytes;
    if (!this.paused) this.returnCredit();
  }

  private returnCredit(): void {
    if (this.uncreditedBytes < BODY_WINDOW_BYTES / 2) return;
    this.sendCredit(this.uncreditedBytes);
    this.uncreditedBytes = 0;
  }
}
