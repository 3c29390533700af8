import { randomUUID } from 'node:crypto';
import sleep from '../common/sleep';
import type { Offset, PublicationId, VersionNumber } from '../common/Types';
import LogExpiredError from '../connection/LogExpiredError';
import LogUnavailableError from '../connection/LogUnavailableError';
import LogUnknownOutcomeError from '../connection/LogUnknownOutcomeError';
import type { Log } from '../connection/Types';
import { SCHEMA_NUMBER } from '../version/configurationSchema';
import { folderChanges, folderDigest } from '../version/folder';
import ConfigurationReplay from '../version/ConfigurationReplay';
import mergePublication from '../version/mergePublication';
import requiredSchema from '../version/requiredSchema';
import { encodeRecord } from '../version/recordSchema';
import type { Folder, Head, Publication, RecordOutcome } from '../version/Types';
import CommandError from './CommandError';
import { EXIT_CODES } from './Types';

const MAX_APPEND_RETRIES = 5;
const RETRY_DELAY_MS = 500;
/**
 * How long to look in the stream for a record whose append got no response, before the record is
 * appended again.
 */
const LOST_APPEND_WAIT_MS = 3_000;
const LONG_POLL_MS = 500;
/** Size limit of one record of the log service. */
const MAX_RECORD_BYTES = 1024 * 1024;

/** Whether a publication was accepted or refused. */
export type PublicationOutcome = Extract<RecordOutcome, { kind: 'accepted' } | { kind: 'refused' }>;

/**
 * Appends publications to the log. To find out whether they were accepted, it reads the
 * configuration stream and applies the same rules as the daemons.
 */
export default class Publisher {
  private replay: ConfigurationReplay | undefined;

  private readonly outcomes = new Map<PublicationId, PublicationOutcome>();

  /**
   * @param log - The log service.
   * @param fetchCheckpoint - Gets the head and its offset from a daemon, in case the log has dropped
   * its first records and holds no checkpoint. Returns `undefined` if no daemon can be asked.
   */
  public constructor(
    private readonly log: Log,
    private readonly fetchCheckpoint: () => Promise<{ head: Head; through: Offset } | undefined>,
  ) {}

  /**
   * Reads the configuration stream to its end.
   *
   * @returns The newest accepted version; `undefined` if nothing was published.
   * @throws LogError - The log can't be read.
   * @throws CommandError - The log dropped its first records, and neither a checkpoint in the log nor
   * a daemon supplies the state that the dropped records resulted in.
   */
  public async readHead(): Promise<Head | undefined> {
    const { earliest, next } = await this.log.bounds('configuration');
    if (!this.replay) this.replay = new ConfigurationReplay(mergePublication, earliest);
    const { replay } = this;
    while (replay.nextOffset < next) await this.readBatch(0);
    if (!replay.isComplete) await this.restoreFromDaemon(replay);
    if (!replay.isComplete) {
      throw new CommandError(
        'the log dropped its first records and holds no checkpoint; name a daemon with --daemon',
        EXIT_CODES.unavailable,
      );
    }
    return replay.head;
  }

  /**
   * Appends a folder as a publication and waits until it is accepted or refused.
   *
   * @param folder - The whole new folder.
   * @param base - Version that the folder is based on; `undefined` for an empty stream.
   * @returns The outcome.
   * @throws LogError - The log can't be read, or refused the record.
   * @throws CommandError - The outcome is unknown, or the publication is too large.
   */
  public async publish(folder: Folder, base: Head | undefined): Promise<PublicationOutcome> {
    const publication: Publication = {
      kind: 'publication',
      schema: requiredSchema(folder),
      id: randomUUID() as PublicationId,
      base: base?.version ?? null,
      changes: folderChanges(base?.folder ?? [], folder),
      digest: folderDigest(folder),
    };
    return this.append(publication);
  }

  /**
   * Appends a publication. If the response of the log is lost and the record doesn't show up in the
   * stream, appends it again. A duplicate that the log stores late does no harm: it is refused,
   * since its base is no longer the newest version.
   *
   * @param publication - The publication; all appends carry the same id.
   * @returns The outcome.
   * @throws LogError - The log can't be read, or refused the record.
   * @throws CommandError - The outcome is unknown, or the publication is too large.
   */
  public async append(publication: Publication): Promise<PublicationOutcome> {
    const data = encodeRecord(publication);
    if (Buffer.byteLength(data) > MAX_RECORD_BYTES) {
      throw new CommandError(
        `found a publication of ${Buffer.byteLength(data)} bytes, expected at most ${MAX_RECORD_BYTES}`,
      );
    }
    for (let attempt = 1; ; attempt += 1) {
      try {
        await this.log.append('configuration', data);
        return await this.waitForOutcome(publication.id, Infinity);
      } catch (error) {
        const isUnknown = error instanceof LogUnknownOutcomeError;
        if (!isUnknown && !(error instanceof LogUnavailableError)) throw error;
        const found = isUnknown ? await this.findOutcome(publication.id) : undefined;
        if (found) return found;
        if (attempt > MAX_APPEND_RETRIES) throw Publisher.noOutcomeError(publication, isUnknown);
        await sleep(RETRY_DELAY_MS);
      }
    }
  }

  /** The newest accepted version among the records read so far. */
  public get head(): Head | undefined {
    return this.replay?.head;
  }

  private async findOutcome(id: PublicationId): Promise<PublicationOutcome | undefined> {
    try {
      return await this.waitForOutcome(id, LOST_APPEND_WAIT_MS);
    } catch (error) {
      if (error instanceof LogUnavailableError || error instanceof CommandError) return undefined;
      throw error;
    }
  }

  private async waitForOutcome(id: PublicationId, timeoutMs: number): Promise<PublicationOutcome> {
    const deadline = performance.now() + timeoutMs;
    for (;;) {
      const outcome = this.outcomes.get(id);
      if (outcome) return outcome;
      if (performance.now() > deadline) throw new CommandError('timed out', EXIT_CODES.unavailable);
      await this.readBatch(LONG_POLL_MS);
    }
  }

  private async readBatch(waitMs: number): Promise<void> {
    const replay = this.replay!;
    try {
      const { signal } = new AbortController();
      const batch = await this.log.read('configuration', replay.nextOffset, waitMs, signal);
      for (const { offset, data } of batch.records) {
        for (const outcome of replay.apply(offset, data)) this.recordOutcome(outcome);
      }
    } catch (error) {
      if (!(error instanceof LogExpiredError)) throw error;
      replay.restartAt(error.earliest);
      await this.restoreFromDaemon(replay);
    }
  }

  private recordOutcome(outcome: RecordOutcome): void {
    if (outcome.kind !== 'accepted' && outcome.kind !== 'refused') return;
    // The log may hold duplicates of a publication. The second one is refused by its base, which
    // must not hide that the first one was accepted.
    if (this.outcomes.get(outcome.id)?.kind !== 'accepted') this.outcomes.set(outcome.id, outcome);
  }

  private async restoreFromDaemon(replay: ConfigurationReplay): Promise<void> {
    const state = await this.fetchCheckpoint();
    if (!state) return;
    const outcomes = replay.restore({ kind: 'checkpoint', schema: SCHEMA_NUMBER, ...state });
    for (const outcome of outcomes) this.recordOutcome(outcome);
  }

  private static noOutcomeError({ id, base }: Publication, isUnknown: boolean): CommandError {
    const state = isUnknown
      ? 'it may have been appended: run status, or publish again, which is safe'
      : 'it was not appended';
    return new CommandError(
      `publication ${id} on version ${base ?? 'none'} has no known outcome; ${state}`,
      EXIT_CODES.unavailable,
    );
  }
}

/**
 * Formats a version number for messages.
 *
 * @param head - A version; `undefined` if nothing was published.
 * @returns The version number, or `none`.
 */
export function formatVersion(head: { readonly version: VersionNumber } | undefined): string {
  return head ? String(head.version) : 'none';
}
