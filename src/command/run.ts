import { watchFile } from 'node:fs';
import { isatty } from 'node:tty';
import { readSettings } from '../process/settings';
import SettingsHolder from '../process/SettingsHolder';
import wireDaemon from '../process/wireDaemon';
import CommandError from './CommandError';
import ProcessSignals from './ProcessSignals';
import { EXIT_CODES, type Command } from './Types';

/** File descriptor of standard input. */
const STANDARD_INPUT = 0;
/** Poll interval for changes of the settings file, so that a reload doesn't need SIGHUP. */
const SETTINGS_POLL_MS = 2_000;

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
    const abort = () => process.exit(EXIT_CODES.refused);
    const signals = new ProcessSignals(process, isatty(STANDARD_INPUT), abort);
    const settings = new SettingsHolder(flags.settings, readSettings(flags.settings));
    const daemon = await wireDaemon(settings);
    signals.onReload(() => daemon.reload());
    signals.onRepeat((signal) => daemon.logRepeatedSignal(signal));
    watchFile(flags.settings, { interval: SETTINGS_POLL_MS, persistent: false }, () =>
      daemon.reload(),
    );
    daemon.start();
    signals.start();
    output.print(JSON.stringify({ listening: daemon.addresses }));
    await signals.stopRequested;
    await daemon.stop();
    // Probes of lost daemons and requests to them may still be under way, which would delay the exit by up to
    // their timeouts. The exit code is set by then.
    setImmediate(() => process.exit());
    return { exitCode: EXIT_CODES.ok, value: { stopped: true } };
  },
};

export default run;
