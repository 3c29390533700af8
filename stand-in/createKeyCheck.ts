import Authenticator from '../src/request/Authenticator';
import type { CurrentVersion, Snapshot } from '../src/version/Types';
import ManualClock from './ManualClock';

/**
 * @param snapshot - The version in force, which no newer one follows and which needs no proof.
 * @returns What checks the keys of callers under this version.
 */
export default function createKeyCheck(snapshot: Snapshot): Authenticator {
  return new Authenticator({
    versions: { snapshot } as unknown as CurrentVersion,
    awaitsNewerVersion: () => false,
    proof: undefined,
    onKeyRefused: () => undefined,
    clock: new ManualClock(),
    logger: { log: () => undefined },
  });
}
