/** Base of every error that azurestream raises itself. */
export default class AzurestreamError extends Error {
  /** @param message - What went wrong, for people. */
  public constructor(message: string) {
    super(message);
    // The concrete class, so that logs and dumps show it.
    this.name = new.target.name;
  }
}
