import { spawnSync } from 'node:child_process';
import { closeSync, copyFileSync, existsSync, openSync, readFileSync, rmSync } from 'node:fs';
import { delimiter, dirname, join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { BuildError } from './BuildError.mjs';

/** Files of the checkout that npm reads. */
const PACKAGE_FILES = ['package.json', 'package-lock.json'];
/** List of installed packages that npm writes at the end of a complete installation. */
export const INSTALLED_FILE = join('node_modules', '.package-lock.json');
/** Pauses between the attempts, in milliseconds; 211 s in all, for registries that refuse for a while. */
export const PAUSES_MS = [1_000, 10_000, 20_000, 60_000, 120_000];
/** Time after which an attempt is ended, in milliseconds. */
export const ATTEMPT_LIMIT_MS = 150_000;
/** Time after which no attempt starts and a running one is ended, in milliseconds; the platform allows 15 minutes for a build. */
const INSTALL_LIMIT_MS = 360_000;
/** Errors of npm that another attempt would meet too: the two files do not belong together or cannot be read. */
const LASTING_ERRORS = new Set(['EUSAGE', 'EJSONPARSE']);

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
  // The pauses between the attempts take the place of those that npm makes for each request.
  '--fetch-retries=1',
  '--fetch-retry-mintimeout=1000',
  '--fetch-retry-maxtimeout=5000',
  '--fetch-timeout=60000',
];

/**
 * Installs the packages of the lock file, with several attempts.
 * @param folder - Existing folder of this build's own, which receives `node_modules`.
 * @param pausesMs - Pauses between the attempts, in milliseconds.
 * @param attemptLimitMs - Time after which an attempt is ended, in milliseconds.
 */
export async function installPackages(folder, pausesMs, attemptLimitMs) {
  const startMs = performance.now();
  const getRemainingMs = () => INSTALL_LIMIT_MS - (performance.now() - startMs);
  for (const file of PACKAGE_FILES) {
    copyFileSync(file, join(folder, file));
  }
  // Every second attempt has an empty cache, since the usual one may be damaged or read-only; with the usual one no registry may
  // be needed.
  const cacheFolder = join(folder, 'cache');
  for (let attempt = 1; ; attempt++) {
    const cacheOptions = attempt % 2 === 0 ? [`--cache=${resolve(cacheFolder)}`] : [];
    const limitMs = Math.max(1, Math.ceil(Math.min(attemptLimitMs, getRemainingMs())));
    const failure = runNpm(
      folder,
      [
        'ci',
        `--prefix=${resolve(folder)}`,
        `--prefer-offline=${attempt === 1}`,
        ...NPM_OPTIONS,
        ...cacheOptions,
      ],
      limitMs,
    );
    if (failure === undefined) {
      break;
    }
    const pauseMs = pausesMs[attempt - 1];
    const isLast = pauseMs === undefined || pauseMs >= getRemainingMs() || LASTING_ERRORS.has(failure.code);
    const what = `npm ci, attempt ${attempt}${cacheOptions.length > 0 ? ' (with a cache of its own)' : ''}: ${failure.message}`;
    console.error(isLast ? `${what}.` : `${what}; next attempt in ${pauseMs / 1_000} s.`);
    if (isLast) {
      const seconds = Math.round((performance.now() - startMs) / 1_000);
      throw new BuildError(
        'install the packages',
        `npm ci failed ${attempt} ${attempt === 1 ? 'time' : 'times'} within ${seconds} s, the last time: ${failure.message}`,
        'see the messages of npm above; check the registry, the space on the disk and that npm is installed',
      );
    }
    await sleep(pauseMs);
  }
  rmSync(cacheFolder, { recursive: true, force: true });
}

/** Runs npm, shows its messages on the standard error and returns why it failed, if it did. */
function runNpm(folder, words, limitMs) {
  const messageFile = join(folder, 'npm.txt');
  // A pipe would be open as long as a process that npm started, also after the limit.
  const descriptor = openSync(messageFile, 'w');
  const { status, signal, error } = spawnSync('npm', words, {
    cwd: folder,
    // npm needs node, and often stands beside it.
    env: {
      ...process.env,
      PATH: [process.env.PATH, dirname(process.execPath)].filter(Boolean).join(delimiter),
    },
    stdio: ['ignore', descriptor, descriptor],
    timeout: limitMs,
    killSignal: 'SIGKILL',
  });
  closeSync(descriptor);
  const messages = readFileSync(messageFile, 'utf8');
  rmSync(messageFile);
  if (status === 0 && existsSync(join(folder, INSTALLED_FILE))) {
    return undefined;
  }
  process.stderr.write(messages);
  const code = /^npm (?:error|ERR!) code (\w+)$/m.exec(messages)?.[1] ?? error?.code;
  if (error?.code === 'ETIMEDOUT') {
    return { code, message: `not ready after ${Math.round(limitMs / 1_000)} s` };
  }
  const end = status === null ? (signal ?? 'not started') : `exit code ${status}`;
  return { code, message: code === undefined ? end : `${code} (${end})` };
}
