import { expect } from 'chai';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { BuildCheckout } from './BuildCheckout.js';

describe('build command and npm', function () {
  this.timeout(180_000);
  let checkout: BuildCheckout;

  beforeEach(async () => {
    checkout = await BuildCheckout.create();
  });

  afterEach(async () => {
    await checkout.remove();
  });

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
});
