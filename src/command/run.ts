import { setFlagsFromString } from 'node:v8';
import { readSettings } from '../process/settings';
import wireDaemon from '../process/wireDaemon';
import CommandError from './CommandError';
import { EXIT, type Command } from './Types';

/** MiB; a larger young generation makes collections rarer, which calls would wait for. */
const SEMI_SPACE_MIB = 16;
const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Resolves at the first signal to stop; a second one ends the process at once. */
function stopRequested(): Promise<void> {
  return new Promise((resolve) => {
    let seen = 0;
    const onSignal = () => {
      seen += 1;
      if (seen > 1) process.exit(EXIT.refused);
      resolve();
    };
    for (const signal of SIGNALS) process.on(signal, onSignal);
  });
}

/** Runs the daemon until it is told to stop. */
const run: Command = {
  name: 'run',
  usage: '',
  summary: 'run the daemon; needs --settings',
  argumentCount: 0,
  async run(_args, flags, output) {
    if (!flags.settings) {
      throw new CommandError('found no --settings, expected a TOML file', EXIT.usage);
    }
    setFlagsFromString(`--semi-space-growth-factor=2`);
    setFlagsFromString(`--min-semi-space-size=${SEMI_SPACE_MIB}`);
    const settings = readSettings(flags.settings);
    const stop = stopRequested();
    const daemon = await wireDaemon(settings);
    daemon.start();
    output.print(JSON.stringify({ listening: daemon.addresses }));
    await stop;
    await daemon.stop();
    return { exitCode: EXIT.ok, value: { stopped: true } };
  },
};

export default run;
