/** Base class of all errors that azurestream throws itself. */
export default class AzurestreamError extends Error {
  /** @param message - Human-readable description of the failure. */
  public constructor(message: string) {
    super(message);
    // Use the name of the subclass, so that logs and stack traces show it.
    this.name = new.target.name;
  }
}
