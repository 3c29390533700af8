import { parse, TomlError } from 'smol-toml';
import type * as z from 'zod';
import type { FileName, RouteName, ServiceName } from '../common/Types';
import {
  DEFAULTS,
  defaultsSchema,
  limitsSchema,
  METHODS,
  NAME,
  nameSchema,
  routeSchema,
  serviceSchema,
} from './configurationSchema';
import { describeFound, locateLine, schemaFaults } from './faults';
import type {
  CallerLimits,
  Fault,
  Folder,
  FolderFile,
  Merge,
  Provenance,
  Route,
  Service,
  WeightedService,
} from './Types';

/** Largest folder in bytes of its files, so that a checkpoint of it fits one record of the log. */
export const MAX_FOLDER_BYTES = 512 * 1024;

/** An entry that stands in the merge so far, and where it came from. */
interface Entry {
  readonly value: unknown;
  readonly file: FolderFile;
  readonly overrode: readonly FileName[];
}

/** Entries by section and name, as one file after the other sets them. */
type Section = Map<string, Entry>;

interface Sections {
  readonly service: Section;
  readonly route: Section;
  readonly defaults: Section;
  readonly limits: Section;
}

const SECTION_NAMES = ['service', 'route', 'defaults', 'limits'] as const;

/** Key under which the one `[limits]` table stands in its section. */
const LIMITS_KEY = 'limits';

function isTable(value: unknown): value is Record<string, unknown> {
  return value !== null && typeof value === 'object' && !Array.isArray(value);
}

function tomlFault(file: FolderFile, error: TomlError): Fault {
  return {
    file: file.name,
    line: error.line,
    key: undefined,
    found: describeFound(file.content.split('\n')[error.line - 1]?.trim()),
    expected: `TOML (${error.message.split('\n')[0]!.replace('Invalid TOML document: ', '')})`,
  };
}

function unknownSection(file: FolderFile, key: string): Fault {
  return {
    file: file.name,
    line: locateLine(file.content, key),
    key,
    found: 'an unknown key',
    expected: 'a table [service.NAME], [route.NAME], [defaults] or [limits]',
  };
}

function addEntry(section: Section, name: string, value: unknown, file: FolderFile): void {
  const earlier = section.get(name);
  const overrode = earlier ? [...earlier.overrode, earlier.file.name] : [];
  section.set(name, { value, file, overrode });
}

/** Documents of files that were parsed before; versions share the files that didn't change. */
const documents = new WeakMap<FolderFile, Record<string, unknown>>();

/** Results of tables that were validated before, by schema. */
const validated = new WeakMap<z.ZodType, WeakMap<object, z.ZodSafeParseResult<unknown>>>();

function parseFile(file: FolderFile): Record<string, unknown> {
  const known = documents.get(file);
  if (known) return known;
  const document = parse(file.content);
  documents.set(file, document);
  return document;
}

function validate<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): z.ZodSafeParseResult<z.output<Schema>> {
  if (!isTable(value)) return schema.safeParse(value);
  const results = validated.get(schema) ?? new WeakMap<object, z.ZodSafeParseResult<unknown>>();
  validated.set(schema, results);
  const result = results.get(value) ?? schema.safeParse(value);
  results.set(value, result);
  return result as z.ZodSafeParseResult<z.output<Schema>>;
}

function collect(file: FolderFile, sections: Sections): Fault[] {
  let document: Record<string, unknown>;
  try {
    document = parseFile(file);
  } catch (error) {
    if (error instanceof TomlError) return [tomlFault(file, error)];
    throw error;
  }
  const faults: Fault[] = [];
  for (const [key, table] of Object.entries(document)) {
    const sectionName = SECTION_NAMES.find((name) => name === key);
    if (!sectionName || !isTable(table)) {
      faults.push(unknownSection(file, key));
      continue;
    }
    if (sectionName === LIMITS_KEY) addEntry(sections.limits, LIMITS_KEY, table, file);
    else {
      for (const [name, value] of Object.entries(table)) {
        addEntry(sections[sectionName], name, value, file);
      }
    }
  }
  return faults;
}

function parseEntries<Schema extends z.ZodType>(
  kind: 'service' | 'route',
  section: Section,
  schema: Schema,
  faults: Fault[],
): Map<string, z.output<Schema>> {
  const parsed = new Map<string, z.output<Schema>>();
  for (const [name, { value, file }] of section) {
    const table = `${kind}.${name}`;
    const place = { file: file.name, content: file.content, table };
    if (!NAME.test(name)) {
      faults.push(...schemaFaults(nameSchema.safeParse(name).error!, name, place));
    }
    const result = validate(schema, value);
    if (result.success) parsed.set(name, result.data);
    else faults.push(...schemaFaults(result.error, value, place));
  }
  return parsed;
}

function parseDefaults(section: Section, faults: Fault[]): typeof DEFAULTS {
  const merged: Record<string, unknown> = { ...DEFAULTS };
  for (const [key, { value, file }] of section) {
    const result = defaultsSchema.safeParse({ [key]: value });
    const place = { file: file.name, content: file.content, table: 'defaults' };
    if (result.success) Object.assign(merged, result.data);
    else faults.push(...schemaFaults(result.error, { [key]: value }, place));
  }
  return merged as typeof DEFAULTS;
}

function parseLimits(section: Section, faults: Fault[]): CallerLimits | undefined {
  const entry = section.get(LIMITS_KEY);
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
  const place = { file: file.name, content: file.content, table: LIMITS_KEY };
  faults.push(...schemaFaults(result.error, value, place));
  return undefined;
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

function targetsOf({ service, split }: z.output<typeof routeSchema>): WeightedService[] {
  if (service !== undefined) return [{ service: service as ServiceName, weight: 1 }];
  return Object.entries(split ?? {}).map(([name, weight]) => ({
    service: name as ServiceName,
    weight,
  }));
}

function buildRoute(
  name: string,
  parsed: z.output<typeof routeSchema>,
  defaults: typeof DEFAULTS,
): Route {
  const timeoutMs = parsed.timeout ?? defaults.timeout;
  return {
    name: name as RouteName,
    host: parsed.host,
    targets: targetsOf(parsed),
    path: parsed.path,
    methods: parsed.methods ?? METHODS,
    timeoutMs,
    objectiveMs: parsed.objective ?? timeoutMs,
    idempotent: parsed.idempotent,
    priority: parsed.priority,
    hedge: parsed.hedge,
    retries: parsed.retries ?? defaults.retries,
  };
}

function routeFault(
  sections: Sections,
  route: Route,
  key: string,
  detail: Pick<Fault, 'found' | 'expected'>,
): Fault {
  const { file } = sections.route.get(route.name)!;
  const table = `route.${route.name}`;
  return {
    file: file.name,
    line: locateLine(file.content, table, key),
    key: `${table}.${key}`,
    ...detail,
  };
}

/** Finds services that a route names and no file declares, and a route with none or two ways. */
function targetFaults(
  sections: Sections,
  services: ReadonlyMap<ServiceName, Service>,
  route: Route,
): Fault[] {
  const { service, split } = sections.route.get(route.name)!.value as Record<string, unknown>;
  const key = split === undefined ? 'service' : 'split';
  if ((service === undefined) === (split === undefined)) {
    const found = service === undefined ? 'nothing' : 'a service and a split';
    return [routeFault(sections, route, key, { found, expected: 'either a service or a split' })];
  }
  return route.targets
    .filter((target) => !services.has(target.service))
    .map((target) =>
      routeFault(sections, route, key, {
        found: `"${target.service}"`,
        expected: 'a service that some file declares',
      }),
    );
}

/** Finds routes that name no declared service, and routes that match the same calls. */
function crossFaults(
  sections: Sections,
  services: ReadonlyMap<ServiceName, Service>,
  routes: readonly Route[],
): Fault[] {
  const faults: Fault[] = [];
  const owners = new Map<string, Route[]>();
  for (const route of routes) {
    faults.push(...targetFaults(sections, services, route));
    const place = `${route.host ?? ''}${route.path}`;
    const sharing = owners.get(place) ?? [];
    const taken = sharing.find(({ methods }) =>
      route.methods.some((method) => methods.includes(method)),
    );
    if (taken) {
      faults.push(
        routeFault(sections, route, 'path', {
          found: `"${route.path}"`,
          expected: `a path and methods that route.${taken.name} doesn't match already`,
        }),
      );
    }
    owners.set(place, [...sharing, route]);
  }
  return faults;
}

function provenance(sections: Sections): Provenance[] {
  return SECTION_NAMES.flatMap((section) =>
    [...sections[section]].map(([name, { file, overrode }]) => ({
      key: section === LIMITS_KEY ? LIMITS_KEY : `${section}.${name}`,
      file: file.name,
      overrode,
    })),
  );
}

function sizeFaults(folder: Folder): Fault[] {
  const bytes = folder.reduce((sum, { content }) => sum + Buffer.byteLength(content), 0);
  if (bytes <= MAX_FOLDER_BYTES) return [];
  return [
    {
      file: undefined,
      line: undefined,
      key: undefined,
      found: `a folder of ${bytes} bytes`,
      expected: `at most ${MAX_FOLDER_BYTES} bytes, so that it fits one record of the log`,
    },
  ];
}

/**
 * Merges the files of a folder in name order and validates the whole. A later file replaces a whole
 * service, a whole route or one key of the defaults. Pure: every daemon comes to the same result.
 *
 * @param folder - Files in name order.
 * @returns The configuration, or every fault found.
 */
export function mergeFolder(folder: Folder): Merge {
  const sections: Sections = {
    service: new Map(),
    route: new Map(),
    defaults: new Map(),
    limits: new Map(),
  };
  const faults = [...sizeFaults(folder), ...folder.flatMap((file) => collect(file, sections))];
  const defaults = parseDefaults(sections.defaults, faults);
  const limits = parseLimits(sections.limits, faults);
  const parsedServices = parseEntries('service', sections.service, serviceSchema, faults);
  const parsedRoutes = parseEntries('route', sections.route, routeSchema, faults);
  const services = new Map(
    [...parsedServices].map(([name, parsed]) => [name as ServiceName, buildService(name, parsed)]),
  );
  const routes = [...parsedRoutes].map(([name, parsed]) => buildRoute(name, parsed, defaults));
  // References are judged only once all entries parse: a broken service would be reported twice.
  if (faults.length === 0) faults.push(...crossFaults(sections, services, routes));
  if (faults.length > 0) return { kind: 'invalid', faults };
  return {
    kind: 'valid',
    configuration: {
      services,
      routes: new Map(routes.map((route) => [route.name, route])),
      retryBudget: defaults.retry_budget,
      limits,
      provenance: provenance(sections),
    },
  };
}
