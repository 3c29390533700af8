/**
 * Questions of operators' commands to the control address of a daemon.
 *
 * @packageDocumentation
 */
import { request } from 'undici';
import type { Address } from '../common/Types';
import type { MemberRecord } from '../connection/Types';
import type { HeadReport } from '../process/Inspection';
import type { DaemonStatus, Dump, Explanation } from '../process/Types';
import CommandError from './CommandError';
import { EXIT_CODES } from './Types';

const ASK_TIMEOUT_MS = 3_000;

async function ask<Answer>(address: Address, path: string): Promise<Answer> {
  try {
    const { statusCode, body } = await request(`http://${address}${path}`, {
      signal: AbortSignal.timeout(ASK_TIMEOUT_MS),
    });
    if (statusCode !== 200) throw new Error(`status ${statusCode}`);
    return (await body.json()) as Answer;
  } catch (error) {
    const { code, message } = error as NodeJS.ErrnoException;
    throw new CommandError(
      `${address}: found no daemon (${code ?? message}), expected the control address of one`,
      EXIT_CODES.unavailable,
    );
  }
}

/**
 * @param address - Control address.
 * @returns What is in force there.
 * @throws CommandError - The daemon can't be reached; so do the other questions.
 */
export function askStatus(address: Address): Promise<DaemonStatus> {
  return ask(address, '/status');
}

/**
 * @param address - Control address.
 * @returns The live members it knows.
 */
export function askMembers(address: Address): Promise<MemberRecord[]> {
  return ask(address, '/members');
}

/**
 * @param address - Control address.
 * @returns The folder in force there.
 */
export function askHead(address: Address): Promise<HeadReport> {
  return ask(address, '/folder');
}

/**
 * @param address - Control address.
 * @returns Its whole state.
 */
export function askDump(address: Address): Promise<Dump> {
  return ask(address, '/dump');
}

/**
 * @param address - Control address.
 * @param method - HTTP method.
 * @param path - Path of the call.
 * @returns Where such a call would go.
 */
export function askExplanation(
  address: Address,
  method: string,
  path: string,
): Promise<Explanation> {
  const query = new URLSearchParams({ method, path });
  return ask(address, `/explain?${query}`);
}
