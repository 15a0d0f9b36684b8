// Builds the program into target/, with packages that are installed there too: `node scripts/build-program.mjs`. Builds may run
// at once. A build that fails leaves the earlier program as it was.
import { spawnSync } from 'node:child_process';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { installPackages } from './installPackages.mjs';
import { PackageFolders } from './PackageFolders.mjs';

const CHECKOUT = fileURLToPath(new URL('..', import.meta.url));
const TARGET = 'target';
const BUNDLE = join(TARGET, 'main.cjs');
const LOCK_FILE = 'package-lock.json';

/** Bundles the program with the packages of a folder; returns whether that succeeded. */
function bundle(folder) {
  const words = [resolve('scripts', 'bundle.mjs'), TARGET, join(folder, 'node_modules')];
  return spawnSync(process.execPath, words, { stdio: 'inherit' }).status === 0;
}

/** Builds the program. */
async function build() {
  const folders = new PackageFolders(TARGET, LOCK_FILE);
  let folder = folders.find();
  if (folder === undefined || !bundle(folder)) {
    // Files of an installation may be missing or be for another kind of machine, which only the bundling shows.
    folder = await folders.add(installPackages, folder);
    if (!bundle(folder)) {
      throw new Error('the bundler failed');
    }
  }
  folders.removeOld(folder);
}

process.chdir(CHECKOUT);
try {
  await build();
} catch {
  console.error(`${BUNDLE} could not be built. An earlier program was left as it was.`);
  process.exitCode = 1;
}
