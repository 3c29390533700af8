import {
  COMMON_HOST,
  COMMON_ORGANISATION_NAME,
  COMMON_SCHEMA_NUMBER,
  limitsSchema,
  NAME,
  PATH,
  SCHEMA_NUMBER,
} from './configurationSchema';
import { parseDocument } from './parsedDocuments';
import type { Folder, FolderFile } from './Types';

/** Number of the limits, all of which a table had up to schema 3. */
const LIMIT_COUNT = Object.keys(limitsSchema.shape).length;

type Table = Readonly<Record<string, unknown>>;

const knownSchemas = new WeakMap<FolderFile, number>();

function isName(value: unknown): boolean {
  return value === undefined || (typeof value === 'string' && NAME.test(value));
}

/** Whether a host matches the same calls whether ports count or not. */
function isCommonHost(host: unknown): boolean {
  return (
    host === undefined ||
    (typeof host === 'string' && COMMON_HOST.test(host) && !host.includes(':'))
  );
}

function isCommonRoute({ host, service, split, closed }: Table): boolean {
  return (
    closed === undefined &&
    isCommonHost(host) &&
    isName(service) &&
    Object.keys((split ?? {}) as Table).every(isName)
  );
}

function isCommonService({ health }: Table): boolean {
  return health === undefined || (typeof health === 'string' && PATH.test(health));
}

function isCommonOrganisation({ closed, incomplete }: Table): boolean {
  return closed === undefined && incomplete === undefined;
}

/** Whether a release that knows nothing newer than the common schema takes an entry as this one does. */
function isCommonEntry(section: string, name: string, entry: Table): boolean {
  switch (section) {
    case 'service':
      return NAME.test(name) && isCommonService(entry);
    case 'route':
      return isCommonRoute(entry);
    case 'organisation':
      return COMMON_ORGANISATION_NAME.test(name) && isCommonOrganisation(entry);
    case 'rollout':
      return NAME.test(name);
    case 'access':
      return false;
    default:
      return true;
  }
}

function schemaOf(file: FolderFile): number {
  const known = knownSchemas.get(file);
  if (known !== undefined) return known;
  const isCommon = Object.entries(parseDocument(file)).every(([section, table]) =>
    section === 'limits'
      ? Object.keys(table as Table).length === LIMIT_COUNT
      : Object.entries(table as Table).every(([name, entry]) =>
          isCommonEntry(section, name, entry as Table),
        ),
  );
  const schema = isCommon ? COMMON_SCHEMA_NUMBER : SCHEMA_NUMBER;
  knownSchemas.set(file, schema);
  return schema;
}

/**
 * Finds the lowest schema number that a folder can be written with, so that during an upgrade daemons of the
 * release before are kept out only by what they would take for something else.
 *
 * @param folder - Files whose TOML is valid.
 * @returns The schema number.
 */
export default function requiredSchema(folder: Folder): number {
  return folder.reduce((highest, file) => Math.max(highest, schemaOf(file)), COMMON_SCHEMA_NUMBER);
}
