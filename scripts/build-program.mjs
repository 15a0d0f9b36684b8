// Builds the program into target/, with packages that are installed there too: `node scripts/build-program.mjs`. Builds may run
// at once. A build that fails leaves the earlier program as it was and says what to do in its last line.
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { BuildError } from './BuildError.mjs';
import { ATTEMPT_LIMIT_MS, INSTALLED_FILE, installPackages, PAUSES_MS } from './installPackages.mjs';
import { PackageFolders } from './PackageFolders.mjs';

const CHECKOUT = fileURLToPath(new URL('..', import.meta.url));
const TARGET = 'target';
const LOCK_FILE = 'package-lock.json';
/** Time after which the bundler is ended, in milliseconds; it needs half a second, and some 20 s on a busy machine. */
const BUNDLE_LIMIT_MS = 120_000;

/** Bundles the program with the given packages; returns why that failed, if it did. */
function bundle(folder) {
  const { status, signal, error } = spawnSync(
    process.execPath,
    [resolve('scripts', 'bundle.mjs'), TARGET, join(folder, 'node_modules')],
    { stdio: ['ignore', process.stderr, 'inherit'], timeout: BUNDLE_LIMIT_MS, killSignal: 'SIGKILL' },
  );
  if (status === 0) {
    return undefined;
  }
  return error?.message ?? (signal === null ? `exit code ${status}` : signal);
}

/** Whether the checkout has the packages of the lock file; others may change them at any time, so they are the last resort. */
function isInstalled() {
  try {
    const { packages } = JSON.parse(readFileSync(LOCK_FILE, 'utf8'));
    const { packages: installed } = JSON.parse(readFileSync(INSTALLED_FILE, 'utf8'));
    return Object.entries(packages).every(
      // Optional packages are for certain kinds of machine; the lock file lists the project itself under an empty path.
      ([path, { version, optional, dev }]) =>
        path === '' || (installed[path] ? installed[path].version === version : (optional ?? dev) === true),
    );
  } catch {
    // No list, or one that was not written completely.
    return false;
  }
}

/** Builds the program. */
async function build({ pausesMs, attemptLimitMs }) {
  const folders = new PackageFolders(TARGET, LOCK_FILE);
  let folder = folders.find();
  let failure = folder === undefined ? undefined : bundle(folder);
  if (folder === undefined || failure !== undefined) {
    if (failure !== undefined) {
      console.error(
        `Bundling with ${folder} failed (${failure}); its packages may be damaged, so they are installed again.`,
      );
    }
    try {
      folder = await folders.add((path) => installPackages(path, pausesMs, attemptLimitMs), folder);
    } catch (error) {
      if (isInstalled() && bundle('.') === undefined) {
        console.error(`${error.message} The packages of the checkout were used instead.`);
        return;
      }
      throw error;
    }
    failure = bundle(folder);
  }
  if (failure !== undefined) {
    throw new BuildError(
      'bundle the program',
      `scripts/bundle.mjs failed with new packages (${failure})`,
      'see its messages above; correct the sources they name, or check the space on the disk',
    );
  }
  folders.removeOld(folder);
}

// The tests shorten the times.
const { values } = parseArgs({
  options: { 'pauses-ms': { type: 'string' }, 'attempt-limit-ms': { type: 'string' } },
});
process.chdir(CHECKOUT);
try {
  await build({
    pausesMs: values['pauses-ms']?.split(',').map(Number) ?? PAUSES_MS,
    attemptLimitMs: Number(values['attempt-limit-ms'] ?? ATTEMPT_LIMIT_MS),
  });
} catch (error) {
  const reason =
    error instanceof BuildError
      ? error
      : new BuildError(
          'build the program',
          error.message,
          'check the space on the disk and who may write target/',
        );
  console.error(`${reason.message} An earlier program in ${TARGET}/ was left as it was.`);
  process.exitCode = 1;
}
