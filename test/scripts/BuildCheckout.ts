import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { access, chmod, cp, mkdir, mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { delimiter, join, resolve } from 'node:path';

/** Checkout of the project in which the tests run. */
export const PROJECT = resolve('.');
/** Search path without the tools of this checkout, which npm adds when it runs the tests. */
const PLAIN_PATH = (process.env.PATH ?? '')
  .split(delimiter)
  .filter((folder) => !folder.includes('node_modules'))
  .join(delimiter);
/** Files that the build command needs. */
const SOURCES = ['package.json', 'package-lock.json', 'tsconfig.json', 'src', 'platform', 'scripts'];
/** Short pauses between the attempts of an installation. */
const SHORT_PAUSES = '--pauses-ms=10,10';

/**
 * Stand-in for npm that records its calls: `ci` installs links to the packages of this checkout, and copies of the bundler, in
 * steps with pauses as npm does; `run` is left to npm. `NPM_FAULT` holds commands that come first.
 */
const NPM = `#!/bin/sh
PATH=$PLAIN_PATH
echo "$*" >> "$NPM_CALLS"
if [ "$1" != ci ]; then
  exec npm "$@"
fi
lacks() {
  case " $options " in *" $1 "*) return 1 ;; esac
}
options=$*
eval "$NPM_FAULT"
if [ "$npm_config_dry_run" = true ] && lacks --dry-run=false; then
  exit 0
fi
if [ "$npm_config_global" = true ] && lacks --global=false; then
  exit 1
fi
rm -rf node_modules || exit 1
sleep "\${NPM_STEP_S:-0}"
mkdir node_modules node_modules/.bin || exit 1
sleep "\${NPM_STEP_S:-0}"
for path in "$PROJECT"/node_modules/*; do
  case "$path" in */esbuild | */@esbuild) ;; *) ln -s "$path" node_modules/ || exit 1 ;; esac
done
sleep "\${NPM_STEP_S:-0}"
cp -RL "$PROJECT/node_modules/esbuild" node_modules/ || exit 1
if [ "$npm_config_omit" != optional ] || ! lacks --include=optional; then
  cp -RL "$PROJECT/node_modules/@esbuild" node_modules/ || exit 1
fi
rm -rf node_modules/esbuild/bin
if [ "$npm_config_bin_links" != false ] && [ "$NODE_ENV" != production ]; then
  mkdir node_modules/esbuild/bin
  ln -s "$PROJECT/node_modules/esbuild/bin/esbuild" node_modules/esbuild/bin/esbuild
  ln -s ../esbuild/bin/esbuild node_modules/.bin/esbuild || exit 1
fi
sleep "\${NPM_STEP_S:-0}"
cp "$PROJECT/node_modules/.package-lock.json" node_modules/
`;

/** What a build did. */
export interface BuildResult {
  readonly code: number | null;
  /** Standard output and standard error. */
  readonly output: string;
  readonly lastLine: string;
}

/** Build that runs, with all its processes. */
export interface RunningBuild {
  readonly child: ChildProcess;
  readonly result: Promise<BuildResult>;
}

/** Clean checkout of the project in a folder of its own, with a stand-in for npm. */
export class BuildCheckout {
  /** Folder that holds the checkout and what belongs to it. */
  readonly directory: string;
  /** Root of the checkout. */
  readonly path: string;

  private constructor(directory: string) {
    this.directory = directory;
    this.path = join(directory, 'path with spaces');
  }

  /** Creates a checkout. */
  static async create(): Promise<BuildCheckout> {
    const checkout = new BuildCheckout(await mkdtemp(join(tmpdir(), 'monsoonglade-')));
    await mkdir(checkout.path);
    await checkout.writeNpm(NPM);
    await checkout.forgetCalls();
    for (const source of SOURCES) {
      await cp(join(PROJECT, source), join(checkout.path, source), { recursive: true });
    }
    return checkout;
  }

  /**
   * Replaces the stand-in for npm.
   * @param text - Text of the shell script.
   * @param folder - Folder of the script, relative to the one of the checkout.
   */
  async writeNpm(text = NPM, folder = 'bin'): Promise<void> {
    const path = join(this.directory, folder);
    await mkdir(path, { recursive: true });
    await writeFile(join(path, 'npm'), text);
    await chmod(join(path, 'npm'), 0o755);
  }

  /**
   * Starts the build command of the deploy file.
   * @param environment - Variables beside the usual ones.
   * @param options - Options of the build command.
   * @param node - Program that takes the place of node, by default the one of the search path.
   */
  async start(
    environment: NodeJS.ProcessEnv = {},
    options = SHORT_PAUSES,
    node = 'node',
  ): Promise<RunningBuild> {
    const deployFile = await readFile(join(PROJECT, 'deploy', 'system.toml'), 'utf8');
    const command = /^build = "(.*)"$/m.exec(deployFile)?.[1] ?? 'false';
    const env = {
      HOME: process.env.HOME,
      PATH: `${join(this.directory, 'bin')}${delimiter}${PLAIN_PATH}`,
      PLAIN_PATH,
      NPM_CALLS: join(this.directory, 'calls'),
      PROJECT,
      ...environment,
    };
    const child = spawn('/bin/sh', ['-c', `${command.replace(/^node(?= )/, `"${node}"`)} ${options}`], {
      cwd: this.path,
      env,
      detached: true,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    return { child, result: this.waitForResult(child) };
  }

  /** Runs the build command of the deploy file; the parameters are those of `start`. */
  async build(...parameters: Parameters<BuildCheckout['start']>): Promise<BuildResult> {
    const { result } = await this.start(...parameters);
    return result;
  }

  /** Runs the build command and expects that it succeeds; then forgets the calls of npm. */
  async buildFirst(): Promise<void> {
    const { code, output } = await this.build();
    if (code !== 0) {
      throw new Error(output);
    }
    await this.forgetCalls();
  }

  /** Returns the first words of npm's calls. */
  async getCalls(): Promise<string[]> {
    const lines = (await readFile(join(this.directory, 'calls'), 'utf8')).split('\n');
    return lines.filter((line) => line !== '').map((line) => line.split(' ')[0] ?? '');
  }

  /** Forgets npm's calls so far. */
  async forgetCalls(): Promise<void> {
    await writeFile(join(this.directory, 'calls'), '');
  }

  /** Whether the checkout has a file or folder. */
  async exists(...path: string[]): Promise<boolean> {
    return access(join(this.path, ...path)).then(
      () => true,
      () => false,
    );
  }

  /** Returns the names in target/ that match a pattern, sorted. */
  async list(pattern: RegExp): Promise<string[]> {
    const names = (await this.exists('target')) ? await readdir(join(this.path, 'target')) : [];
    return names.filter((name) => pattern.test(name)).sort();
  }

  /** Returns the folder with the installed packages, which must be the only one. */
  async getPackages(): Promise<string> {
    const [name = '', ...others] = await this.list(/^packages-/);
    if (others.length > 0) {
      throw new Error(`Other folders: ${others.join(', ')}`);
    }
    return join(this.path, 'target', name);
  }

  /** Returns the contents of the files in target/ by name, without those of the packages. */
  async readProgram(): Promise<Record<string, string>> {
    const names = await this.list(/\.cjs$/);
    const texts = names.map(async (name) => [name, await readFile(join(this.path, 'target', name), 'utf8')]);
    return Object.fromEntries(await Promise.all(texts)) as Record<string, string>;
  }

  /** Removes the checkout. */
  async remove(): Promise<void> {
    await rm(this.directory, { recursive: true, force: true, maxRetries: 5 });
  }

  private async waitForResult(child: ChildProcess): Promise<BuildResult> {
    let output = '';
    child.stdout?.on('data', (chunk) => (output += String(chunk)));
    child.stderr?.on('data', (chunk) => (output += String(chunk)));
    const [code] = (await once(child, 'close')) as [number | null];
    return { code, output, lastLine: output.trimEnd().split('\n').at(-1) ?? '' };
  }
}
