import { createInterface } from 'node:readline';
import CommandError from './CommandError';
import RequestStory, { type StoryLine } from './RequestStory';
import { EXIT_CODES, type Command } from './Types';

function textOf({ time, daemon, isOwn, message, fields }: StoryLine): string {
  const told = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return `${time} ${isOwn ? '*' : ' '} ${daemon}: ${[message, ...told].join(' ')}`;
}

/** Tells what became of a request, from daemons' logs on standard input. */
const trace: Command = {
  name: 'trace',
  usage: 'ID',
  summary: "tell a request's story from daemons' logs on standard input",
  argumentCount: 1,
  async run([requestId], _flags, output) {
    const story = new RequestStory(requestId!);
    for await (const line of createInterface({ input: process.stdin })) story.add(line);
    const lines = story.tell();
    if (lines.length === 0) {
      throw new CommandError(
        `found no line of request ${requestId}, expected logs of the daemons that it went through`,
        EXIT_CODES.refused,
      );
    }
    for (const line of lines) output.print(textOf(line));
    return { exitCode: EXIT_CODES.ok, value: lines };
  },
};

export default trace;
