/**
 * Entry point: parses the command line, runs the command and sets the exit code.
 *
 * @packageDocumentation
 */
import './deferHangup';
import meow from 'meow';
import AzurestreamError from '../common/AzurestreamError';
import LogError from '../connection/LogError';
import SettingsError from '../process/SettingsError';
import check from './check';
import CommandError from './CommandError';
import { diff, dump, explain, pull, status } from './fleetCommands';
import merge from './merge';
import { publish } from './publish';
import run from './run';
import trace from './trace';
import { EXIT_CODES, type Command, type ExitCode, type Flags, type Output } from './Types';

declare const AZURESTREAM_VERSION: string;

const COMMANDS: readonly Command[] = [
  run,
  check,
  merge,
  diff,
  pull,
  publish,
  status,
  dump,
  explain,
  trace,
];

const FLAG_HELP = `
  Flags
    --settings FILE       settings of a daemon (TOML)
    --log HOST:PORT       address of the log service
    --stream-prefix TEXT  put before the names of the streams
    --daemon HOST:PORT    control address of any daemon
    --base VERSION        version that the folder started from; "none" for an empty stream
    --wait                wait until the version is in force on every live daemon
    --timeout DURATION    how long --wait waits (default 30s)
    --json                print the result as JSON, for programs
    --help, --version

  Exit codes: 0 success; 1 refused or invalid input; 2 wrong usage; 3 unreachable or outcome unknown.`;

function helpText(commands: readonly Command[]): string {
  const lines = commands.map(
    ({ name, usage, summary }) => `    ${`${name} ${usage}`.padEnd(30)}${summary}`,
  );
  return `
  Usage
    $ azurestream COMMAND [FLAGS]

  Commands
${lines.join('\n')}
${FLAG_HELP}
`;
}

function parseArguments(argv: readonly string[]) {
  const selected = COMMANDS.filter(
    ({ name }) => name === argv.find((word) => !word.startsWith('-')),
  );
  return meow(helpText(selected.length > 0 ? selected : COMMANDS), {
    importMeta: { url: import.meta.url } as ImportMeta,
    argv: [...argv],
    pkg: { name: 'azurestream', version: AZURESTREAM_VERSION },
    description: 'Distributes configuration for a service mesh and carries its calls.',
    allowUnknownFlags: false,
    flags: {
      settings: { type: 'string' },
      log: { type: 'string' },
      streamPrefix: { type: 'string', default: '' },
      daemon: { type: 'string' },
      base: { type: 'string' },
      wait: { type: 'boolean', default: false },
      timeout: { type: 'string', default: '30s' },
      json: { type: 'boolean', default: false },
    },
  });
}

function outputFor(flags: Flags): Output {
  return {
    print: (line) => {
      if (!flags.json) process.stdout.write(`${line}\n`);
    },
    printNotice: (line) => process.stderr.write(`${line}\n`),
  };
}

function exitCodeOf(error: AzurestreamError): ExitCode {
  if (error instanceof CommandError) return error.exitCode;
  return error instanceof LogError ? EXIT_CODES.unavailable : EXIT_CODES.refused;
}

function messageOf(error: AzurestreamError): string {
  if (error instanceof CommandError || error instanceof SettingsError) return error.message;
  return error instanceof LogError ? `log service: ${error.message}` : error.message;
}

async function runCommand(
  command: Command,
  args: readonly string[],
  flags: Flags,
): Promise<ExitCode> {
  if (args.length !== command.argumentCount) {
    process.stderr.write(
      `azurestream ${command.name}: found ${args.length} arguments, expected ${command.usage || 'none'}\n`,
    );
    return EXIT_CODES.usage;
  }
  try {
    const { exitCode, value } = await command.run(args, flags, outputFor(flags));
    if (flags.json) process.stdout.write(`${JSON.stringify(value)}\n`);
    return exitCode;
  } catch (error) {
    const isExpected = error instanceof AzurestreamError;
    const message = isExpected ? messageOf(error) : (error as Error).message;
    for (const line of message.split('\n')) {
      process.stderr.write(`azurestream ${command.name}: ${line}\n`);
    }
    if (flags.json) process.stdout.write(`${JSON.stringify({ error: message.split('\n') })}\n`);
    return isExpected ? exitCodeOf(error) : EXIT_CODES.unavailable;
  }
}

async function main(): Promise<void> {
  const argv = process.argv.slice(2);
  const cli = parseArguments(argv);
  // The parser meow shows the help itself only if --help is the only argument.
  if (argv.includes('--help')) cli.showHelp(EXIT_CODES.ok);
  const [name, ...args] = cli.input;
  const command = COMMANDS.find((candidate) => candidate.name === name);
  if (!command) {
    const names = COMMANDS.map((candidate) => candidate.name).join(', ');
    process.stderr.write(`azurestream: found command "${name ?? ''}", expected one of ${names}\n`);
    process.exitCode = EXIT_CODES.usage;
    return;
  }
  process.exitCode = await runCommand(command, args, cli.flags);
}

void main();
