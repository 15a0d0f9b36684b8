import { readFileSync } from 'node:fs';
import type { Context, RootHookObject } from 'mocha';

/** Start of a line of the list that names a test by its full title. */
const TEST_PREFIX = 'test: ';

/**
 * Returns the full titles of the tests that a list of known failures names.
 * @param text - Text of the list, with one line for the title of each test.
 */
export function parseKnownRed(text: string): ReadonlySet<string> {
  const titles = new Set<string>();
  for (const line of text.split('\n')) {
    if (line.startsWith(TEST_PREFIX)) {
      titles.add(line.slice(TEST_PREFIX.length).trim());
    }
  }
  return titles;
}

const knownRedTitles = parseKnownRed(readFileSync('KNOWN-RED.txt', 'utf8'));

/** Passes over the tests that KNOWN-RED.txt names, and prints each of them. */
export const mochaHooks: RootHookObject = {
  beforeEach(this: Context) {
    const title = this.currentTest?.fullTitle() ?? '';
    if (knownRedTitles.has(title)) {
      process.stdout.write(`known red, not run: ${title}\n`);
      this.skip();
    }
  },
};
