import type { Address } from '../common/Types';
import HttpLog from '../connection/HttpLog';
import SocketMeter from '../connection/SocketMeter';
import { readSettings } from '../process/settings';
import CommandError from './CommandError';
import { EXIT_CODES, type Flags } from './Types';

/**
 * @param flags - `--log`, or `--settings` of any daemon.
 * @returns The log service.
 * @throws CommandError - Neither flag is given.
 * @throws SettingsError - The settings can't be used.
 */
export function connectLog(flags: Flags): HttpLog {
  const meter = new SocketMeter();
  if (flags.log) return new HttpLog(flags.log as Address, flags.streamPrefix, meter);
  if (flags.settings) {
    const { log } = readSettings(flags.settings);
    return new HttpLog(log.address, log.stream_prefix, meter);
  }
  throw new CommandError(
    'found neither --log nor --settings, expected one of them',
    EXIT_CODES.usage,
  );
}

/**
 * @param flags - `--daemon`, or `--settings` of one.
 * @returns Control address of a daemon, if one is named.
 */
export function namedDaemon(flags: Flags): Address | undefined {
  if (flags.daemon) return flags.daemon as Address;
  return flags.settings ? readSettings(flags.settings).daemon.control : undefined;
}
