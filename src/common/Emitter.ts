import type { Disposable, Event } from './Types';

/** Private half of an `onX` event: its owner fires it, others see only {@link Emitter.event}. */
export default class Emitter<Value> implements Disposable {
  private readonly listeners = new Set<(value: Value) => void>();

  /** The public half. */
  public readonly event: Event<Value> = (listener) => {
    this.listeners.add(listener);
    return { dispose: () => void this.listeners.delete(listener) };
  };

  /** @param value - Handed to every listener, in order of subscription. */
  public fire(value: Value): void {
    for (const listener of [...this.listeners]) listener(value);
  }

  public dispose(): void {
    this.listeners.clear();
  }
}
