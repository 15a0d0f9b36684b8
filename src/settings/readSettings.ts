import { readFile } from 'node:fs/promises';
import { z } from 'zod';
import { daemonSettingsSchema, type DaemonSettings, type Secrets } from './DaemonSettings.js';

/** Error whose message names the file and field, variable or option that an operator has to correct. */
export class SettingsError extends Error {}

/**
 * Reads a JSON file and validates it.
 * @param file - Path of the file.
 * @param schema - Schema that the content must match.
 * @throws SettingsError that names the file, the field, the value found and the values allowed.
 */
export async function readJsonFile<T>(file: string, schema: z.ZodType<T>): Promise<T> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    throw new SettingsError(
      `${file}: cannot be read (${(error as NodeJS.ErrnoException).code ?? 'unknown'}).`,
    );
  }
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    throw new SettingsError(`${file}: is not JSON: ${(error as Error).message}.`);
  }
  const result = schema.safeParse(json);
  if (result.success) {
    return result.data;
  }
  const lines = result.error.issues.map((issue) => describeIssue(file, issue, json));
  throw new SettingsError(lines.join('\n'));
}

/**
 * Reads and validates the settings of the daemon.
 * @param file - Path of the settings file.
 * @throws SettingsError that names the file, the field, the value found and the values allowed.
 */
export function readDaemonSettings(file: string): Promise<DaemonSettings> {
  return readJsonFile(file, daemonSettingsSchema);
}

/**
 * Reads the secrets from the environment.
 * @param environment - Environment variables.
 * @throws SettingsError that names the missing variable.
 */
export function readSecrets(environment: NodeJS.ProcessEnv): Secrets {
  const read = (variable: string): string => {
    const value = environment[variable];
    if (value === undefined || value === '') {
      throw new SettingsError(
        `The environment variable ${variable} is missing; it holds a secret of this process.`,
      );
    }
    return value;
  };
  return {
    peerSecret: read('MONSOONGLADE_PEER_SECRET'),
    platformToken: read('MONSOONGLADE_PLATFORM_TOKEN'),
    adminToken: read('MONSOONGLADE_ADMIN_TOKEN'),
  };
}

function describeIssue(file: string, issue: z.core.$ZodIssue, json: unknown): string {
  const field = issue.path.map(String).join('.') || '(whole file)';
  let found = json;
  for (const step of issue.path) {
    found = (found as Record<PropertyKey, unknown> | undefined)?.[step];
  }
  const shown = found === undefined ? 'nothing' : (JSON.stringify(found) ?? 'nothing').slice(0, 80);
  return `${file}: field ${field}: found ${shown}; ${issue.message}.`;
}
