import ms from 'ms';
import sleep from '../common/sleep';
import type { Address, VersionNumber } from '../common/Types';
import type HttpLog from '../connection/HttpLog';
import { formatIssue } from '../version/validationIssues';
import { folderChanges } from '../version/folder';
import type { Folder, Head, PublicationRefusal } from '../version/Types';
import CommandError from './CommandError';
import { connectLog, controlAddress } from './connectLog';
import { fetchHead, fetchMembers } from './daemonClient';
import { fleetStatus } from './fleetStatus';
import { mergeOrThrow, parseBase, readBase, readFolder, writeBase } from './folderFiles';
import Publisher, { formatVersion } from './Publisher';
import { EXIT_CODES, type Command, type CommandResult, type Flags, type Output } from './Types';

const STATUS_POLL_MS = 250;

/** Returns the version that the folder is based on, from `--base` or else from the folder. */
async function baseOf(path: string, flags: Flags): Promise<VersionNumber | null | undefined> {
  return flags.base === undefined ? readBase(path) : parseBase(flags.base, '--base');
}

function describeRefusal(
  refusal: PublicationRefusal,
  folder: Folder,
  head: Head | undefined,
): string {
  if (refusal.kind === 'invalid') return refusal.issues.map(formatIssue).join('\n');
  if (refusal.kind === 'digest') return 'the digest of the publication does not match its changes';
  if (!head) return 'nothing was ever published; expected the base "none"';
  const files = folderChanges(head.folder, folder).map(({ name }) => name);
  return (
    `someone else published version ${formatVersion(head)} first; ` +
    `these files differ from it: ${files.join(', ') || 'none'}. Pull into another folder, merge, publish again`
  );
}

/** Throws unless the folder is based on the version in force, so that no version is overwritten. */
function requireCurrentBase(
  base: VersionNumber | null | undefined,
  folder: Folder,
  head: Head | undefined,
): void {
  const current = head?.version ?? null;
  if (base === undefined && head) {
    throw new CommandError(
      `the folder has no base version; version ${current} is in force. ` +
        'Start from a pull, or name the version with --base',
    );
  }
  if (base === undefined || base === current) return;
  throw new CommandError(describeRefusal({ kind: 'base', head: current }, folder, head));
}

function createPublisher(log: HttpLog, daemon: Address | undefined): Publisher {
  return new Publisher(log, async () => {
    if (!daemon) return undefined;
    const { head, through } = await fetchHead(daemon);
    return head ? { head, through } : undefined;
  });
}

/**
 * Runs a function with a publisher, and closes the connections to the log afterwards.
 *
 * @param flags - Flags that name the log and, optionally, a daemon.
 * @param use - Function to run with the publisher.
 * @returns The result of `use`.
 */
export async function withPublisher<Result>(
  flags: Flags,
  use: (publisher: Publisher) => Promise<Result>,
): Promise<Result> {
  const log = connectLog(flags);
  try {
    return await use(createPublisher(log, controlAddress(flags)));
  } finally {
    log.dispose();
  }
}

/** Waits until a version is in force on all live daemons, at most for the time of `--timeout`. */
async function waitInForce(
  version: VersionNumber,
  flags: Flags,
  output: Output,
): Promise<CommandResult> {
  const daemon = controlAddress(flags);
  if (!daemon) throw new CommandError('found no --daemon, which --wait needs', EXIT_CODES.usage);
  const deadline = performance.now() + ms(flags.timeout as ms.StringValue);
  let lastProgress = '';
  for (;;) {
    const statuses = await fleetStatus(await fetchMembers(daemon));
    const behind = statuses.filter(({ status }) => (status?.version ?? -1) < version);
    const progress = `in force on ${statuses.length - behind.length} of ${statuses.length} daemons`;
    if (progress !== lastProgress) output.printNotice(progress);
    lastProgress = progress;
    if (behind.length === 0) {
      return { exitCode: EXIT_CODES.ok, value: { version, inForce: statuses.length, behind: [] } };
    }
    if (performance.now() > deadline) {
      const names = behind.map(
        ({ member, status }) => `${member.id} (${status?.version ?? 'no answer'})`,
      );
      output.printNotice(`not yet in force on: ${names.join(', ')}`);
      return { exitCode: EXIT_CODES.unavailable, value: { version, behind: names } };
    }
    await sleep(STATUS_POLL_MS);
  }
}

async function publishFolder(
  path: string,
  folder: Folder,
  flags: Flags,
  output: Output,
): Promise<VersionNumber> {
  return withPublisher(flags, async (publisher) => {
    const head = await publisher.readHead();
    const base = await baseOf(path, flags);
    if (head && folderChanges(head.folder, folder).length === 0) {
      output.print(`version ${head.version} is this folder already`);
      await writeBase(path, head.version);
      return head.version;
    }
    requireCurrentBase(base, folder, head);
    output.printNotice(`publishing on top of version ${formatVersion(head)}`);
    const outcome = await publisher.publish(folder, head);
    if (outcome.kind === 'refused') {
      throw new CommandError(
        `refused: ${describeRefusal(outcome.refusal, folder, publisher.head)}`,
      );
    }
    await writeBase(path, outcome.head.version);
    output.print(`accepted as version ${outcome.head.version}`);
    return outcome.head.version;
  });
}

/** Publishes a local configuration folder as a new version. */
export const publish: Command = {
  name: 'publish',
  usage: 'FOLDER',
  summary: 'check, append to the log and wait for the verdict; --wait until in force everywhere',
  argumentCount: 1,
  async run([path], flags, output) {
    const folder = await readFolder(path!);
    mergeOrThrow(folder);
    const version = await publishFolder(path!, folder, flags, output);
    if (flags.wait) return waitInForce(version, flags, output);
    return { exitCode: EXIT_CODES.ok, value: { version } };
  },
};
