import type { Logger } from '../common/Types';
import { readSettings, type Settings } from './settings';
import SettingsError from './SettingsError';

/** Sections of the settings file, or keys in them, whose new values apply without a restart. */
const RELOADABLE_KEYS = new Set(['peers.seeds', 'retries', 'daemon.drain', 'daemon.leave']);

/**
 * @returns Keys of the settings that changed; a section whose new values apply without a restart
 *   counts as one key.
 */
function changedKeys(before: object, after: object, prefix = ''): string[] {
  return Object.entries(after).flatMap(([key, value]) => {
    const old = (before as Record<string, unknown>)[key];
    if (JSON.stringify(old) === JSON.stringify(value)) return [];
    const path = `${prefix}${key}`;
    const isSection = prefix === '' && !RELOADABLE_KEYS.has(path);
    return isSection ? changedKeys(old ?? {}, value as object, `${path}.`) : [path];
  });
}

/** Holds the settings in force and reloads those that may change without a restart. */
export default class SettingsHolder {
  private settings: Settings;

  /**
   * @param file - Path of the settings file.
   * @param settings - The settings read from it at the start.
   */
  public constructor(
    private readonly file: string,
    settings: Settings,
  ) {
    this.settings = settings;
  }

  /** The settings in force. */
  public get current(): Settings {
    return this.settings;
  }

  /**
   * Reads the file again. An invalid file changes nothing.
   *
   * @param logger - Receives the changed keys, or the errors in the file.
   */
  public reload(logger: Logger): void {
    let newSettings: Settings;
    try {
      newSettings = readSettings(this.file);
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error;
      logger.log('The settings were not reloaded.', { reason: error.message });
      return;
    }
    const changed = changedKeys(this.settings, newSettings);
    if (changed.length === 0) return;
    const { settings } = this;
    this.settings = {
      ...settings,
      peers: { ...settings.peers, seeds: newSettings.peers.seeds },
      retries: newSettings.retries,
      daemon: {
        ...settings.daemon,
        drain: newSettings.daemon.drain,
        leave: newSettings.daemon.leave,
      },
    };
    logger.log('Reloaded the settings.', {
      inForce: changed.filter((key) => RELOADABLE_KEYS.has(key)),
      afterRestart: changed.filter((key) => !RELOADABLE_KEYS.has(key)),
    });
  }
}
