import AzurestreamError from '../common/AzurestreamError';
import { EXIT_CODES, type ExitCode } from './Types';

/** A command can't do what was asked; its message is for the operator. */
export default class CommandError extends AzurestreamError {
  /**
   * @param message - What is wrong, and what was expected.
   * @param exitCode - Exit code of the process.
   */
  public constructor(
    message: string,
    public readonly exitCode: ExitCode = EXIT_CODES.refused,
  ) {
    super(message);
  }
}
