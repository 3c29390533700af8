/**
 * Finds entries of a valid configuration that can't have the effect that their author meant.
 *
 * @packageDocumentation
 */
import { parseDocument } from './parsedDocuments';
import PortAwareHosts from './PortAwareHosts';
import { formatValue, locateLine } from './validationIssues';
import type { Configuration, Folder, Organisation, Route, Service, ValidationIssue } from './Types';

/** A service that gets less than this share of a split is practically left out of it. */
const MIN_SPLIT_SHARE = 0.0001;

const HOSTS = new PortAwareHosts();

/** Creates the warning for a key of an entry, with the file and the line that set it. */
type Warn = (entry: string, key: string, found: string, expected: string) => ValidationIssue;

function createWarn(folder: Folder, { provenance }: Configuration): Warn {
  const files = new Map(folder.map((file) => [file.name, file]));
  const sources = new Map(provenance.map(({ key, file }) => [key, files.get(file)]));
  return (entry, key, found, expected) => {
    const file = sources.get(entry);
    return {
      file: file?.name,
      line: file && locateLine(file.content, entry, key),
      key: `${entry}.${key}`,
      found,
      expected,
    };
  };
}

function* serviceWarnings({ name, slots, connections }: Service, warn: Warn) {
  if (slots <= connections) return;
  yield warn(
    `service.${name}`,
    'slots',
    `${slots} slots`,
    `at most as many as connections (${connections}): each running call takes one`,
  );
}

function* splitWarnings({ name, targets }: Route, warn: Warn) {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  for (const { service, weight } of targets) {
    if (weight / total < MIN_SPLIT_SHARE) {
      yield warn(
        `route.${name}`,
        'split',
        `weight ${weight} of ${total} for ${service}`,
        `at least ${MIN_SPLIT_SHARE} of the sum: fewer calls than one in 10,000 go there`,
      );
    }
  }
}

function* limitWarnings(route: Route, { retryBudget }: Configuration, warn: Warn) {
  const entry = `route.${route.name}`;
  if (route.closed !== undefined) {
    yield warn(entry, 'closed', formatValue(route.closed), 'nothing: its calls are refused');
  }
  if (route.objectiveMs > route.timeoutMs) {
    yield warn(
      entry,
      'objective',
      `${route.objectiveMs}ms`,
      `at most the timeout (${route.timeoutMs}ms): a call ends before it can miss the objective`,
    );
  }
  if (route.retries > 0 && retryBudget === 0) {
    yield warn(
      entry,
      'retries',
      String(route.retries),
      '0: defaults.retry_budget is 0, so that only calls that reached no upstream are sent again',
    );
  }
  if (route.hedge && route.idempotent === false) {
    yield warn(entry, 'hedge', 'true', 'false: only idempotent calls are hedged');
  }
  if (route.hedge && retryBudget === 0) {
    yield warn(entry, 'hedge', 'true', 'false: defaults.retry_budget is 0');
  }
}

/** Two routes whose hosts differ in their spelling only, such as `a:` and `a`, match the same calls. */
function* shadowWarnings(routes: Iterable<Route>, warn: Warn) {
  const routesByMatch = new Map<string, Route>();
  for (const route of routes) {
    for (const method of route.methods) {
      const host = route.host === undefined ? '' : HOSTS.routeKey(route.host);
      const match = `${method} ${host}${route.path}`;
      const first = routesByMatch.get(match) ?? route;
      routesByMatch.set(match, first);
      if (first !== route) {
        yield warn(
          `route.${route.name}`,
          'host',
          formatValue(route.host),
          `another host or path than route.${first.name}, which gets all ${method} calls`,
        );
        break;
      }
    }
  }
}

function* organisationWarnings(organisation: Organisation, burst: number, warn: Warn) {
  const { name, keys, quota, closed } = organisation;
  const entry = `organisation.${name}`;
  if (closed !== undefined) {
    yield warn(entry, 'closed', formatValue(closed), 'nothing: calls with its keys are refused');
  }
  if (keys.length === 0) {
    yield warn(entry, 'keys', 'no key', 'at least one: without it nobody can call for it');
  }
  if (!quota && burst > 0) {
    yield warn(
      entry,
      'burst',
      `${burst}, without a rate`,
      'a rate above 0: without it there is no limit',
    );
  }
}

function* unusedWarnings({ services, routes, keysRequired, rollouts }: Configuration, warn: Warn) {
  const targets = new Set(
    [...routes.values()].flatMap((route) => route.targets.map((target) => target.service)),
  );
  for (const name of services.keys()) {
    if (!targets.has(name)) {
      yield warn(`service.${name}`, 'slots', 'no route to it', 'a route, or no such service');
    }
  }
  for (const { service } of rollouts.values()) {
    if (!targets.has(service)) {
      yield warn(
        `rollout.${service}`,
        'version',
        'no route to the service',
        'a service that gets calls',
      );
    }
  }
  if (keysRequired) return;
  for (const { name, isPublic } of routes.values()) {
    if (isPublic) {
      yield warn(
        `route.${name}`,
        'public',
        'true',
        'an organisation: without any no call needs a key',
      );
    }
  }
}

/** Reads the burst of an organisation as written: the merged table has none without a rate. */
function writtenBurst(folder: Folder, { provenance }: Configuration, name: string): number {
  const source = provenance.find(({ key }) => key === `organisation.${name}`);
  const file = folder.find((candidate) => candidate.name === source?.file);
  if (!file) return 0;
  const { organisation } = parseDocument(file) as {
    organisation?: Readonly<Record<string, { readonly burst?: number }>>;
  };
  return organisation?.[name]?.burst ?? 0;
}

/**
 * @param folder - Files in name order.
 * @param configuration - The valid configuration that they are merged to.
 * @returns Entries that can't have any effect, and limits that contradict each other.
 */
export default function findWarnings(
  folder: Folder,
  configuration: Configuration,
): ValidationIssue[] {
  const warn = createWarn(folder, configuration);
  const { services, routes, organisations } = configuration;
  return [
    ...[...services.values()].flatMap((service) => [...serviceWarnings(service, warn)]),
    ...[...routes.values()].flatMap((route) => [
      ...limitWarnings(route, configuration, warn),
      ...splitWarnings(route, warn),
    ]),
    ...shadowWarnings(routes.values(), warn),
    ...[...organisations.values()].flatMap((organisation) => [
      ...organisationWarnings(
        organisation,
        writtenBurst(folder, configuration, organisation.name),
        warn,
      ),
    ]),
    ...unusedWarnings(configuration, warn),
  ];
}
