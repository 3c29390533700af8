import type { Logger } from '../common/Types';
import { readSettings, type Settings } from './settings';
import SettingsError from './SettingsError';

/** Keys whose new values come into force without a restart; sections, or keys of sections. */
const RELOADED = new Set(['peers.seeds', 'retries', 'daemon.drain', 'daemon.leave']);

function changedKeys(before: object, after: object, prefix = ''): string[] {
  return Object.entries(after).flatMap(([key, value]) => {
    const old = (before as Record<string, unknown>)[key];
    if (JSON.stringify(old) === JSON.stringify(value)) return [];
    const path = `${prefix}${key}`;
    const isSection = prefix === '' && !RELOADED.has(path);
    return isSection ? changedKeys(old ?? {}, value as object, `${path}.`) : [path];
  });
}

/** Holds the settings in force and takes in those of the file that may change while it runs. */
export default class SettingsHolder {
  private settings: Settings;

  /**
   * @param file - The settings file.
   * @param settings - What it held at the start.
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
   * Reads the file again. A wrong file leaves what is in force.
   *
   * @param logger - Told of what changed, and of what is wrong.
   */
  public reload(logger: Logger): void {
    let read: Settings;
    try {
      read = readSettings(this.file);
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error;
      logger.log('The settings were not reloaded.', { reason: error.message });
      return;
    }
    const changed = changedKeys(this.settings, read);
    if (changed.length === 0) return;
    const { settings } = this;
    this.settings = {
      ...settings,
      peers: { ...settings.peers, seeds: read.peers.seeds },
      retries: read.retries,
      daemon: { ...settings.daemon, drain: read.daemon.drain, leave: read.daemon.leave },
    };
    logger.log('Reloaded the settings.', {
      inForce: changed.filter((key) => RELOADED.has(key)),
      afterRestart: changed.filter((key) => !RELOADED.has(key)),
    });
  }
}
