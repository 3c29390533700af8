import type { Route } from '../version/Types';

/**
 * Idempotent HTTP methods, whose requests may be executed more than once.
 *
 * @see {@link https://www.rfc-editor.org/rfc/rfc9110#section-9.2.2}
 */
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);

/**
 * @param route - The call's route; its `idempotent` setting overrides the method.
 * @param method - The call's HTTP method.
 * @returns Whether the call may be executed more than once.
 */
export default function isIdempotent(route: Route, method: string): boolean {
  return route.idempotent ?? IDEMPOTENT_METHODS.has(method);
}
