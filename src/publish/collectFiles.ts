import { readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { ORGANISATION_PREFIX, SERVICE_PREFIX } from '../domain/index.js';
import { organisationFileSchema, readJsonFile, serviceFileSchema, SettingsError } from '../settings/index.js';

/** A validated configuration file. */
export interface CollectedFile {
  readonly file: string;
  /** Path of the object to which the file is published. */
  readonly path: string;
  readonly value: object;
}

/** Suffixes of the collected files. */
const SERVICE_SUFFIX = '.service.json';
const ORGANISATION_SUFFIX = '.organisation.json';

/**
 * Collects and validates all service and organisation files below a folder.
 * @param folder - Path of the folder.
 * @throws SettingsError that lists all errors found.
 */
export async function collectFiles(folder: string): Promise<CollectedFile[]> {
  const collected: CollectedFile[] = [];
  const errors: string[] = [];
  for (const file of await findFiles(folder)) {
    try {
      collected.push(await readConfigurationFile(file));
    } catch (error) {
      errors.push((error as Error).message);
    }
  }
  errors.push(...findDuplicates(collected), ...findUnknownOrganisations(collected));
  if (collected.length === 0 && errors.length === 0) {
    errors.push(`${folder}: contains no file ending in ${SERVICE_SUFFIX} or ${ORGANISATION_SUFFIX}.`);
  }
  if (errors.length > 0) {
    throw new SettingsError(errors.join('\n'));
  }
  return collected;
}

async function findFiles(folder: string): Promise<string[]> {
  try {
    const entries = await readdir(folder, { recursive: true });
    const configurationFiles = entries.filter(
      (entry) => entry.endsWith(SERVICE_SUFFIX) || entry.endsWith(ORGANISATION_SUFFIX),
    );
    return configurationFiles
      .filter((entry) => !entry.includes('node_modules'))
      .map((entry) => join(folder, entry))
      .sort();
  } catch (error) {
    throw new SettingsError(
      `${folder}: cannot be read (${(error as NodeJS.ErrnoException).code ?? 'unknown'}).`,
    );
  }
}

async function readConfigurationFile(file: string): Promise<CollectedFile> {
  if (file.endsWith(SERVICE_SUFFIX)) {
    const value = await readJsonFile(file, serviceFileSchema);
    return { file, path: SERVICE_PREFIX + value.service, value };
  }
  const value = await readJsonFile(file, organisationFileSchema);
  return { file, path: ORGANISATION_PREFIX + value.organisation, value };
}

function findDuplicates(collected: readonly CollectedFile[]): string[] {
  const errors: string[] = [];
  const fileByPath = new Map<string, string>();
  for (const { file, path } of collected) {
    const other = fileByPath.get(path);
    if (other !== undefined) {
      errors.push(`${file}: defines ${path}, which ${other} already defines.`);
    }
    fileByPath.set(path, file);
  }
  return errors;
}

/** Finds services that name an organisation without a file; skipped when the folder contains no organisation files. */
function findUnknownOrganisations(collected: readonly CollectedFile[]): string[] {
  const known = new Set(
    collected.filter(({ path }) => path.startsWith(ORGANISATION_PREFIX)).map(({ path }) => path),
  );
  if (known.size === 0) {
    return [];
  }
  const errors: string[] = [];
  for (const { file, value } of collected) {
    const { organisations = [] } = value as { organisations?: string[] };
    for (const organisation of organisations) {
      if (!known.has(ORGANISATION_PREFIX + organisation)) {
        errors.push(`${file}: field organisations: found ${organisation}, which has no organisation file.`);
      }
    }
  }
  return errors;
}
