/**
 * A boolean that is set once and can be awaited before and after that. It creates promises only on
 * request.
 */
export default class DeferredBoolean {
  private value: boolean | undefined;

  private readonly resolvers: ((value: boolean) => void)[] = [];

  /** Resolves to the value as soon as it is set. */
  public get result(): Promise<boolean> {
    if (this.value !== undefined) return Promise.resolve(this.value);
    return new Promise((resolve) => {
      this.resolvers.push(resolve);
    });
  }

  /**
   * Sets the value and resolves all promises. Later calls have no effect.
   *
   * @param value - The value.
   */
  public resolve(value: boolean): void {
    this.value ??= value;
    for (const resolve of this.resolvers.splice(0)) resolve(this.value);
  }
}
