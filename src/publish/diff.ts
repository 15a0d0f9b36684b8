/**
 * Lists the fields in which two values differ, one line each.
 * @param before - Value before the change.
 * @param after - Value after the change.
 */
export function diffFields(before: unknown, after: unknown): string[] {
  const left = flatten(before, '');
  const right = flatten(after, '');
  const lines: string[] = [];
  for (const field of new Set([...left.keys(), ...right.keys()])) {
    const from = left.get(field);
    const to = right.get(field);
    if (from !== to) {
      lines.push(`${field}: ${from ?? '(nothing)'} -> ${to ?? '(nothing)'}`);
    }
  }
  return lines;
}

function flatten(value: unknown, prefix: string): Map<string, string> {
  if (typeof value !== 'object' || value === null) {
    return new Map([[prefix, JSON.stringify(value) ?? '(nothing)']]);
  }
  const fields = new Map<string, string>();
  for (const [name, inner] of Object.entries(value)) {
    for (const [path, text] of flatten(inner, prefix === '' ? name : `${prefix}.${name}`)) {
      fields.set(path, text);
    }
  }
  return fields;
}
