// Bundles the program into target/main.cjs; installs the packages first unless those of the lock file are installed.
import { spawnSync } from 'node:child_process';
import { readFileSync, rmSync } from 'node:fs';

const BUNDLE = 'target/main.cjs';
const LOCK_FILE = 'package-lock.json';
/** List of installed packages that npm writes at the end of a complete installation. */
const INSTALLED_FILE = 'node_modules/.package-lock.json';

/** Whether the last installation was completed, with the versions of the lock file. */
function isInstalled() {
  try {
    const { packages } = JSON.parse(readFileSync(LOCK_FILE, 'utf8'));
    const { packages: installed } = JSON.parse(readFileSync(INSTALLED_FILE, 'utf8'));
    return Object.entries(packages).every(
      // Optional packages are for certain kinds of machine; the lock file lists the project itself under an empty path.
      ([path, { version, optional }]) =>
        path === '' || (installed[path] ? installed[path].version === version : optional === true),
    );
  } catch {
    // No list, or one that was not written completely.
    return false;
  }
}

/** Installs the packages with the tools, also where the environment asks for those of production alone. */
function install() {
  return runNpm('ci', '--silent', '--include=dev');
}

function bundle() {
  return runNpm('run', '--silent', 'bundle');
}

function runNpm(...words) {
  return spawnSync('npm', words, { stdio: 'inherit' }).status === 0;
}

// Files of an installation may be missing or be for another kind of machine, which only the bundling shows.
const isBundled = (isInstalled() && bundle()) || (install() && bundle());
if (!isBundled) {
  rmSync(BUNDLE, { force: true });
  console.error(`${BUNDLE} could not be built.`);
}
process.exitCode = isBundled ? 0 : 1;
