/** Writes the pages and schemas made from the settings' schemas; `--check` fails when the committed ones differ. */
import { readFile, writeFile } from 'node:fs/promises';
import { z } from 'zod';
import { agentSettingsSchema, routerSettingsSchema, daemonSettingsSchema } from './DaemonSettings.js';
import { organisationFileSchema, serviceFileSchema } from './ServiceFile.js';

/** A schema as the JSON Schema standard writes it, as far as the page needs it. */
interface JsonSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly const?: unknown;
  readonly enum?: readonly unknown[];
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly items?: JsonSchema;
  readonly oneOf?: readonly JsonSchema[];
  readonly anyOf?: readonly JsonSchema[];
}

const SECTIONS: readonly (readonly [string, z.ZodType])[] = [
  ['Settings of a router', routerSettingsSchema],
  ['Settings of an agent', agentSettingsSchema],
  ['Service file (`NAME.service.json`)', serviceFileSchema],
  ['Organisation file (`NAME.organisation.json`)', organisationFileSchema],
];

/** Schemas for editors, by file. */
const SCHEMAS: Readonly<Record<string, z.ZodType>> = {
  'docs/daemon-settings.schema.json': daemonSettingsSchema,
  'docs/service.schema.json': serviceFileSchema,
  'docs/organisation.schema.json': organisationFileSchema,
};

function toJsonSchema(schema: z.ZodType): JsonSchema {
  return z.toJSONSchema(schema, { io: 'input' }) as JsonSchema;
}

function describeFields(schema: JsonSchema, prefix: string): string[] {
  const lines: string[] = [];
  for (const [name, field] of Object.entries(schema.properties ?? {})) {
    const path = prefix + name;
    const need = schema.required?.includes(name) ? 'required' : describeDefault(field);
    lines.push(`| \`${path}\` | ${describeType(field)} | ${need} | ${field.description ?? ''} |`);
    lines.push(...describeFields(field, `${path}.`));
    lines.push(...describeFields(field.items ?? {}, `${path}[].`));
    for (const variant of field.oneOf ?? field.anyOf ?? []) {
      lines.push(...describeFields(variant, `${path}.`));
    }
  }
  return lines;
}

function describeDefault(field: JsonSchema): string {
  return field.default === undefined ? 'optional' : `\`${JSON.stringify(field.default)}\``;
}

function describeType(field: JsonSchema): string {
  if (field.const !== undefined) {
    return `\`${JSON.stringify(field.const)}\``;
  }
  return field.enum
    ? field.enum.map((value) => `\`${JSON.stringify(value)}\``).join(' or ')
    : (field.type ?? 'one of');
}

function makePage(): string {
  const parts = [
    '# Settings',
    '',
    'Made by `scripts/make-settings-page` from the schemas in `src/settings/`; do not edit.',
    '',
  ];
  for (const [title, schema] of SECTIONS) {
    parts.push(`## ${title}`, '', '| field | type | default | meaning |', '| --- | --- | --- | --- |');
    parts.push(...describeFields(toJsonSchema(schema), ''), '');
  }
  return parts.join('\n');
}

async function settle(file: string, text: string): Promise<boolean> {
  const isCheck = process.argv.includes('--check');
  const current = await readFile(file, 'utf8').catch(() => '');
  if (current !== text && !isCheck) {
    await writeFile(file, text);
  }
  return current === text || !isCheck;
}

const files: Record<string, string> = { 'docs/SETTINGS.md': makePage() };
for (const [file, schema] of Object.entries(SCHEMAS)) {
  files[file] = `${JSON.stringify(toJsonSchema(schema), null, 2)}\n`;
}
for (const [file, text] of Object.entries(files)) {
  if (!(await settle(file, text))) {
    process.stderr.write(`${file} is not current; run scripts/make-settings-page.\n`);
    process.exitCode = 1;
  }
}
