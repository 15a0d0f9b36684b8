// Bundles the program: `node scripts/bundle.mjs [DIRECTORY [PACKAGES]]`, by default into target/ with the packages of this
// checkout. DIRECTORY/main.cjs handles the signals and loads the rest, a file named after its content, so that a process that
// starts during a build gets two files that belong together.
import { createHash, randomUUID } from 'node:crypto';
import { mkdirSync, readdirSync, readFileSync, renameSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join, relative, resolve } from 'node:path';

/** Time for which an earlier program is kept, in milliseconds; processes that start during a build still load it. */
const KEPT_MS = 3_600_000;
/** Files that this script writes beside main.cjs; an unfinished one is left when it is killed. */
const FILE_PATTERN = /^(program-[0-9a-f]+\.cjs|[0-9a-f-]+\.unfinished)$/;

const [directory = 'target', packages = 'node_modules'] = process.argv.slice(2);
const esbuild = createRequire(resolve(packages, 'index.js'))('esbuild');

/** Takes the packages that the sources import from the given folder alone, since those of the checkout may be incomplete. */
const packagesPlugin = {
  name: 'packages',
  setup(build) {
    build.onResolve({ filter: /^[^./]/ }, async ({ path, kind, importer, resolveDir, pluginData }) => {
      const isOfSources = !relative(process.cwd(), resolveDir).includes('node_modules');
      if (kind === 'entry-point' || pluginData === packagesPlugin || !isOfSources) {
        return undefined;
      }
      return build.resolve(path, {
        kind,
        importer,
        resolveDir: resolve(packages),
        pluginData: packagesPlugin,
      });
    });
  },
};

/** Returns the bundle of a module and of what it imports. */
async function bundle(entryPoint, plugins = []) {
  const { outputFiles } = await esbuild.build({
    entryPoints: [entryPoint],
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    // The loader of ECMAScript modules would delay the start.
    supported: { 'dynamic-import': false },
    logLevel: 'warning',
    write: false,
    plugins: [packagesPlugin, ...plugins],
  });
  return outputFiles[0].contents;
}

/** Writes a file that is complete whenever it is read. */
function writeComplete(name, contents) {
  const unfinished = join(directory, `${randomUUID()}.unfinished`);
  try {
    writeFileSync(unfinished, contents);
    renameSync(unfinished, join(directory, name));
  } finally {
    rmSync(unfinished, { force: true });
  }
}

/** Removes earlier programs, unless they were written shortly before. */
function removeOldFiles() {
  const main = readFileSync(join(directory, 'main.cjs'), 'utf8');
  for (const name of readdirSync(directory)) {
    if (FILE_PATTERN.test(name) && !main.includes(name)) {
      removeIfOld(join(directory, name));
    }
  }
}

function removeIfOld(path) {
  try {
    if (Date.now() - statSync(path).mtimeMs > KEPT_MS) {
      rmSync(path);
    }
  } catch (error) {
    // Another build may have removed it; the program is complete anyway.
    console.error(`A leftover of an earlier build was not removed: ${error.message}`);
  }
}

const program = await bundle('platform/program.ts');
const programName = `program-${createHash('sha256').update(program).digest('hex').slice(0, 16)}.cjs`;
const main = await bundle('platform/main.ts', [
  {
    name: 'program',
    setup(build) {
      build.onResolve({ filter: /^\.\/program\.js$/ }, () => ({ path: `./${programName}`, external: true }));
    },
  },
]);
mkdirSync(directory, { recursive: true });
writeComplete(programName, program);
writeComplete('main.cjs', main);
removeOldFiles();
