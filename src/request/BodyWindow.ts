import { BODY_WINDOW_BYTES } from './ChannelBody';

/** Holds a body back on a channel while its receiver hasn't used enough of what was sent. */
export default class BodyWindow {
  private unused = 0;

  private resume: (() => void) | undefined;

  /**
   * @param bytes - Size of a chunk that was sent.
   * @returns False to pause until {@link BodyWindow.onDrain}.
   */
  public send(bytes: number): boolean {
    this.unused += bytes;
    return this.unused < BODY_WINDOW_BYTES;
  }

  /** @param resume - Called once, when more may be sent. */
  public onDrain(resume: () => void): void {
    this.resume = resume;
  }

  /** @param bytes - How many the receiver has used. */
  public credit(bytes: number): void {
    this.unused -= bytes;
    if (this.unused >= BODY_WINDOW_BYTES) return;
    const { resume } = this;
    this.resume = undefined;
    resume?.();
  }
}
