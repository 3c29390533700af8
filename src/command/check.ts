import findDifferences, { type EntryDifference } from '../version/configurationDifferences';
import findWarnings from '../version/configurationWarnings';
import mergeFolder from '../version/mergeFolder';
import mergePublication from '../version/mergePublication';
import type { Configuration, Folder, Head } from '../version/Types';
import { formatIssue } from '../version/validationIssues';
import CommandError from './CommandError';
import { controlAddress } from './connectLog';
import { fetchHead } from './daemonClient';
import { readFolder } from './folderFiles';
import { withPublisher } from './publish';
import { EXIT_CODES, type Command, type CommandResult, type Flags, type Output } from './Types';

/** Reads the version in force from a daemon or else from the log; `undefined` without such a flag. */
async function readHead(flags: Flags): Promise<{ readonly head: Head | null } | undefined> {
  const daemon = controlAddress(flags);
  if (daemon) return { head: (await fetchHead(daemon)).head };
  if (!flags.log) return undefined;
  return { head: (await withPublisher(flags, (publisher) => publisher.readHead())) ?? null };
}

function mergeHead({ folder, version }: Head): Configuration {
  const result = mergeFolder(folder);
  if (result.kind === 'valid') return result.configuration;
  throw new CommandError(
    `version ${version} can't be compared, as this release finds it invalid: ${formatIssue(result.issues[0]!)}`,
  );
}

function formatDifference({ entry, change, values }: EntryDifference): string {
  return `${change.padEnd(8)}${entry}${values.length > 0 ? `: ${values.join(', ')}` : ''}`;
}

/** Prints what differs from the version in force, if there is one to compare with. */
async function compare(configuration: Configuration, flags: Flags, output: Output) {
  const inForce = await readHead(flags);
  if (!inForce) return undefined;
  const { head } = inForce;
  const differences = findDifferences(head ? mergeHead(head) : undefined, configuration);
  for (const difference of differences) output.print(formatDifference(difference));
  output.printNotice(
    `${differences.length} entries differ from version ${head?.version ?? 'none'}`,
  );
  return { version: head?.version ?? null, differences };
}

async function checkFolder(folder: Folder, flags: Flags, output: Output): Promise<CommandResult> {
  const result = mergePublication(folder);
  if (result.kind === 'invalid') {
    const { issues: errors } = result;
    for (const issue of errors) output.printNotice(`azurestream check: ${formatIssue(issue)}`);
    return { exitCode: EXIT_CODES.refused, value: { valid: false, errors } };
  }
  const { configuration } = result;
  const { services, routes } = configuration;
  const warnings = findWarnings(folder, configuration);
  output.print(`valid: ${folder.length} files, ${services.size} services, ${routes.size} routes`);
  for (const issue of warnings) output.print(`warning: ${formatIssue(issue)}`);
  const value = {
    valid: true,
    files: folder.length,
    services: services.size,
    routes: routes.size,
    warnings,
    inForce: await compare(configuration, flags, output),
  };
  return { exitCode: EXIT_CODES.ok, value };
}

/** Validates a local configuration folder, and compares it with the version in force. */
const check: Command = {
  name: 'check',
  usage: 'FOLDER',
  summary: 'print every fault and doubtful entry; with --daemon or --log, what differs in force',
  argumentCount: 1,
  async run([path], flags, output) {
    return checkFolder(await readFolder(path!), flags, output);
  },
};

export default check;
