/**
 * Commands that need only a local configuration folder.
 *
 * @packageDocumentation
 */
import type { Configuration } from '../version/Types';
import { mergeOrThrow, readFolder } from './folderFiles';
import { EXIT_CODES, type Command } from './Types';

function toJson(configuration: Configuration) {
  return {
    services: [...configuration.services.values()],
    routes: [...configuration.routes.values()],
    retryBudget: configuration.retryBudget,
    provenance: configuration.provenance,
  };
}

/** Validates a local configuration folder. */
export const check: Command = {
  name: 'check',
  usage: 'FOLDER',
  summary: 'merge and validate a folder; print every fault',
  argumentCount: 1,
  async run([path], _flags, output) {
    const folder = await readFolder(path!);
    const { services, routes } = mergeOrThrow(folder);
    output.print(`valid: ${folder.length} files, ${services.size} services, ${routes.size} routes`);
    const value = {
      valid: true,
      files: folder.length,
      services: services.size,
      routes: routes.size,
    };
    return { exitCode: EXIT_CODES.ok, value };
  },
};

/** Prints the configuration that results from merging the files of a local folder. */
export const merge: Command = {
  name: 'merge',
  usage: 'FOLDER',
  summary: 'print the merged configuration, each value with the file it comes from',
  argumentCount: 1,
  async run([path], _flags, output) {
    const configuration = mergeOrThrow(await readFolder(path!));
    const values = new Map<string, object>();
    for (const service of configuration.services.values()) {
      values.set(`service.${service.name}`, service);
    }
    for (const route of configuration.routes.values()) values.set(`route.${route.name}`, route);
    for (const { key, file, overrode } of configuration.provenance) {
      const overridden = overrode.length > 0 ? `, overrides ${overrode.join(', ')}` : '';
      output.print(`[${key}]  # ${file}${overridden}`);
      for (const [name, value] of Object.entries(values.get(key) ?? {})) {
        if (name !== 'name' && value !== undefined) {
          output.print(`  ${name} = ${JSON.stringify(value)}`);
        }
      }
    }
    return { exitCode: EXIT_CODES.ok, value: toJson(configuration) };
  },
};
