import AzurestreamError from '../common/AzurestreamError';
import { EXIT_CODES, type ExitCode } from './Types';

/** A command failed. The message is printed for the operator. */
export default class CommandError extends AzurestreamError {
  /**
   * @param message - What was found and what was expected; one problem per line.
   * @param exitCode - Exit code of the process; by default that of invalid input.
   */
  public constructor(
    message: string,
    public readonly exitCode: ExitCode = EXIT_CODES.refused,
  ) {
    super(message);
  }
}
