import { readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { ORGANISATION_PREFIX, SERVICE_PREFIX } from '../domain/index.js';
import { organisationFileSchema, readJsonFile, serviceFileSchema, SettingsError } from '../settings/index.js';

/** A configuration file as collected. */
export interface CollectedFile {
  readonly file: string;
  /** Path of the object that it becomes. */
  readonly path: string;
  readonly value: object;
}

/** Endings of the files that are collected. */
const SERVICE_ENDING = '.service.json';
const ORGANISATION_ENDING = '.organisation.json';

/**
 * Collects and checks all service and organisation files below a folder.
 * @param folder - The folder.
 * @throws SettingsError that lists everything that is wrong.
 */
export async function collectFiles(folder: string): Promise<CollectedFile[]> {
  const collected: CollectedFile[] = [];
  const complaints: string[] = [];
  for (const file of await findFiles(folder)) {
    try {
      collected.push(await readConfigurationFile(file));
    } catch (error) {
      complaints.push((error as Error).message);
    }
  }
  complaints.push(...findDoubles(collected), ...findUnknownOrganisations(collected));
  if (collected.length === 0 && complaints.length === 0) {
    complaints.push(`${folder}: holds no file ending in ${SERVICE_ENDING} or ${ORGANISATION_ENDING}.`);
  }
  if (complaints.length > 0) {
    throw new SettingsError(complaints.join('\n'));
  }
  return collected;
}

async function findFiles(folder: string): Promise<string[]> {
  try {
    const entries = await readdir(folder, { recursive: true });
    const wanted = entries.filter(
      (entry) => entry.endsWith(SERVICE_ENDING) || entry.endsWith(ORGANISATION_ENDING),
    );
    return wanted
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
  if (file.endsWith(SERVICE_ENDING)) {
    const value = await readJsonFile(file, serviceFileSchema);
    return { file, path: SERVICE_PREFIX + value.service, value };
  }
  const value = await readJsonFile(file, organisationFileSchema);
  return { file, path: ORGANISATION_PREFIX + value.organisation, value };
}

function findDoubles(collected: readonly CollectedFile[]): string[] {
  const complaints: string[] = [];
  const fileByPath = new Map<string, string>();
  for (const { file, path } of collected) {
    const other = fileByPath.get(path);
    if (other !== undefined) {
      complaints.push(`${file}: describes ${path}, which ${other} describes already.`);
    }
    fileByPath.set(path, file);
  }
  return complaints;
}

/** Finds services for organisations that have no file, where the folder holds organisation files at all. */
function findUnknownOrganisations(collected: readonly CollectedFile[]): string[] {
  const known = new Set(
    collected.filter(({ path }) => path.startsWith(ORGANISATION_PREFIX)).map(({ path }) => path),
  );
  if (known.size === 0) {
    return [];
  }
  const complaints: string[] = [];
  for (const { file, value } of collected) {
    const { organisations = [] } = value as { organisations?: string[] };
    for (const organisation of organisations) {
      if (!known.has(ORGANISATION_PREFIX + organisation)) {
        complaints.push(
          `${file}: field organisations: found ${organisation}, which has no organisation file.`,
        );
      }
    }
  }
  return complaints;
}
