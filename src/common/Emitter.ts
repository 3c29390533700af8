import type { Disposable, Event } from './Types';

/**
 * Source of an `onX` event. Its owner keeps the emitter private, so that nobody else can fire the
 * event, and exposes {@link Emitter.event} for subscriptions.
 */
export default class Emitter<Value> implements Disposable {
  private readonly listeners = new Set<(value: Value) => void>();

  /** Subscribes a listener; dispose the result to unsubscribe. */
  public readonly event: Event<Value> = (listener) => {
    this.listeners.add(listener);
    return { dispose: () => void this.listeners.delete(listener) };
  };

  /**
   * Calls all current listeners synchronously, in order of subscription.
   *
   * @param value - Argument of the listeners.
   */
  public fire(value: Value): void {
    for (const listener of [...this.listeners]) listener(value);
  }

  /** Removes all listeners. */
  public dispose(): void {
    this.listeners.clear();
  }
}
