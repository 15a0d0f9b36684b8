import { spawnSync } from 'node:child_process';
import { copyFileSync, existsSync } from 'node:fs';
import { join } from 'node:path';

/** Files of the checkout that npm reads. */
const PACKAGE_FILES = ['package.json', 'package-lock.json'];
/** List of installed packages that npm writes at the end of a complete installation. */
const INSTALLED_FILE = join('node_modules', '.package-lock.json');

/**
 * Installs the packages of the lock file, without those for development.
 * @param folder - Existing folder of this build's own, which receives `node_modules`.
 */
export function installPackages(folder) {
  for (const file of PACKAGE_FILES) {
    copyFileSync(file, join(folder, file));
  }
  const { status } = spawnSync('npm', ['ci', '--silent', '--omit=dev'], { cwd: folder, stdio: 'inherit' });
  if (status !== 0 || !existsSync(join(folder, INSTALLED_FILE))) {
    throw new Error('npm ci failed');
  }
}
