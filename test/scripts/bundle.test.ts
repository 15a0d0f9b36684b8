import { expect } from 'chai';
import { execFile } from 'node:child_process';
import { appendFile, cp, mkdir, mkdtemp, readdir, rm, utimes, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { promisify } from 'node:util';
import { ObservedProgram } from '../platform/ObservedProgram.js';

const PROJECT = resolve('.');
/** Number of builds during which programs start. */
const BUILD_COUNT = 6;
/** Time for a program without settings to end, in milliseconds. */
const END_TIMEOUT_MS = 20_000;
/** Age at which a file that no program needs any more is removed, in milliseconds. */
const OLD_MS = 2 * 3_600_000;

describe('bundle', function () {
  this.timeout(120_000);
  let checkout: string;

  beforeEach(async () => {
    checkout = await mkdtemp(join(tmpdir(), 'monsoonglade-'));
    for (const source of ['package.json', 'platform', 'src', 'scripts']) {
      await cp(join(PROJECT, source), join(checkout, source), { recursive: true });
    }
  });

  afterEach(async () => {
    await rm(checkout, { recursive: true, force: true });
  });

  async function bundle(): Promise<void> {
    const script = join(checkout, 'scripts', 'bundle.mjs');
    const args = [script, 'target', join(PROJECT, 'node_modules')];
    await promisify(execFile)(process.execPath, args, { cwd: checkout });
  }

  async function changeProgram(count: number): Promise<void> {
    await appendFile(join(checkout, 'platform', 'program.ts'), `export const change${count} = ${count};\n`);
  }

  // Issue 42, FAULT: guards against a program that cannot load its second file, since a build has replaced it meanwhile.
  it('lets programs start while other versions are built', async () => {
    await bundle();
    let isBuilding = true;
    const building = (async () => {
      for (let count = 0; count < BUILD_COUNT; count++) {
        await changeProgram(count);
        await bundle();
      }
    })().finally(() => (isBuilding = false));
    let startCount = 0;
    while (isBuilding) {
      const program = new ObservedProgram([join(checkout, 'target', 'main.cjs')], {});
      expect(await program.waitForEnd(END_TIMEOUT_MS), program.output).to.deep.equal({
        code: 2,
        signal: null,
      });
      expect(program.findLines('start failed')[0]?.context.error).to.contain('MONSOONGLADE_NODE_FILE');
      startCount++;
    }
    await building;
    expect(startCount).to.be.greaterThan(BUILD_COUNT);
  });

  it('removes programs and unfinished files of earlier builds after some time', async () => {
    await bundle();
    await changeProgram(1);
    await bundle();
    const target = join(checkout, 'target');
    const unfinished = '0b5b1f5e-94d6-4c2a-8a0c-4f6a8e0f3d11.unfinished';
    await writeFile(join(target, unfinished), '');
    expect((await readdir(target)).length).to.equal(4);
    const past = new Date(Date.now() - OLD_MS);
    for (const name of await readdir(target)) {
      await utimes(join(target, name), past, past);
    }
    await bundle();
    const [main, program, ...others] = (await readdir(target)).sort();
    expect(main).to.equal('main.cjs');
    expect(program).to.match(/^program-[0-9a-f]{16}\.cjs$/);
    expect(others).to.deep.equal([]);
  });

  // Issue 42, FAULT: a build failed, although its program was complete, when an old file could not be removed.
  it('succeeds when an old file cannot be removed', async () => {
    const old = join(checkout, 'target', 'program-0000.cjs');
    await mkdir(old, { recursive: true });
    const past = new Date(Date.now() - OLD_MS);
    await utimes(old, past, past);
    await bundle();
    expect(await readdir(join(checkout, 'target'))).to.contain('main.cjs');
  });
});
