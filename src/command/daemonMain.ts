/**
 * Entry point of a process that only runs the daemon. It keeps the other commands and their libraries
 * out of memory. Usage: `azurestream-daemon.cjs --settings FILE`.
 *
 * @packageDocumentation
 */
import './deferHangup';
import { parseArgs } from 'node:util';
import AzurestreamError from '../common/AzurestreamError';
import run from './run';
import { EXIT_CODES } from './Types';

const OUTPUT = {
  print: (line: string) => void process.stdout.write(`${line}\n`),
  printNotice: (line: string) => void process.stderr.write(`${line}\n`),
};

async function main(): Promise<void> {
  const { values } = parseArgs({ options: { settings: { type: 'string' } } });
  const flags = {
    settings: values.settings,
    streamPrefix: '',
    wait: false,
    timeout: '',
    json: false,
  };
  const { exitCode } = await run.run([], flags, OUTPUT);
  process.exitCode = exitCode;
}

main().catch((error: Error) => {
  OUTPUT.printNotice(`azurestream: ${error.message}`);
  process.exitCode =
    error instanceof AzurestreamError ? EXIT_CODES.refused : EXIT_CODES.unavailable;
});
