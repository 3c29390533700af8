import type { Configuration } from '../version/Types';
import { mergeOrThrow, readFolder } from './folderFiles';
import { EXIT_CODES, type Command } from './Types';

function toJson(configuration: Configuration) {
  return {
    services: [...configuration.services.values()],
    routes: [...configuration.routes.values()],
    organisations: [...configuration.organisations.values()],
    rollouts: [...configuration.rollouts.values()],
    retryBudget: configuration.retryBudget,
    provenance: configuration.provenance,
  };
}

/** Prints the configuration that results from merging the files of a local folder. */
const merge: Command = {
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
    for (const organisation of configuration.organisations.values()) {
      values.set(`organisation.${organisation.name}`, organisation);
    }
    for (const rollout of configuration.rollouts.values()) {
      values.set(`rollout.${rollout.service}`, rollout);
    }
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

export default merge;
