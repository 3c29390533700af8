import CallError from './CallError';

/** It is proved that the upstream didn't run the attempt, and that it never will. */
export default class NotRunError extends CallError {
  /**
   * @param message - The proof, for people.
   * @param load - Load of the upstream where it refused, in parts of its slots.
   */
  public constructor(
    message: string,
    public readonly load?: number,
  ) {
    super(message);
  }
}
