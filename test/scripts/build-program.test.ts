import { expect } from 'chai';
import { chmod, cp, mkdir, readdir, readFile, rm, utimes, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { BuildCheckout, PROJECT } from './BuildCheckout.js';

/** Time between two looks at the program during a build, in milliseconds. */
const LOOK_INTERVAL_MS = 5;

// Issue 39, FAULT: after an interrupted installation each build ended with 127, so no process started.
describe('build command of deploy/system.toml', function () {
  // Each build starts the bundler, which takes some 20 s on a busy machine.
  this.timeout(180_000);
  let checkout: BuildCheckout;

  beforeEach(async () => {
    checkout = await BuildCheckout.create();
  });

  afterEach(async () => {
    await checkout.remove();
  });

  /** Leaves a folder without packages that is newer than the lock file, with or without npm's list of a complete one. */
  async function makeInstallation(folder: string, isListed: boolean): Promise<void> {
    const modules = join(folder, 'node_modules');
    await rm(modules, { recursive: true, force: true });
    await mkdir(join(modules, '.bin'), { recursive: true });
    if (isListed) {
      await cp(join(PROJECT, 'node_modules', '.package-lock.json'), join(modules, '.package-lock.json'));
    }
    const past = new Date(Date.now() - 60_000);
    await utimes(join(checkout.path, 'package-lock.json'), past, past);
  }

  async function expectBuild(...calls: string[]): Promise<void> {
    const { code, output } = await checkout.build();
    expect(code, output).to.equal(0);
    expect(await checkout.getCalls()).to.deep.equal(calls);
  }

  /** Expects the two files of a program, one folder with packages and nothing else. */
  async function expectCompleteProgram(): Promise<void> {
    const [main, packages, program, ...others] = await checkout.list(/./);
    expect(main).to.equal('main.cjs');
    expect(packages).to.match(/^packages-[0-9a-f]{16}$/);
    expect(program).to.match(/^program-[0-9a-f]{16}\.cjs$/);
    expect(others).to.deep.equal([]);
    expect((await checkout.readProgram())['main.cjs']).to.contain(program);
  }

  // Issue 39, FAULT: no process started in a checkout without packages.
  it('installs the packages in a clean checkout, under target/ alone', async () => {
    await expectBuild('ci');
    await expectCompleteProgram();
    expect(await checkout.exists('node_modules')).to.equal(false);
  });

  // Issue 42, FAULT: an installation that another build uses was removed and written again.
  it('installs nothing when the packages are complete', async () => {
    await checkout.buildFirst();
    const packages = await checkout.getPackages();
    await writeFile(join(packages, 'marker'), '');
    await expectBuild();
    expect(await readdir(packages)).to.contain('marker');
  });

  // Issue 39, FAULT: packages of an interrupted `npm ci` were taken for complete.
  it('installs after an interrupted installation in the checkout', async () => {
    await makeInstallation(checkout.path, false);
    await expectBuild('ci');
  });

  // Issue 39, FAULT: packages that npm lists but that are missing were taken for complete.
  it('installs when packages are missing in the checkout although npm lists them', async () => {
    await makeInstallation(checkout.path, true);
    await expectBuild('ci');
  });

  // Issue 42, FAULT: damaged packages under target/ must not fail each later build.
  it('installs again when packages are missing under target/ although npm lists them', async () => {
    await checkout.buildFirst();
    const damaged = await checkout.getPackages();
    await makeInstallation(damaged, true);
    await expectBuild('ci');
    // Another build may use the damaged folder, so it stays as it is.
    expect(await readdir(join(damaged, 'node_modules'))).to.have.members(['.bin', '.package-lock.json']);
    await checkout.forgetCalls();
    await expectBuild();
  });

  // Issue 39, FAULT: packages of other versions were taken for those of the lock file.
  it('installs again when the lock file names other versions', async () => {
    await checkout.buildFirst();
    const file = join(checkout.path, 'package-lock.json');
    const text = await readFile(file, 'utf8');
    await writeFile(file, text.replace(/("node_modules\/zod": \{\s+"version": ")[^"]+/, '$10.0.0'));
    const past = new Date(Date.now() - 60_000);
    await utimes(file, past, past);
    await expectBuild('ci');
  });

  // Issue 39, FAULT: no process started where the environment asks for the packages of production alone.
  it('installs the bundler in an environment of production', async () => {
    const { code, output } = await checkout.build({ NODE_ENV: 'production' });
    expect(code, output).to.equal(0);
  });

  // Issue 39, FAULT: a bundler of another kind of machine, from a folder that was carried over, failed each build.
  it('installs again when the bundler is for another kind of machine', async () => {
    await checkout.buildFirst();
    const tools = join(await checkout.getPackages(), 'node_modules', '@esbuild');
    for (const name of await readdir(tools)) {
      const tool = join(tools, name, 'bin', 'esbuild');
      await rm(tool);
      await writeFile(tool, '\x7fELF of another machine');
      await chmod(tool, 0o755);
    }
    await expectBuild('ci');
  });

  // Issue 42, FAULT: packages of the checkout that an `npm ci` changed meanwhile were bundled.
  it('bundles no packages of the checkout', async () => {
    for (const name of ['ws', 'zod', 'esbuild']) {
      await mkdir(join(checkout.path, 'node_modules', name), { recursive: true });
      await writeFile(join(checkout.path, 'node_modules', name, 'index.js'), 'half written (');
    }
    await expectBuild('ci');
    expect(JSON.stringify(await checkout.readProgram())).to.not.contain('half written');
    expect(await readdir(join(checkout.path, 'node_modules', 'ws'))).to.deep.equal(['index.js']);
  });

  // Issue 42, FAULT: a failed build removed the earlier program, so no process could be started again.
  it('fails and leaves the earlier program as it was when the sources cannot be bundled', async () => {
    await checkout.buildFirst();
    const earlier = await checkout.readProgram();
    await writeFile(join(checkout.path, 'platform', 'main.ts'), 'import "./missing.js";\n');
    const { code } = await checkout.build();
    expect(code).to.not.equal(0);
    expect(await checkout.readProgram()).to.deep.equal(earlier);
    expect(Object.keys(earlier)).to.have.length(2);
    expect(await checkout.list(/unfinished/)).to.deep.equal([]);
  });

  // Issue 42, FAULT: a failed installation removed the earlier program, so no process could be started again.
  it('fails and leaves the earlier program as it was when npm does not work', async () => {
    await checkout.buildFirst();
    const earlier = await checkout.readProgram();
    for (const name of await checkout.list(/^packages-/)) {
      await rm(join(checkout.path, 'target', name), { recursive: true });
    }
    await rm(join(checkout.path, 'node_modules'), { recursive: true, force: true });
    await checkout.writeNpm('#!/bin/sh\nmkdir -p node_modules/half\nexit 1\n');
    const { code } = await checkout.build();
    expect(code).to.not.equal(0);
    expect(await checkout.readProgram()).to.deep.equal(earlier);
    expect(Object.keys(earlier)).to.have.length(2);
    expect(await checkout.list(/unfinished|^packages-/)).to.deep.equal([]);
  });

  // Issue 39, FAULT: the program was missing while it was built again, so a process that started meanwhile ended at once.
  it('keeps the older program until the new one is complete', async () => {
    await checkout.buildFirst();
    let isBuilt = false;
    const building = checkout.build().finally(() => (isBuilt = true));
    let missingCount = 0;
    while (!isBuilt) {
      missingCount += (await checkout.exists('target', 'main.cjs')) ? 0 : 1;
      await sleep(LOOK_INTERVAL_MS);
    }
    expect((await building).code).to.equal(0);
    expect(missingCount).to.equal(0);
    await expectCompleteProgram();
  });

  // Guards against an unfinished file that is left; held before too.
  it('leaves no unfinished program when a file cannot be replaced', async () => {
    await checkout.buildFirst();
    const target = join(checkout.path, 'target');
    await rm(join(target, 'main.cjs'));
    await mkdir(join(target, 'main.cjs', 'directory'), { recursive: true });
    expect((await checkout.build()).code).to.not.equal(0);
    expect(await checkout.list(/unfinished$/)).to.deep.equal([]);
  });
});
