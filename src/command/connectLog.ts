import type { Address } from '../common/Types';
import HttpLog from '../connection/HttpLog';
import SocketMeter from '../connection/SocketMeter';
import { readSettings } from '../process/settings';
import CommandError from './CommandError';
import { EXIT_CODES, type Flags } from './Types';

/**
 * Creates a client of the log service.
 *
 * @param flags - Flags with `--log`, or with `--settings` of any daemon.
 * @returns The client, to be disposed of by the caller of this function.
 * @throws CommandError - Neither flag is given.
 * @throws SettingsError - The settings are unreadable or invalid.
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
 * Finds the control address of the daemon to query.
 *
 * @param flags - Flags with `--daemon`, or with `--settings` of a daemon.
 * @returns The address; `undefined` if neither flag is given.
 */
export function controlAddress(flags: Flags): Address | undefined {
  if (flags.daemon) return flags.daemon as Address;
  return flags.settings ? readSettings(flags.settings).daemon.control : undefined;
}
