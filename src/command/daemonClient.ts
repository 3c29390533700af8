/**
 * Client of the HTTP interface that a daemon serves at its control address. All functions throw a
 * `CommandError` if the daemon can't be reached.
 *
 * @packageDocumentation
 */
import { request } from 'undici';
import type { Address } from '../common/Types';
import type { MemberRecord } from '../connection/Types';
import type { HeadReport } from '../process/Inspection';
import type { DaemonStatus, DaemonDump, RouteExplanation } from '../process/Types';
import CommandError from './CommandError';
import { EXIT_CODES } from './Types';

const REQUEST_TIMEOUT_MS = 3_000;

async function fetchJson<Result>(address: Address, path: string): Promise<Result> {
  try {
    const { statusCode, body } = await request(`http://${address}${path}`, {
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    if (statusCode !== 200) throw new Error(`status ${statusCode}`);
    return (await body.json()) as Result;
  } catch (error) {
    const { code, message } = error as NodeJS.ErrnoException;
    throw new CommandError(
      `${address}: found no daemon (${code ?? message}), expected the control address of one`,
      EXIT_CODES.unavailable,
    );
  }
}

/**
 * @param address - Control address of the daemon.
 * @returns The daemon's status, with its configuration version in force.
 */
export function fetchStatus(address: Address): Promise<DaemonStatus> {
  return fetchJson(address, '/status');
}

/**
 * @param address - Control address of the daemon.
 * @returns The members that it considers alive.
 */
export function fetchMembers(address: Address): Promise<MemberRecord[]> {
  return fetchJson(address, '/members');
}

/**
 * @param address - Control address of the daemon.
 * @returns The version in force there, and the offset up to which the daemon knows the
 * configuration stream.
 */
export function fetchHead(address: Address): Promise<HeadReport> {
  return fetchJson(address, '/folder');
}

/**
 * @param address - Control address of the daemon.
 * @returns Its whole state, for diagnosis.
 */
export function fetchDump(address: Address): Promise<DaemonDump> {
  return fetchJson(address, '/dump');
}

/**
 * @param address - Control address of the daemon.
 * @param method - HTTP method.
 * @param path - Path of the call.
 * @returns How the daemon would route such a call.
 */
export function fetchExplanation(
  address: Address,
  method: string,
  path: string,
): Promise<RouteExplanation> {
  const query = new URLSearchParams({ method, path });
  return fetchJson(address, `/explain?${query}`);
}
