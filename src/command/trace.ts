import { createInterface } from 'node:readline';
import CommandError from './CommandError';
import RequestTrace, { type TraceLine } from './RequestTrace';
import { EXIT_CODES, type Command } from './Types';

function formatLine({ time, daemon, isOwn, message, fields }: TraceLine): string {
  const formattedFields = Object.entries(fields).map(
    ([name, value]) => `${name}=${JSON.stringify(value)}`,
  );
  return `${time} ${isOwn ? '*' : ' '} ${daemon}: ${[message, ...formattedFields].join(' ')}`;
}

/** Shows what happened to a request, from the logs of daemons on standard input. */
const trace: Command = {
  name: 'trace',
  usage: 'ID',
  summary: "show what happened to a request, from daemons' logs on standard input",
  argumentCount: 1,
  async run([requestId], _flags, output) {
    const requestTrace = new RequestTrace(requestId!);
    for await (const line of createInterface({ input: process.stdin })) requestTrace.add(line);
    const lines = requestTrace.toLines();
    if (lines.length === 0) {
      throw new CommandError(
        `found no line of request ${requestId}, expected logs of the daemons that handled it`,
        EXIT_CODES.refused,
      );
    }
    for (const line of lines) output.print(formatLine(line));
    return { exitCode: EXIT_CODES.ok, value: lines };
  },
};

export default trace;
