import { isDeepStrictEqual } from 'node:util';
import type { Configuration } from './Types';

/** How an entry of a configuration differs from the same entry of another one. */
export interface EntryDifference {
  /** Name of the entry, such as `route.stock`, `limits` or `defaults.retry_budget`. */
  readonly entry: string;
  readonly change: 'added' | 'changed' | 'removed';
  /** Names of the values that differ, for an entry that changed. */
  readonly values: readonly string[];
}

/** Lists the entries of a configuration by name. */
function entriesOf(configuration: Configuration): Map<string, object> {
  const { services, routes, organisations, rollouts, limits, retryBudget, keysRequired } =
    configuration;
  const entries = new Map<string, object>([['defaults.retry_budget', { retryBudget }]]);
  for (const [name, service] of services) entries.set(`service.${name}`, service);
  for (const [name, route] of routes) entries.set(`route.${name}`, route);
  for (const [name, organisation] of organisations) {
    entries.set(`organisation.${name}`, organisation);
  }
  for (const [service, rollout] of rollouts) entries.set(`rollout.${service}`, rollout);
  if (limits) entries.set('limits', limits);
  if (keysRequired) entries.set('access', { keys: 'required' });
  return entries;
}

function differingValues(before: object, after: object): string[] {
  const valueOf = (entry: object, name: string) => (entry as Record<string, unknown>)[name];
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names].filter(
    (name) => !isDeepStrictEqual(valueOf(before, name), valueOf(after, name)),
  );
}

/**
 * Compares configurations by what is in force, regardless of files, comments and the order of keys.
 *
 * @param before - The configuration to compare with; `undefined` if there is none.
 * @param after - The configuration to compare.
 * @returns The entries that differ, by name.
 */
export default function findDifferences(
  before: Configuration | undefined,
  after: Configuration,
): EntryDifference[] {
  const old = before ? entriesOf(before) : new Map<string, object>();
  const current = entriesOf(after);
  const names = [...new Set([...old.keys(), ...current.keys()])].sort();
  return names.flatMap((entry): EntryDifference[] => {
    const oldEntry = old.get(entry);
    const newEntry = current.get(entry);
    if (!oldEntry) return [{ entry, change: 'added', values: [] }];
    if (!newEntry) return [{ entry, change: 'removed', values: [] }];
    const values = differingValues(oldEntry, newEntry);
    return values.length > 0 ? [{ entry, change: 'changed', values }] : [];
  });
}
