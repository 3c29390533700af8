/**
 * Commands that read the configuration in force from the log or from daemons.
 *
 * @packageDocumentation
 */
import type { Address } from '../common/Types';
import { folderChanges } from '../version/folder';
import CommandError from './CommandError';
import { controlAddress } from './connectLog';
import { fetchDump, fetchExplanation, fetchMembers } from './daemonClient';
import { fleetStatus, type MemberStatus } from './fleetStatus';
import { readFolder, writeBase, writeFolder } from './folderFiles';
import { formatVersion } from './Publisher';
import { withPublisher } from './publish';
import { EXIT_CODES, type Command } from './Types';

function changeKind(exists: boolean): 'changed' | 'added' {
  return exists ? 'changed' : 'added';
}

/** Compares a local configuration folder with the version in force. */
export const diff: Command = {
  name: 'diff',
  usage: 'FOLDER',
  summary: 'compare a folder with the one in force',
  argumentCount: 1,
  async run([path], flags, output) {
    const folder = await readFolder(path!);
    const head = await withPublisher(flags, (publisher) => publisher.readHead());
    const headFiles = new Set(head?.folder.map(({ name }) => name));
    const changes = folderChanges(head?.folder ?? [], folder).map(({ name, content }) => ({
      name,
      change: content === null ? 'removed' : changeKind(headFiles.has(name)),
    }));
    for (const { name, change } of changes) output.print(`${change.padEnd(8)}${name}`);
    output.printNotice(`${changes.length} files differ from version ${formatVersion(head)}`);
    return { exitCode: EXIT_CODES.ok, value: { version: head?.version ?? null, changes } };
  },
};

/** Replaces a local configuration folder by the version in force. */
export const pull: Command = {
  name: 'pull',
  usage: 'FOLDER',
  summary: 'make a folder equal to the one in force; other .toml files in it are removed',
  argumentCount: 1,
  async run([path], flags, output) {
    const head = await withPublisher(flags, (publisher) => publisher.readHead());
    if (!head) throw new CommandError('nothing was ever published');
    await writeFolder(path!, head.folder);
    await writeBase(path!, head.version);
    output.print(`wrote version ${head.version}: ${head.folder.length} files`);
    return { exitCode: EXIT_CODES.ok, value: { version: head.version, files: head.folder.length } };
  },
};

function statusLine({ member, status }: MemberStatus, newest: number): string {
  if (!status) return `${member.id}  ${member.zone}  no answer (${member.health})`;
  const state = (status.version ?? -1) < newest ? `behind version ${newest}` : 'current';
  // Older releases report no proof.
  const proof = status.proofAgeMs == null ? [] : [`proof ${status.proofAgeMs} ms old`];
  const notes = [state, ...proof, ...status.problems].join('; ');
  return `${member.id}  ${member.zone}  version ${status.version ?? 'none'}  ${status.digest?.slice(0, 12) ?? '-'}  ${notes}`;
}

/** Shows which configuration version each live daemon has in force. */
export const status: Command = {
  name: 'status',
  usage: '',
  summary: 'version and digest of each live daemon, which lag, and why',
  argumentCount: 0,
  async run(_args, flags, output) {
    const daemon = controlAddress(flags);
    if (!daemon) throw new CommandError('found neither --daemon nor --settings', EXIT_CODES.usage);
    const statuses = await fleetStatus(await fetchMembers(daemon));
    const newest = Math.max(...statuses.map((entry) => entry.status?.version ?? -1));
    for (const entry of statuses) output.print(statusLine(entry, newest));
    const lagging = statuses.filter((entry) => (entry.status?.version ?? -1) < newest);
    const value = { newest, lagging: lagging.length, daemons: statuses };
    return { exitCode: lagging.length > 0 ? EXIT_CODES.unavailable : EXIT_CODES.ok, value };
  },
};

/** Prints the whole state of one daemon. */
export const dump: Command = {
  name: 'dump',
  usage: 'ADDRESS',
  summary: 'the whole state of one daemon, as JSON',
  argumentCount: 1,
  async run([address], flags, output) {
    const value = await fetchDump(address as Address);
    if (!flags.json) output.print(JSON.stringify(value, undefined, 2));
    return { exitCode: EXIT_CODES.ok, value };
  },
};

/** Shows how a daemon would route a call. */
export const explain: Command = {
  name: 'explain',
  usage: 'ADDRESS METHOD PATH',
  summary: 'which route matches a call, from which file, which upstreams, which limits',
  argumentCount: 3,
  async run([address, method, path], _flags, output) {
    const value = await fetchExplanation(address as Address, method!.toUpperCase(), path!);
    const { route, service, files, idempotent, upstreams, refusal } = value;
    output.print(`${value.method} ${value.path} on version ${value.version ?? 'none'}`);
    if (route) {
      output.print(
        `route ${route.name}: ${route.methods.join(' ')} ${route.path}, ${route.timeoutMs} ms`,
      );
    }
    if (service) {
      output.print(
        `service ${service.name}: ${service.slots} slots, ${service.connections} connections`,
      );
    }
    for (const { key, file, overrode } of files) {
      output.print(
        `${key} from ${file}${overrode.length > 0 ? `, overrides ${overrode.join(', ')}` : ''}`,
      );
    }
    if (route) {
      output.print(
        `idempotent: ${idempotent ? 'yes' : 'no'}; upstreams that serve: ${upstreams.length}`,
      );
    }
    output.print(refusal === null ? 'would be sent' : `would be refused as not run: ${refusal}`);
    return { exitCode: refusal === null ? EXIT_CODES.ok : EXIT_CODES.refused, value };
  },
};
