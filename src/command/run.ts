import { watchFile } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import { readSettings } from '../process/settings';
import SettingsHolder from '../process/SettingsHolder';
import wireDaemon from '../process/wireDaemon';
import CommandError from './CommandError';
import { EXIT_CODES, type Command } from './Types';

/** MiB; a larger young generation makes collections rarer, which calls would wait for. */
const SEMI_SPACE_MIB = 16;
const SIGNALS = ['SIGTERM', 'SIGINT'] as const;
/** How often the settings file is looked at, in milliseconds; it may change without a signal. */
const SETTINGS_CHECK_MS = 2_000;

/** Resolves at the first signal to stop; a second one ends the process at once. */
function stopRequested(): Promise<void> {
  return new Promise((resolve) => {
    let seen = 0;
    const onSignal = () => {
      seen += 1;
      if (seen > 1) process.exit(EXIT_CODES.refused);
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
      throw new CommandError('found no --settings, expected a TOML file', EXIT_CODES.usage);
    }
    setFlagsFromString(`--semi-space-growth-factor=2`);
    setFlagsFromString(`--min-semi-space-size=${SEMI_SPACE_MIB}`);
    const stop = stopRequested();
    const settings = new SettingsHolder(flags.settings, readSettings(flags.settings));
    const daemon = await wireDaemon(settings);
    const reload = () => daemon.reload();
    process.on('SIGHUP', reload);
    watchFile(flags.settings, { interval: SETTINGS_CHECK_MS, persistent: false }, reload);
    daemon.start();
    output.print(JSON.stringify({ listening: daemon.addresses }));
    await stop;
    await daemon.stop();
    return { exitCode: EXIT_CODES.ok, value: { stopped: true } };
  },
};

export default run;
