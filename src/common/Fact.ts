/** A fact that is awaited, known once. */
export default class Fact {
  private value: boolean | undefined;

  private readonly waiting: ((value: boolean) => void)[] = [];

  /** Resolves once it is known. */
  public get known(): Promise<boolean> {
    if (this.value !== undefined) return Promise.resolve(this.value);
    return new Promise((resolve) => {
      this.waiting.push(resolve);
    });
  }

  /** @param value - What it is, unless it is known. */
  public settle(value: boolean): void {
    this.value ??= value;
    for (const resolve of this.waiting.splice(0)) resolve(this.value);
  }
}
