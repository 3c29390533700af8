/** Bytes that are appended in parts; the cost of a part doesn't depend on how many came before it. */
export default class GrowingBuffer {
  private storage: Buffer = Buffer.alloc(0);

  private start = 0;

  private end = 0;

  /** The bytes; later appends don't change what this returned. */
  public get bytes(): Buffer {
    return this.storage.subarray(this.start, this.end);
  }

  public get length(): number {
    return this.end - this.start;
  }

  /** @param part - Bytes to append; they must not change afterwards. */
  public append(part: Buffer): void {
    if (this.length === 0) {
      this.storage = part;
      this.start = 0;
      this.end = part.length;
      return;
    }
    const length = this.length + part.length;
    if (this.end + part.length > this.storage.length) this.reserve(2 * length);
    part.copy(this.storage, this.end);
    this.end += part.length;
  }

  /** @param count - Number of bytes to remove from the start. */
  public drop(count: number): void {
    this.start += count;
  }

  private reserve(capacity: number): void {
    const { bytes } = this;
    const storage = Buffer.allocUnsafe(capacity);
    bytes.copy(storage);
    this.storage = storage;
    this.start = 0;
    this.end = bytes.length;
  }
}
