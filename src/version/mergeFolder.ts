/**
 * Merging and validation of configuration folders.
 *
 * @packageDocumentation
 */
import { isDeepStrictEqual } from 'node:util';
import { TomlError } from 'smol-toml';
import type * as z from 'zod';
import inSteps from '../common/inSteps';
import runAtOnce from '../common/runAtOnce';
import type {
  FileName,
  KeyDigest,
  OrganisationName,
  RouteName,
  ServiceName,
  SoftwareVersion,
  Steps,
} from '../common/Types';
import {
  accessSchema,
  closedRouteSchema,
  DEFAULTS,
  defaultsSchema,
  limitsSchema,
  MAX_REASON_LENGTH,
  METHODS,
  NAME,
  nameSchema,
  organisationSchema,
  rolloutSchema,
  routeSchema,
  PRINTABLE_NAME,
  printableNameSchema,
  serviceSchema,
} from './configurationSchema';
import { parseDocument } from './parsedDocuments';
import parseRoute from './parseRoute';
import PortAwareHosts from './PortAwareHosts';
import { formatValue, locateLine, schemaIssues } from './validationIssues';
import type {
  CallerLimits,
  ValidationIssue,
  Folder,
  FolderFile,
  MergeResult,
  Organisation,
  Provenance,
  Rollout,
  Route,
  Service,
  WeightedService,
} from './Types';

/** A merged entry: its value, the file that set it, and the earlier files that it overrides. */
interface MergedEntry {
  readonly value: unknown;
  readonly file: FolderFile;
  readonly overrode: readonly FileName[];
}

/** The merged entries of one kind of table, by name; those of `[defaults]` by key. */
type Section = Map<string, MergedEntry>;

interface Sections {
  readonly service: Section;
  readonly route: Section;
  readonly organisation: Section;
  readonly rollout: Section;
  readonly defaults: Section;
  readonly limits: Section;
  readonly access: Section;
}

/** What becomes of invalid entries: the folder is refused, or they are closed. */
type InvalidEntries = 'refuse' | 'close';

/** The entries of one kind: those that are valid, and an issue of each of the others. */
interface ParsedEntries<Parsed> {
  readonly valid: Map<string, Parsed>;
  readonly invalid: Map<string, ValidationIssue>;
}

/** A fault that shows when a route is compared with other entries. */
interface RouteFault {
  readonly issue: ValidationIssue;
  /** The routes whose calls can't be told apart or served. */
  readonly routes: readonly Route[];
}

/** Schema of routes; closed ones need no path. */
type RouteSchema = typeof routeSchema | typeof closedRouteSchema;

/** Validates a table against a schema. */
type TableParser<Schema extends z.ZodType> = (
  value: unknown,
) => z.ZodSafeParseResult<z.output<Schema>>;

const SECTION_NAMES = [
  'service',
  'route',
  'organisation',
  'rollout',
  'defaults',
  'limits',
  'access',
] as const;

/** Sections that are one table, without names. */
const UNNAMED_SECTIONS = ['limits', 'access'] as const;

/** Form of the names of each kind of entry. */
const NAMES = {
  service: { pattern: PRINTABLE_NAME, schema: printableNameSchema },
  route: { pattern: NAME, schema: nameSchema },
  organisation: { pattern: PRINTABLE_NAME, schema: printableNameSchema },
  rollout: { pattern: PRINTABLE_NAME, schema: printableNameSchema },
} as const;

const HOSTS = new PortAwareHosts();

function isUnnamed(section: keyof Sections): section is (typeof UNNAMED_SECTIONS)[number] {
  return UNNAMED_SECTIONS.some((name) => name === section);
}

function isTable(value: unknown): value is Record<string, unknown> {
  return value !== null && typeof value === 'object' && !Array.isArray(value);
}

function tomlIssue(file: FolderFile, error: TomlError): ValidationIssue {
  return {
    file: file.name,
    line: error.line,
    key: undefined,
    found: formatValue(file.content.split('\n')[error.line - 1]?.trim()),
    expected: `TOML (${error.message.split('\n')[0]!.replace('Invalid TOML document: ', '')})`,
  };
}

function unknownSectionIssue(file: FolderFile, key: string): ValidationIssue {
  return {
    file: file.name,
    line: locateLine(file.content, key),
    key,
    found: 'an unknown key',
    expected:
      'a table [service.NAME], [route.NAME], [organisation.NAME], [rollout.SERVICE], [defaults], [limits] or [access]',
  };
}

function addEntry(section: Section, name: string, value: unknown, file: FolderFile): void {
  const earlier = section.get(name);
  const overrode = earlier ? [...earlier.overrode, earlier.file.name] : [];
  section.set(name, { value, file, overrode });
}

/** Cache of validation results, by schema and table. */
const validationResults = new WeakMap<z.ZodType, WeakMap<object, z.ZodSafeParseResult<unknown>>>();

function validate<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
  parseTable: TableParser<Schema>,
): z.ZodSafeParseResult<z.output<Schema>> {
  if (!isTable(value)) return schema.safeParse(value);
  const results =
    validationResults.get(schema) ?? new WeakMap<object, z.ZodSafeParseResult<unknown>>();
  validationResults.set(schema, results);
  const result = results.get(value) ?? parseTable(value);
  results.set(value, result);
  return result as z.ZodSafeParseResult<z.output<Schema>>;
}

function collectEntries(file: FolderFile, sections: Sections): ValidationIssue[] {
  let document: Record<string, unknown>;
  try {
    document = parseDocument(file);
  } catch (error) {
    if (error instanceof TomlError) return [tomlIssue(file, error)];
    throw error;
  }
  const issues: ValidationIssue[] = [];
  for (const [key, table] of Object.entries(document)) {
    const sectionName = SECTION_NAMES.find((name) => name === key);
    if (!sectionName || !isTable(table)) {
      issues.push(unknownSectionIssue(file, key));
      continue;
    }
    if (isUnnamed(sectionName)) addEntry(sections[sectionName], sectionName, table, file);
    else {
      for (const [name, value] of Object.entries(table)) {
        addEntry(sections[sectionName], name, value, file);
      }
    }
  }
  return issues;
}

/** Leaves out what was found in place of a digest: it may be a key in clear text. */
function withoutKey(issue: ValidationIssue): ValidationIssue {
  const isKey = /^organisation\..*\.keys(\.\d+)?$/.test(issue.key ?? '');
  return isKey ? { ...issue, found: 'something else, which is not shown' } : issue;
}

function* parseEntries<Schema extends z.ZodType>(
  kind: 'service' | 'route' | 'organisation' | 'rollout',
  section: Section,
  schema: Schema,
  issues: ValidationIssue[],
  parseTable: TableParser<Schema> = (value) => schema.safeParse(value),
): Steps<ParsedEntries<z.output<Schema>>> {
  const valid = new Map<string, z.output<Schema>>();
  const invalid = new Map<string, ValidationIssue>();
  const { pattern, schema: namesSchema } = NAMES[kind];
  yield* inSteps(section, ([name, { value, file }]) => {
    const table = `${kind}.${name}`;
    const source = { file: file.name, content: file.content, table };
    // The pattern alone takes a tenth of the schema's time, which counts for thousands of routes.
    const nameIssues = pattern.test(name)
      ? []
      : schemaIssues(namesSchema.safeParse(name).error!, name, source);
    const result = validate(schema, value, parseTable);
    const found = result.success
      ? nameIssues
      : [...nameIssues, ...schemaIssues(result.error, value, source).map(withoutKey)];
    if (found.length > 0) {
      issues.push(...found);
      invalid.set(name, found[0]!);
    } else valid.set(name, result.data!);
  });
  return { valid, invalid };
}

function parseDefaults(section: Section, issues: ValidationIssue[]): typeof DEFAULTS {
  const merged: Record<string, unknown> = { ...DEFAULTS };
  for (const [key, { value, file }] of section) {
    const result = defaultsSchema.safeParse({ [key]: value });
    const source = { file: file.name, content: file.content, table: 'defaults' };
    if (result.success) Object.assign(merged, result.data);
    else issues.push(...schemaIssues(result.error, { [key]: value }, source));
  }
  return merged as typeof DEFAULTS;
}

function parseLimits(section: Section, issues: ValidationIssue[]): CallerLimits | undefined {
  const entry = section.get('limits');
  if (!entry) return undefined;
  const { file, value } = entry;
  const result = limitsSchema.safeParse(value);
  if (result.success) {
    return {
      maxHeaderBytes: result.data.max_header_bytes,
      maxBodyBytes: result.data.max_body_bytes,
      headerTimeoutMs: result.data.header_timeout,
      idleTimeoutMs: result.data.idle_timeout,
    };
  }
  const source = { file: file.name, content: file.content, table: 'limits' };
  issues.push(...schemaIssues(result.error, value, source));
  return undefined;
}

/** Whether an `[access]` table requires keys; an invalid one does. */
function parseAccess(section: Section, issues: ValidationIssue[]): boolean {
  const entry = section.get('access');
  if (!entry) return false;
  const { file, value } = entry;
  const result = accessSchema.safeParse(value);
  const source = { file: file.name, content: file.content, table: 'access' };
  if (!result.success) issues.push(...schemaIssues(result.error, value, source));
  return true;
}

function buildService(name: string, parsed: z.output<typeof serviceSchema>): Service {
  return {
    name: name as ServiceName,
    slots: parsed.slots,
    connections: parsed.connections,
    queue: parsed.queue ?? parsed.slots,
    warmUpMs: parsed.warm_up,
    health: parsed.health,
  };
}

function targetsOf({
  service,
  split,
}: Pick<z.output<RouteSchema>, 'service' | 'split'>): WeightedService[] {
  if (service !== undefined) return [{ service: service as ServiceName, weight: 1 }];
  return Object.entries(split ?? {}).map(([name, weight]) => ({
    service: name as ServiceName,
    weight,
  }));
}

function buildRoute(name: string, parsed: z.output<RouteSchema>, defaults: typeof DEFAULTS): Route {
  const timeoutMs = parsed.timeout ?? defaults.timeout;
  return {
    name: name as RouteName,
    host: parsed.host,
    targets: targetsOf(parsed),
    path: parsed.path ?? '',
    methods: parsed.methods ?? METHODS,
    timeoutMs,
    objectiveMs: parsed.objective ?? timeoutMs,
    idempotent: parsed.idempotent,
    priority: parsed.priority,
    hedge: parsed.hedge,
    retries: parsed.retries ?? defaults.retries,
    isPublic: parsed.public,
    closed: parsed.closed,
  };
}

/** Formats an issue as the reason for which an entry is closed. */
function closingReason({ key, found, expected }: ValidationIssue): string {
  return `${key}: found ${found}, expected ${expected}`.slice(0, MAX_REASON_LENGTH);
}

/** Closes what an invalid route can match: its path and its host, or all of them where one can't be told. */
function closeInvalidRoute(
  name: string,
  value: unknown,
  issue: ValidationIssue,
  defaults: typeof DEFAULTS,
): Route {
  const table = isTable(value) ? value : {};
  const host = routeSchema.shape.host.safeParse(table.host).data;
  const parsed = closedRouteSchema.parse({ host, closed: closingReason(issue) });
  const path = String(table.path);
  return { ...buildRoute(name, parsed, defaults), path: path.startsWith('/') ? path : '' };
}

/** Whether two routes treat the calls that they match in the same way. */
function isSameRoute(a: Route, b: Route): boolean {
  return isDeepStrictEqual({ ...a, name: b.name }, b);
}

function buildOrganisation(
  name: string,
  { keys, priority, rate, burst, incomplete, closed }: z.output<typeof organisationSchema>,
): Organisation {
  return {
    name: name as OrganisationName,
    keys: keys as KeyDigest[],
    priority,
    quota: rate > 0 ? { rate, burst } : undefined,
    isIncomplete: incomplete,
    closed,
  };
}

/** Closes an invalid organisation: its keys are known, but nothing may be run for them. */
function closeInvalidOrganisation(
  name: string,
  value: unknown,
  issue: ValidationIssue,
): Organisation {
  const table = isTable(value) ? value : {};
  const keys = organisationSchema.shape.keys.safeParse(table.keys);
  const parsed = organisationSchema.parse({
    keys: keys.data ?? [],
    incomplete: !keys.success || table.incomplete === true,
    closed: closingReason(issue),
  });
  return buildOrganisation(name, parsed);
}

function buildRollout(
  service: string,
  { version, duration }: z.output<typeof rolloutSchema>,
): Rollout {
  return {
    service: service as ServiceName,
    version: version as SoftwareVersion,
    durationMs: duration,
  };
}

function entryIssue(
  sections: Sections,
  kind: 'route' | 'organisation' | 'rollout',
  name: string,
  key: string,
  detail: Pick<ValidationIssue, 'found' | 'expected'>,
): ValidationIssue {
  const { file } = sections[kind].get(name)!;
  const table = `${kind}.${name}`;
  return {
    file: file.name,
    line: locateLine(file.content, table, key),
    key: `${table}.${key}`,
    ...detail,
  };
}

function routeIssue(
  sections: Sections,
  { name }: Route,
  key: string,
  detail: Pick<ValidationIssue, 'found' | 'expected'>,
): ValidationIssue {
  return entryIssue(sections, 'route', name, key, detail);
}

/** Reports keys that more than one organisation holds: a call would belong to either of them. */
function findSharedKeys(
  sections: Sections,
  organisations: readonly Organisation[],
): { readonly issues: ValidationIssue[]; readonly keys: ReadonlySet<KeyDigest> } {
  const holders = new Map<KeyDigest, OrganisationName>();
  const issues: ValidationIssue[] = [];
  const shared = new Set<KeyDigest>();
  for (const { name, keys } of organisations) {
    for (const key of keys) {
      const holder = holders.get(key) ?? name;
      holders.set(key, holder);
      if (holder !== name) {
        shared.add(key);
        issues.push(
          entryIssue(sections, 'organisation', name, 'keys', {
            found: `"${key}"`,
            expected: `a key that organisation.${holder} doesn't hold`,
          }),
        );
      }
    }
  }
  return { issues, keys: shared };
}

/** Takes keys from the organisations that share them. */
function withoutShared(
  organisations: Organisation[],
  shared: ReadonlySet<KeyDigest>,
): Organisation[] {
  if (shared.size === 0) return organisations;
  return organisations.map((organisation) => ({
    ...organisation,
    keys: organisation.keys.filter((key) => !shared.has(key)),
  }));
}

/** Reports roll-outs of services that no file declares. */
function rolloutIssues(
  sections: Sections,
  services: ReadonlyMap<ServiceName, Service>,
  rollouts: readonly Rollout[],
): ValidationIssue[] {
  return rollouts
    .filter(({ service }) => !services.has(service))
    .map(({ service }) =>
      entryIssue(sections, 'rollout', service, 'version', {
        found: `"${service}"`,
        expected: 'a service that some file declares',
      }),
    );
}

/** Reports a route without exactly one of `service` and `split`, and its undeclared services. */
function targetIssues(
  sections: Sections,
  services: ReadonlyMap<ServiceName, Service>,
  route: Route,
  closes: boolean,
): ValidationIssue[] {
  if (route.closed !== undefined) return [];
  const { service, split } = sections.route.get(route.name)!.value as Record<string, unknown>;
  const key = split === undefined ? 'service' : 'split';
  if ((service === undefined) === (split === undefined)) {
    const found = service === undefined ? 'nothing' : 'a service and a split';
    return [routeIssue(sections, route, key, { found, expected: 'either a service or a split' })];
  }
  // The schema of records passes over a key `__proto__`, which the releases before accept in a folder.
  const names =
    closes && split !== undefined
      ? Object.keys(split as object)
      : route.targets.map((target) => target.service);
  return names
    .filter((name) => !services.has(name as ServiceName))
    .map((name) =>
      routeIssue(sections, route, key, {
        found: `"${name}"`,
        expected: 'a service that some file declares',
      }),
    );
}

/**
 * Finds invalid targets of routes, and routes that match the same host, path and method. Where faults close
 * routes, those that treat their calls the same way may match the same ones.
 */
function* findRouteFaults(
  sections: Sections,
  services: ReadonlyMap<ServiceName, Service>,
  routes: readonly Route[],
  closes: boolean,
): Steps<RouteFault[]> {
  const faults: RouteFault[] = [];
  const faulty = new Set<Route>();
  const routesByPath = new Map<string, Route[]>();
  // The releases that wrote schema 3 and below accept a folder whose routes differ in the spelling of the host.
  const hostKey = (host: string) => (closes ? HOSTS.routeKey(host) : host);
  yield* inSteps(routes, (route) => {
    for (const issue of targetIssues(sections, services, route, closes)) {
      faults.push({ issue, routes: [route] });
      faulty.add(route);
    }
    const hostAndPath = `${route.host === undefined ? '' : hostKey(route.host)}${route.path}`;
    const samePath = routesByPath.get(hostAndPath) ?? [];
    const conflicting = samePath.find(
      ({ methods, closed }) =>
        (closed === undefined || route.closed === undefined) &&
        route.methods.some((method) => methods.includes(method)),
    );
    const areSame =
      closes &&
      conflicting !== undefined &&
      !faulty.has(route) &&
      !faulty.has(conflicting) &&
      isSameRoute(route, conflicting);
    if (conflicting && !areSame) {
      const issue = routeIssue(sections, route, 'path', {
        found: `"${route.path}"`,
        expected: `a path and methods that route.${conflicting.name} doesn't match already`,
      });
      faults.push({ issue, routes: [route, conflicting] });
    }
    samePath.push(route);
    routesByPath.set(hostAndPath, samePath);
  });
  return faults;
}

/** Closes the routes that can't be used. */
function closeFaulty(routes: Route[], faults: readonly RouteFault[]): Route[] {
  if (faults.length === 0) return routes;
  const reasons = new Map<Route, string>();
  for (const { issue, routes: concerned } of faults) {
    for (const route of concerned) {
      if (!reasons.has(route)) reasons.set(route, closingReason(issue));
    }
  }
  return routes.map((route) => ({ ...route, closed: route.closed ?? reasons.get(route) }));
}

function provenance(sections: Sections): Provenance[] {
  return SECTION_NAMES.flatMap((section) =>
    [...sections[section]].map(([name, { file, overrode }]) => ({
      key: isUnnamed(section) ? section : `${section}.${name}`,
      file: file.name,
      overrode,
    })),
  );
}

/**
 * Merges and validates a folder as {@link mergeFolder} does, in steps of some files or entries.
 *
 * @param folder - Files in name order.
 * @param invalidEntries - What becomes of invalid entries.
 * @returns The merged configuration, or all validation issues.
 */
export function* mergeSteps(
  folder: Folder,
  invalidEntries: InvalidEntries = 'refuse',
): Steps<MergeResult> {
  const sections: Sections = {
    service: new Map(),
    route: new Map(),
    organisation: new Map(),
    rollout: new Map(),
    defaults: new Map(),
    limits: new Map(),
    access: new Map(),
  };
  const issues: ValidationIssue[] = [];
  yield* inSteps(folder, (file) => issues.push(...collectEntries(file, sections)));
  const closes = invalidEntries === 'close';
  // A file that is not TOML could hold any entry.
  if (closes && issues.some(({ key }) => key === undefined)) return { kind: 'invalid', issues };
  const defaults = parseDefaults(sections.defaults, issues);
  const limits = parseLimits(sections.limits, issues);
  const isAccessLimited = parseAccess(sections.access, issues);
  const parsedServices = yield* parseEntries('service', sections.service, serviceSchema, issues);
  const parsedRoutes = yield* parseEntries<RouteSchema>(
    'route',
    sections.route,
    routeSchema,
    issues,
    parseRoute,
  );
  const parsedOrganisations = yield* parseEntries(
    'organisation',
    sections.organisation,
    organisationSchema,
    issues,
  );
  const parsedRollouts = yield* parseEntries('rollout', sections.rollout, rolloutSchema, issues);
  const services = new Map(
    [...parsedServices.valid].map(([name, parsed]) => [
      name as ServiceName,
      buildService(name, parsed),
    ]),
  );
  let routes = [...parsedRoutes.valid].map(([name, parsed]) => buildRoute(name, parsed, defaults));
  let organisations = [...parsedOrganisations.valid].map(([name, parsed]) =>
    buildOrganisation(name, parsed),
  );
  const rollouts = [...parsedRollouts.valid].map(([name, parsed]) => buildRollout(name, parsed));
  if (closes) {
    for (const [name, issue] of parsedRoutes.invalid) {
      const { value } = sections.route.get(name)!;
      routes.push(closeInvalidRoute(name, value, issue, defaults));
    }
    for (const [name, issue] of parsedOrganisations.invalid) {
      const { value } = sections.organisation.get(name)!;
      organisations.push(closeInvalidOrganisation(name, value, issue));
    }
  }
  let sharedKeys: ReadonlySet<KeyDigest> = new Set();
  // References are checked only if all entries are valid: otherwise an invalid service would be
  // reported a second time, as undeclared, by each route to it.
  if (closes || issues.length === 0) {
    const faults = yield* findRouteFaults(sections, services, routes, closes);
    if (closes) routes = closeFaulty(routes, faults);
    issues.push(...faults.map(({ issue }) => issue));
    const shared = findSharedKeys(sections, organisations);
    sharedKeys = shared.keys;
    organisations = withoutShared(organisations, sharedKeys);
    issues.push(...shared.issues);
    issues.push(...rolloutIssues(sections, services, rollouts));
  }
  if (issues.length > 0 && !closes) return { kind: 'invalid', issues };
  return {
    kind: 'valid',
    faults: issues,
    configuration: {
      services,
      routes: new Map(routes.map((route) => [route.name, route])),
      organisations: new Map(organisations.map((entry) => [entry.name, entry])),
      keysRequired: isAccessLimited || organisations.length > 0,
      sharedKeys,
      rollouts: new Map(
        rollouts
          .filter(({ service }) => services.has(service))
          .map((entry) => [entry.service, entry]),
      ),
      retryBudget: defaults.retry_budget,
      limits,
      provenance: provenance(sections),
    },
  };
}

/**
 * Merges the files of a folder in name order and validates the result. A later file replaces a
 * whole service, route, organisation or roll-out, the whole `[limits]` table or a single key of `[defaults]`. The
 * result depends on the folder only, so every daemon gets the same one.
 *
 * @param folder - Files in name order.
 * @returns The merged configuration, or all validation issues.
 */
export default function mergeFolder(folder: Folder): MergeResult {
  return runAtOnce(mergeSteps(folder));
}
