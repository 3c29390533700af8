import ms from 'ms';
import sleep from '../common/sleep';
import type { Address, VersionNumber } from '../common/Types';
import type HttpLog from '../connection/HttpLog';
import { formatFault } from '../version/faults';
import { folderChanges } from '../version/folder';
import type { Folder, Head, PublicationRefusal } from '../version/Types';
import CommandError from './CommandError';
import { connectLog, namedDaemon } from './connectLog';
import { askHead, askMembers } from './daemonClient';
import { fleetStatus } from './fleetStatus';
import { mergeOrThrow, parseBase, readBase, readFolder, writeBase } from './folderFiles';
import Publisher, { versionText } from './Publisher';
import { EXIT_CODES, type Command, type CommandResult, type Flags, type Output } from './Types';

const POLL_MS = 250;

async function statedBase(path: string, flags: Flags): Promise<VersionNumber | null | undefined> {
  return flags.base === undefined ? readBase(path) : parseBase(flags.base, '--base');
}

function describeRefusal(
  refusal: PublicationRefusal,
  folder: Folder,
  head: Head | undefined,
): string {
  if (refusal.kind === 'invalid') return refusal.faults.map(formatFault).join('\n');
  if (refusal.kind === 'digest') return 'its digest differs from what its changes give';
  if (!head) return 'nothing was ever published; expected the base "none"';
  const files = folderChanges(head.folder, folder).map(({ name }) => name);
  return (
    `someone else published version ${versionText(head)} first; ` +
    `these files differ from it: ${files.join(', ') || 'none'}. Pull into another folder, merge, publish again`
  );
}

/** Refuses a folder whose author started from another version than the one in force. */
function requireCurrentBase(
  base: VersionNumber | null | undefined,
  folder: Folder,
  head: Head | undefined,
): void {
  const current = head?.version ?? null;
  if (base === undefined && head) {
    throw new CommandError(
      `the folder doesn't say which version it started from; version ${current} is in force. ` +
        'Start from a pull, or name the version with --base',
    );
  }
  if (base === undefined || base === current) return;
  throw new CommandError(describeRefusal({ kind: 'base', head: current }, folder, head));
}

function createPublisher(log: HttpLog, daemon: Address | undefined): Publisher {
  return new Publisher(log, async () => {
    if (!daemon) return undefined;
    const { head, through } = await askHead(daemon);
    return head ? { head, through } : undefined;
  });
}

/**
 * @param flags - Names the log, and perhaps a daemon.
 * @param use - Gets the publisher; the log is released afterwards.
 * @returns What `use` returned.
 */
export async function withPublisher<Result>(
  flags: Flags,
  use: (publisher: Publisher) => Promise<Result>,
): Promise<Result> {
  const log = connectLog(flags);
  try {
    return await use(createPublisher(log, namedDaemon(flags)));
  } finally {
    log.dispose();
  }
}

/** Waits until a version is in force on every live daemon. */
async function waitInForce(
  version: VersionNumber,
  flags: Flags,
  output: Output,
): Promise<CommandResult> {
  const daemon = namedDaemon(flags);
  if (!daemon) throw new CommandError('found no --daemon, which --wait needs', EXIT_CODES.usage);
  const deadline = performance.now() + ms(flags.timeout as ms.StringValue);
  let shown = '';
  for (;;) {
    const statuses = await fleetStatus(await askMembers(daemon));
    const behind = statuses.filter(({ status }) => (status?.version ?? -1) < version);
    const progress = `in force on ${statuses.length - behind.length} of ${statuses.length} daemons`;
    if (progress !== shown) output.note(progress);
    shown = progress;
    if (behind.length === 0) {
      return { exitCode: EXIT_CODES.ok, value: { version, inForce: statuses.length, behind: [] } };
    }
    if (performance.now() > deadline) {
      const names = behind.map(
        ({ member, status }) => `${member.id} (${status?.version ?? 'no answer'})`,
      );
      output.note(`not yet in force on: ${names.join(', ')}`);
      return { exitCode: EXIT_CODES.unavailable, value: { version, behind: names } };
    }
    await sleep(POLL_MS);
  }
}

async function append(
  path: string,
  folder: Folder,
  flags: Flags,
  output: Output,
): Promise<VersionNumber> {
  return withPublisher(flags, async (publisher) => {
    const head = await publisher.readHead();
    const base = await statedBase(path, flags);
    if (head && folderChanges(head.folder, folder).length === 0) {
      output.print(`version ${head.version} is this folder already`);
      await writeBase(path, head.version);
      return head.version;
    }
    requireCurrentBase(base, folder, head);
    output.note(`publishes on version ${versionText(head)}`);
    const verdict = await publisher.publish(folder, head);
    if (verdict.kind === 'refused') {
      throw new CommandError(
        `refused: ${describeRefusal(verdict.refusal, folder, publisher.head)}`,
      );
    }
    await writeBase(path, verdict.head.version);
    output.print(`accepted as version ${verdict.head.version}`);
    return verdict.head.version;
  });
}

/** Puts a folder in force. */
export const publish: Command = {
  name: 'publish',
  usage: 'FOLDER',
  summary: 'check, append to the log and wait for the verdict; --wait until in force everywhere',
  argumentCount: 1,
  async run([path], flags, output) {
    const folder = await readFolder(path!);
    mergeOrThrow(folder);
    const version = await append(path!, folder, flags, output);
    if (flags.wait) return waitInForce(version, flags, output);
    return { exitCode: EXIT_CODES.ok, value: { version } };
  },
};
