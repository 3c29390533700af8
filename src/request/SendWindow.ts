import { BODY_WINDOW_BYTES } from './ReceiveWindow';

/** Sending side of the flow control of one body on a channel: pauses it when the window is used up. */
export default class SendWindow {
  private uncreditedBytes = 0;

  private resume: (() => void) | undefined;

  /**
   * Accounts for a sent chunk.
   *
   * @param bytes - Size of the chunk.
   * @returns False if the sender must pause until {@link SendWindow.onDrain} calls back.
   */
  public consume(bytes: number): boolean {
    this.uncreditedBytes += bytes;
    return this.uncreditedBytes < BODY_WINDOW_BYTES;
  }

  /** @param resume - Called once, when the window has room again. */
  public onDrain(resume: () => void): void {
    this.resume = resume;
  }

  /** @param bytes - Credit from the receiver: the number of bytes that may be sent in addition. */
  public addCredit(bytes: number): void {
    this.uncreditedBytes -= bytes;
    if (this.uncreditedBytes >= BODY_WINDOW_BYTES) return;
    const { resume } = this;
    this.resume = undefined;
    resume?.();
  }
}
