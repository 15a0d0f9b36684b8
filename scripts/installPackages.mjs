import { spawnSync } from 'node:child_process';
import { closeSync, copyFileSync, existsSync, openSync, readFileSync, rmSync } from 'node:fs';
import { delimiter, dirname, join, resolve } from 'node:path';
import { BuildError } from './BuildError.mjs';

/** Files of the checkout that npm reads. */
const PACKAGE_FILES = ['package.json', 'package-lock.json'];
/** List of installed packages that npm writes at the end of a complete installation. */
const INSTALLED_FILE = join('node_modules', '.package-lock.json');

/** Every option that changes what is installed is given, since a configuration of the machine or user may change it too. */
const NPM_OPTIONS = [
  '--global=false',
  '--location=project',
  '--workspaces=false',
  '--omit=dev',
  '--include=prod',
  // The bundler is an optional package, one for each kind of machine; none of the packages needs its scripts or links.
  '--include=optional',
  '--ignore-scripts=true',
  '--bin-links=false',
  `--os=${process.platform}`,
  `--cpu=${process.arch}`,
  '--install-strategy=hoisted',
  '--legacy-bundling=false',
  '--global-style=false',
  '--legacy-peer-deps=false',
  '--strict-peer-deps=false',
  '--engine-strict=false',
  '--package-lock=true',
  '--package-lock-only=false',
  '--dry-run=false',
  '--offline=false',
  '--audit=false',
  '--fund=false',
  '--update-notifier=false',
  '--progress=false',
  '--json=false',
  '--loglevel=error',
  '--logs-max=0',
];

/**
 * Installs the packages of the lock file, without those for development.
 * @param folder - Existing folder of this build's own, which receives `node_modules`.
 */
export function installPackages(folder) {
  for (const file of PACKAGE_FILES) {
    copyFileSync(file, join(folder, file));
  }
  const failure = runNpm(folder, ['ci', `--prefix=${resolve(folder)}`, ...NPM_OPTIONS]);
  if (failure !== undefined) {
    throw new BuildError(
      'install the packages',
      `npm ci failed: ${failure}`,
      'see the messages of npm above; check the registry, the space on the disk and that npm is installed',
    );
  }
}

/** Runs npm, shows its messages on the standard error and returns why it failed, if it did. */
function runNpm(folder, words) {
  const messageFile = join(folder, 'npm.txt');
  const descriptor = openSync(messageFile, 'w');
  const { status, signal, error } = spawnSync('npm', words, {
    cwd: folder,
    // npm needs node, and often stands beside it.
    env: {
      ...process.env,
      PATH: [process.env.PATH, dirname(process.execPath)].filter(Boolean).join(delimiter),
    },
    stdio: ['ignore', descriptor, descriptor],
  });
  closeSync(descriptor);
  const messages = readFileSync(messageFile, 'utf8');
  rmSync(messageFile);
  if (status === 0 && existsSync(join(folder, INSTALLED_FILE))) {
    return undefined;
  }
  process.stderr.write(messages);
  const code = /^npm (?:error|ERR!) code (\w+)$/m.exec(messages)?.[1] ?? error?.code;
  const end = status === null ? (signal ?? 'not started') : `exit code ${status}`;
  return code === undefined ? end : `${code} (${end})`;
}
