import { decodeHeader } from '../common/headerText';
import type { Clock, Logger, OrganisationName } from '../common/Types';
import type { CurrentVersion, Organisation, Route } from '../version/Types';
import keyDigest from '../version/keyDigest';
import NotRunError from './NotRunError';
import RequestError from './RequestError';
import type { KeyProof, KeyRefusal } from './Types';

/** HTTP status for a request without a valid key. */
const UNAUTHORIZED_STATUS = 401;
/** Shortest time between two log lines about unknown keys, in milliseconds. */
const UNKNOWN_KEY_LOG_INTERVAL_MS = 5_000;
/** Maximum number of organisations that are named in the log while the proof is too old. */
const MAX_LOGGED_ORGANISATIONS = 100;
const OLD_PROOF =
  'it is not known whether the key is still valid: the configuration was not confirmed in time';

/** What the decision about a key depends on. */
export interface AuthenticationServices {
  readonly versions: CurrentVersion;
  /** Whether a newer version of the configuration is known, which may hold a key that this one lacks. */
  readonly awaitsNewerVersion: () => boolean;
  /** Proof that the keys in force weren't revoked; `undefined` if no bound of revocation is set. */
  readonly proof: KeyProof | undefined;
  /** Called for each call that is refused for its key, with the reason. */
  readonly onKeyRefused: (reason: KeyRefusal) => void;
  readonly clock: Clock;
  readonly logger: Logger;
}

function roundedAge(proof: KeyProof | undefined): number | null {
  return proof && Number.isFinite(proof.ageMs) ? Math.round(proof.ageMs) : null;
}

/**
 * Identifies the organisations of callers by their keys, which the configuration holds as digests. Where a
 * bound of revocation is set, keys are accepted only while the version in force is proven to be recent.
 */
export default class Authenticator {
  /** Calls with a key that were refused since the proof became too old. */
  private refusedForProof = 0;

  /** Organisations whose calls were refused since then, as far as they were logged. */
  private readonly refusedOrganisations = new Set<OrganisationName>();

  private unknownKeys = 0;

  private unknownLoggedAt = -Infinity;

  public constructor(private readonly services: AuthenticationServices) {}

  /**
   * @param route - Route of the call.
   * @param key - Key that the caller sent; `undefined` if it sent none.
   * @returns The organisation that holds the key; `undefined` if the call needs none and has none.
   * @throws RequestError - The route needs a key, and no organisation holds this one.
   * @throws NotRunError - The same, but a newer configuration may hold it; or the key may have been revoked; or
   * it can't be told whose key it is, or what may be run for it.
   */
  public authenticate(route: Route, key: string | undefined): Organisation | undefined {
    const { snapshot } = this.services.versions;
    if (!snapshot?.configuration.keysRequired) return undefined;
    const digest = key === undefined ? undefined : keyDigest(decodeHeader(key));
    const organisation = digest === undefined ? undefined : snapshot.organisationOf(digest);
    const isShared = digest !== undefined && snapshot.configuration.sharedKeys.has(digest);
    if (!organisation && !isShared && route.isPublic) return undefined;
    if (key !== undefined) this.checkProof(organisation);
    if (isShared) this.refuseClosed('several organisations hold the key');
    if (organisation?.closed !== undefined) {
      this.refuseClosed(`the organisation of the key is closed: ${organisation.closed}`);
    }
    if (!organisation && key !== undefined && snapshot.hasIncompleteOrganisation) {
      this.refuseClosed('the key is not known, but some organisations are incomplete here');
    }
    return organisation ?? this.refuse(route, key === undefined ? 'missing' : 'unknown');
  }

  private refuseClosed(reason: string): never {
    this.services.onKeyRefused('closed');
    throw new NotRunError(reason, { daemonNotReady: true });
  }

  private refuse(route: Route, reason: 'missing' | 'unknown'): never {
    const { awaitsNewerVersion, onKeyRefused } = this.services;
    onKeyRefused(reason);
    if (reason === 'unknown') this.logUnknown(route);
    if (awaitsNewerVersion()) {
      throw new NotRunError(
        `${reason === 'missing' ? 'the route needs a key' : 'the key is not known'}, but a newer configuration is not in force here yet`,
      );
    }
    throw new RequestError(
      UNAUTHORIZED_STATUS,
      reason === 'missing' ? 'the route needs a key' : 'the key is not known',
    );
  }

  /** Refuses calls with a key, known or not, while a newer version may have changed the keys. */
  private checkProof(organisation: Organisation | undefined): void {
    const { proof, onKeyRefused, logger } = this.services;
    if (!proof || proof.isFresh) {
      if (this.refusedForProof > 0) this.logFreshAgain(proof);
      return;
    }
    onKeyRefused('proof');
    this.refusedForProof += 1;
    const name = organisation?.name;
    const isNamed = name !== undefined && !this.refusedOrganisations.has(name);
    if (isNamed && this.refusedOrganisations.size < MAX_LOGGED_ORGANISATIONS) {
      this.refusedOrganisations.add(name);
      logger.log('Refuses keys: the proof of the version in force is too old.', {
        organisation: name,
        proofAgeMs: roundedAge(proof),
      });
    }
    throw new NotRunError(OLD_PROOF, { daemonNotReady: true });
  }

  private logFreshAgain(proof: KeyProof | undefined): void {
    this.services.logger.log('Accepts keys again: the proof of the version in force is fresh.', {
      refused: this.refusedForProof,
      organisations: this.refusedOrganisations.size,
      proofAgeMs: roundedAge(proof),
    });
    this.refusedForProof = 0;
    this.refusedOrganisations.clear();
  }

  private logUnknown({ name }: Route): void {
    const { clock, logger } = this.services;
    this.unknownKeys += 1;
    const now = clock.now();
    if (now - this.unknownLoggedAt < UNKNOWN_KEY_LOG_INTERVAL_MS) return;
    logger.log('Calls with an unknown key.', { route: name, count: this.unknownKeys });
    this.unknownLoggedAt = now;
    this.unknownKeys = 0;
  }
}
