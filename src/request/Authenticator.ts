import { createHash } from 'node:crypto';
import type { KeyDigest } from '../common/Types';
import type { CurrentVersion, Organisation, Route } from '../version/Types';
import NotRunError from './NotRunError';
import RequestError from './RequestError';

/** HTTP status for a request without a valid key. */
const UNAUTHORIZED_STATUS = 401;

/** What the decision about a key depends on. */
export interface AuthenticationServices {
  readonly versions: CurrentVersion;
  /** Whether a newer version of the configuration is known, which may hold a key that this one lacks. */
  readonly awaitsNewerVersion: () => boolean;
}

function digestOf(key: string): KeyDigest {
  return createHash('sha256').update(key).digest('hex') as KeyDigest;
}

/** Identifies the organisations of callers by their keys, which the configuration holds as digests. */
export default class Authenticator {
  public constructor(private readonly services: AuthenticationServices) {}

  /**
   * @param route - Route of the call.
   * @param key - Key that the caller sent; `undefined` if it sent none.
   * @returns The organisation that holds the key; `undefined` if the call needs none and has none.
   * @throws RequestError - The route needs a key, and no organisation holds this one.
   * @throws NotRunError - The same, but a newer configuration may hold it.
   */
  public authenticate(route: Route, key: string | undefined): Organisation | undefined {
    const { versions, awaitsNewerVersion } = this.services;
    const { snapshot } = versions;
    if (!snapshot || snapshot.configuration.organisations.size === 0) return undefined;
    const organisation = key === undefined ? undefined : snapshot.organisationOf(digestOf(key));
    if (organisation || route.isPublic) return organisation;
    if (key !== undefined && awaitsNewerVersion()) {
      throw new NotRunError(
        'the key is not known, but a newer configuration is not in force here yet',
      );
    }
    throw new RequestError(
      UNAUTHORIZED_STATUS,
      key === undefined ? 'the route needs a key' : 'the key is not known',
    );
  }
}
