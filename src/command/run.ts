import { watchFile } from 'node:fs';
import { readSettings } from '../process/settings';
import SettingsHolder from '../process/SettingsHolder';
import wireDaemon from '../process/wireDaemon';
import CommandError from './CommandError';
import { EXIT_CODES, type Command } from './Types';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
/** Poll interval for changes of the settings file, so that a reload doesn't need SIGHUP. */
const SETTINGS_POLL_MS = 2_000;

/** Resolves at the first stop signal; a second one ends the process without a graceful stop. */
function stopRequested(): Promise<void> {
  return new Promise((resolve) => {
    let signalCount = 0;
    const onSignal = () => {
      signalCount += 1;
      if (signalCount > 1) process.exit(EXIT_CODES.refused);
      resolve();
    };
    for (const signal of STOP_SIGNALS) process.on(signal, onSignal);
  });
}

/** Runs the daemon until a stop signal. */
const run: Command = {
  name: 'run',
  usage: '',
  summary: 'run the daemon; needs --settings',
  argumentCount: 0,
  async run(_args, flags, output) {
    if (!flags.settings) {
      throw new CommandError('found no --settings, expected a TOML file', EXIT_CODES.usage);
    }
    const stop = stopRequested();
    const settings = new SettingsHolder(flags.settings, readSettings(flags.settings));
    const daemon = await wireDaemon(settings);
    const reload = () => daemon.reload();
    process.on('SIGHUP', reload);
    watchFile(flags.settings, { interval: SETTINGS_POLL_MS, persistent: false }, reload);
    daemon.start();
    output.print(JSON.stringify({ listening: daemon.addresses }));
    await stop;
    await daemon.stop();
    return { exitCode: EXIT_CODES.ok, value: { stopped: true } };
  },
};

export default run;
