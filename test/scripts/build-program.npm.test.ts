import { expect } from 'chai';
import { cp, mkdir, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { BuildCheckout } from './BuildCheckout.js';

/** Configurations that change what npm installs or how it runs the programs of packages. */
const CONFIGURATIONS: readonly NodeJS.ProcessEnv[] = [
  { NODE_ENV: 'production' },
  { npm_config_omit: 'optional' },
  { npm_config_bin_links: 'false' },
  { npm_config_script_shell: '/bin/false' },
  { npm_config_ignore_scripts: 'true' },
  { npm_config_dry_run: 'true' },
  { npm_config_global: 'true' },
];

describe('build command and npm', function () {
  this.timeout(180_000);
  let checkout: BuildCheckout;

  beforeEach(async () => {
    checkout = await BuildCheckout.create();
  });

  afterEach(async () => {
    await checkout.remove();
  });

  for (const configuration of CONFIGURATIONS) {
    // Issue 42, FAULT: a build failed, without a reason, where npm was configured for other uses; some of these held before too.
    it(`succeeds with ${JSON.stringify(configuration)}`, async () => {
      const { code, output } = await checkout.build(configuration);
      expect(code, output).to.equal(0);
      expect(Object.keys(await checkout.readProgram())).to.have.length(2);
    });
  }

  // Issue 42, FAULT: a failed build said nothing but that the program could not be built.
  it('says which step failed, what was tried and what to do when npm fails', async () => {
    const { code, output, lastLine } = await checkout.build({ NPM_FAULT: 'echo npm error odd >&2; exit 3' });
    expect(code).to.equal(1);
    expect(output).to.contain('npm error odd');
    expect(lastLine).to.match(/^Could not install the packages: npm ci failed.*exit code 3.*What to do: /);
  });

  // Issue 42, FAULT: a failed build said nothing but that the program could not be built.
  it('says which step failed, what was tried and what to do when the sources cannot be bundled', async () => {
    await writeFile(join(checkout.path, 'platform', 'main.ts'), 'import "./missing.js";\n');
    const { code, output, lastLine } = await checkout.build();
    expect(code).to.equal(1);
    expect(output).to.contain('./missing.js');
    expect(lastLine).to.match(/^Could not bundle the program: .*exit code 1.*What to do: /);
  });

  // Issue 42, FAULT: a failed build said nothing but that the program could not be built.
  it('says which step failed when target/ cannot be written', async () => {
    await writeFile(join(checkout.path, 'target'), 'no folder');
    const { code, lastLine } = await checkout.build();
    expect(code).to.equal(1);
    expect(lastLine).to.match(/^Could not build the program: .*(ENOTDIR|EEXIST).*What to do: /);
  });

  // Issue 42, FAULT: a build failed where npm stands beside node, but not on the search path.
  it('finds npm beside node', async () => {
    const folder = join(checkout.directory, 'node');
    await mkdir(folder);
    await cp(process.execPath, join(folder, 'node'));
    await checkout.writeNpm(undefined, 'node');
    await rm(join(checkout.directory, 'bin'), { recursive: true });
    const { code, output } = await checkout.build(
      { PATH: join(checkout.directory, 'bin') },
      undefined,
      join(folder, 'node'),
    );
    expect(code, output).to.equal(0);
    expect(await checkout.getCalls()).to.deep.equal(['ci']);
  });
});
