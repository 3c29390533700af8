/**
 * What operators' commands share.
 *
 * @packageDocumentation
 */

/** Exit codes; docs/OPERATIONS.md lists them. */
export const EXIT_CODES = {
  ok: 0,
  /** The folder, a file or an argument is wrong, or the publication was refused. */
  refused: 1,
  /** The command line can't be understood. */
  usage: 2,
  /** The log or a daemon can't be reached, or the outcome isn't known yet. */
  unavailable: 3,
} as const;

/** One of {@link EXIT_CODES}. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** Flags of every command; which are used depends on the command. */
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

/** Where a command writes. */
export interface Output {
  /** @param line - A result for people, on standard output. */
  print(line: string): void;
  /** @param line - Progress or a problem, on standard error. */
  note(line: string): void;
}

/** What a command gave. */
export interface CommandResult {
  readonly exitCode: ExitCode;
  /** For programs, with `--json`. */
  readonly value: unknown;
}

/** An operator's command. */
export interface Command {
  readonly name: string;
  /** Arguments after the name, for the usage line. */
  readonly usage: string;
  readonly summary: string;
  readonly argumentCount: number;
  /**
   * @param args - Arguments after the name.
   * @param flags - Flags.
   * @param output - Where to write.
   * @returns The result.
   * @throws CommandError - The command can't do what was asked.
   */
  run(args: readonly string[], flags: Flags, output: Output): Promise<CommandResult>;
}
