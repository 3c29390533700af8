/**
 * Types that all commands of the command line share.
 *
 * @packageDocumentation
 */

/** Exit codes of the process, as documented in docs/OPERATIONS.md. */
export const EXIT_CODES = {
  ok: 0,
  /** The input is invalid, or the publication was refused. */
  refused: 1,
  /** The command line is invalid. */
  usage: 2,
  /** The log or a daemon is unreachable, or the outcome is not known yet. */
  unavailable: 3,
} as const;

/** An exit code of the process: one of the values of {@link EXIT_CODES}. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** The flags of the command line. All commands accept all flags and ignore those they don't use. */
export interface Flags {
  readonly settings?: string;
  readonly log?: string;
  readonly streamPrefix: string;
  readonly daemon?: string;
  readonly wait: boolean;
  readonly timeout: string;
  readonly base?: string;
  readonly json: boolean;
}

/** Where a command writes its results and its progress. */
export interface Output {
  /**
   * Writes a result for people to standard output. Prints nothing with `--json`.
   *
   * @param line - The line.
   */
  print(line: string): void;
  /**
   * Writes progress or a warning to standard error.
   *
   * @param line - The line.
   */
  printNotice(line: string): void;
}

/** Result of a command. */
export interface CommandResult {
  readonly exitCode: ExitCode;
  /** Result for programs, printed as JSON with `--json`. */
  readonly value: unknown;
}

/** A subcommand of `azurestream`, such as `publish`. */
export interface Command {
  readonly name: string;
  /** Names of the arguments, for the help text. */
  readonly usage: string;
  readonly summary: string;
  readonly argumentCount: number;
  /**
   * Runs the command.
   *
   * @param args - Arguments after the command's name, `argumentCount` in number.
   * @param flags - Flags of the command line.
   * @param output - Output for people.
   * @returns Exit code and JSON result.
   * @throws CommandError - The command failed.
   */
  run(args: readonly string[], flags: Flags, output: Output): Promise<CommandResult>;
}
