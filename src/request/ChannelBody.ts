import type { BodySource } from './StreamedAnswer';

/** Bytes of one body that may be under way on a channel before its receiver used any. */
export const BODY_WINDOW_BYTES = 256 * 1024;

/** Steers a body that comes over a channel: the sender stops where no credit comes. */
export default class ChannelBody implements BodySource {
  public paused = false;

  private unreported = 0;

  /**
   * @param sendCredit - Tells the sender how many bytes were used.
   * @param cancel - Tells the sender that the rest isn't wanted.
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
    this.report();
  }

  public abort(): void {
    this.cancel();
  }

  /** @param bytes - Size of a chunk that was taken in. */
  public note(bytes: number): void {
    this.unreported += bytes;
    if (!this.paused) this.report();
  }

  private report(): void {
    if (this.unreported < BODY_WINDOW_BYTES / 2) return;
    this.sendCredit(this.unreported);
    this.unreported = 0;
  }
}
