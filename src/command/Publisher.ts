import { randomUUID } from 'node:crypto';
import sleep from '../common/sleep';
import type { Offset, PublicationId, VersionNumber } from '../common/Types';
import LogExpiredError from '../connection/LogExpiredError';
import LogUnavailableError from '../connection/LogUnavailableError';
import LogUnknownOutcomeError from '../connection/LogUnknownOutcomeError';
import type { Log } from '../connection/Types';
import { SCHEMA_NUMBER } from '../version/configurationSchema';
import { folderChanges, folderDigest } from '../version/folder';
import Fold from '../version/Fold';
import { mergeFolder } from '../version/mergeFolder';
import { encodeRecord } from '../version/recordSchema';
import type { Folder, Head, Publication, Verdict } from '../version/Types';
import CommandError from './CommandError';
import { EXIT_CODES } from './Types';

const APPEND_RETRIES = 5;
const RETRY_PAUSE_MS = 500;
const SETTLE_MS = 3_000;
const READ_WAIT_MS = 500;
const MAX_RECORD_BYTES = 1024 * 1024;

/** The verdict on a publication of this process. */
export type OwnVerdict = Extract<Verdict, { kind: 'accepted' } | { kind: 'refused' }>;

/** Appends publications and reads their verdicts back, by the fold that every reader applies. */
export default class Publisher {
  private fold: Fold | undefined;

  private readonly verdicts = new Map<PublicationId, OwnVerdict>();

  /**
   * @param log - The log service.
   * @param anchor - Gives a head from a daemon, for a log that dropped its beginning.
   */
  public constructor(
    private readonly log: Log,
    private readonly anchor: () => Promise<{ head: Head; through: Offset } | undefined>,
  ) {}

  /**
   * Reads the stream to its end.
   *
   * @returns The head there.
   * @throws LogError - The log can't be read.
   * @throws CommandError - The log dropped its beginning and nobody knows what was before.
   */
  public async readHead(): Promise<Head | undefined> {
    const { earliest, next } = await this.log.bounds('configuration');
    if (!this.fold) this.fold = new Fold(mergeFolder, earliest);
    const { fold } = this;
    while (fold.nextOffset < next) await this.readMore(0);
    if (!fold.isAnchored) await this.anchorByDaemon(fold);
    if (!fold.isAnchored) {
      throw new CommandError(
        'the log keeps no checkpoint that tells what is in force; name a daemon with --daemon',
        EXIT_CODES.unavailable,
      );
    }
    return fold.current;
  }

  /**
   * Appends a folder as a publication and waits for its verdict.
   *
   * @param folder - The whole folder.
   * @param base - The folder's author started from this head.
   * @returns The verdict.
   * @throws LogError - The log can't be read or refused the record.
   * @throws CommandError - Whether it was appended isn't known.
   */
  public async publish(folder: Folder, base: Head | undefined): Promise<OwnVerdict> {
    const publication: Publication = {
      kind: 'publication',
      schema: SCHEMA_NUMBER,
      id: randomUUID() as PublicationId,
      base: base?.version ?? null,
      changes: folderChanges(base?.folder ?? [], folder),
      digest: folderDigest(folder),
    };
    return this.append(publication);
  }

  /**
   * Appends a publication, again where the answer was lost and the stream doesn't show it. An append
   * that lands late is refused by its base once another one of the same base was accepted.
   *
   * @param publication - What to append; its id is the same each time.
   * @returns The verdict.
   */
  public async append(publication: Publication): Promise<OwnVerdict> {
    const data = encodeRecord(publication);
    if (Buffer.byteLength(data) > MAX_RECORD_BYTES) {
      throw new CommandError(
        `found a publication of ${Buffer.byteLength(data)} bytes, expected at most ${MAX_RECORD_BYTES}`,
      );
    }
    for (let tries = 1; ; tries += 1) {
      try {
        await this.log.append('configuration', data);
        return await this.verdict(publication.id, Infinity);
      } catch (error) {
        const unknown = error instanceof LogUnknownOutcomeError;
        if (!unknown && !(error instanceof LogUnavailableError)) throw error;
        const found = unknown ? await this.searched(publication.id) : undefined;
        if (found) return found;
        if (tries > APPEND_RETRIES) throw Publisher.unresolved(publication, unknown);
        await sleep(RETRY_PAUSE_MS);
      }
    }
  }

  /** The head at the end of what was read. */
  public get head(): Head | undefined {
    return this.fold?.current;
  }

  private async searched(id: PublicationId): Promise<OwnVerdict | undefined> {
    try {
      return await this.verdict(id, SETTLE_MS);
    } catch (error) {
      if (error instanceof LogUnavailableError || error instanceof CommandError) return undefined;
      throw error;
    }
  }

  private async verdict(id: PublicationId, patienceMs: number): Promise<OwnVerdict> {
    const deadline = performance.now() + patienceMs;
    for (;;) {
      const verdict = this.verdicts.get(id);
      if (verdict) return verdict;
      if (performance.now() > deadline)
        throw new CommandError('no verdict yet', EXIT_CODES.unavailable);
      await this.readMore(READ_WAIT_MS);
    }
  }

  private async readMore(waitMs: number): Promise<void> {
    const fold = this.fold!;
    try {
      const { signal } = new AbortController();
      const batch = await this.log.read('configuration', fold.nextOffset, waitMs, signal);
      for (const { offset, data } of batch.records) {
        for (const verdict of fold.apply(offset, data)) this.note(verdict);
      }
    } catch (error) {
      if (!(error instanceof LogExpiredError)) throw error;
      fold.restartAt(error.earliest);
      await this.anchorByDaemon(fold);
    }
  }

  private note(verdict: Verdict): void {
    if (verdict.kind !== 'accepted' && verdict.kind !== 'refused') return;
    // The same publication may stand in the log twice; once accepted it is accepted.
    if (this.verdicts.get(verdict.id)?.kind !== 'accepted') this.verdicts.set(verdict.id, verdict);
  }

  private async anchorByDaemon(fold: Fold): Promise<void> {
    const known = await this.anchor();
    if (!known) return;
    const verdicts = fold.anchor({ kind: 'checkpoint', schema: SCHEMA_NUMBER, ...known });
    for (const verdict of verdicts) this.note(verdict);
  }

  private static unresolved({ id, base }: Publication, unknown: boolean): CommandError {
    const state = unknown
      ? 'it may have been appended: run status, or publish again, which changes nothing twice'
      : 'it was not appended';
    return new CommandError(
      `publication ${id} on version ${base ?? 'none'} has no verdict; ${state}`,
      EXIT_CODES.unavailable,
    );
  }
}

/**
 * @param head - A head, if any.
 * @returns Its version for people.
 */
export function versionText(head: { readonly version: VersionNumber } | undefined): string {
  return head ? String(head.version) : 'none';
}
