import { cp, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { TestSystem } from './TestSystem.js';

/** Time limit for a configuration change to take effect on every router, in milliseconds. */
const MAX_PROPAGATION_MS = 7_000;

describe('configuration', () => {
  let system: TestSystem;
  let folder: string;

  beforeEach(async () => {
    system = await TestSystem.start({ engineCount: 1 });
    folder = await mkdtemp(join(tmpdir(), 'monsoonglade-test-'));
    await cp('examples/rimalia', join(folder, 'rimalia'), { recursive: true });
  });

  afterEach(async () => {
    await system.stop();
    await rm(folder, { recursive: true, force: true });
  });

  const publish = (...args: string[]) => system.runCli(['publish', folder, '--yes', ...args]);
  const serviceFile = () => join(folder, 'rimalia/clearance-desk/clearance-desk.service.json');

  async function editDeadline(defaultDeadlineMs: number): Promise<void> {
    const service = JSON.parse(await readFile(serviceFile(), 'utf8')) as object;
    await writeFile(serviceFile(), JSON.stringify({ ...service, defaultDeadlineMs }));
  }

  /** Waits until a router has the configuration of a model: it then refuses requests with another status than 404. */
  const waitUntilKnown = (router: string, service: string) =>
    system.waitUntil(
      `${router} has the configuration of ${service}`,
      async () =>
        (
          await system.chat(router, 'p', {
            token: 'rimalia-demo-token',
            model: service,
            headers: { 'request-timeout-ms': '50' },
          })
        ).status !== 404,
      MAX_PROPAGATION_MS,
    );

  it('takes effect on every router within the time limit', async () => {
    expect((await publish()).code).to.equal(0);
    await Promise.all(
      ['router-1', 'router-2'].map((router) => waitUntilKnown(router, 'clearance-desk/clearance')),
    );
  });

  it('reports a conflict with a diff when another operator has published, and does not overwrite the change without `--accept-current`', async () => {
    await publish();
    await editDeadline(11_000);
    const record = join(folder, 'other-operator.json');
    await publish('--record', record, '--accept-current');
    await editDeadline(12_000);
    const conflicting = await publish();
    expect(conflicting.code).to.equal(3);
    expect(conflicting.out).to.match(/! state\/services\/clearance-desk: conflict/);
    expect(conflicting.out).to.match(/defaultDeadlineMs: 11000 -> 12000/);
    expect(system.platform.getObject('state/services/clearance-desk')?.value).to.include({
      defaultDeadlineMs: 11_000,
    });
    expect((await publish('--accept-current')).code).to.equal(0);
    expect(system.platform.getObject('state/services/clearance-desk')?.value).to.include({
      defaultDeadlineMs: 12_000,
    });
  });

  it('reads an object back when the response to its write is lost', async () => {
    system.platform.faults.loseAnswers = 3;
    const result = await publish();
    expect(result.code, result.out).to.equal(0);
    expect(result.out).to.not.match(/unknown/);
  });

  it('reaches a router that starts while the platform is unavailable', async () => {
    await publish();
    await waitUntilKnown('router-1', 'clearance-desk/clearance');
    system.platform.faults.outage = true;
    const seed = system.fleet.getOrThrow('router-1').instance.peerAddress;
    await system.fleet.startRouter('router-3', 'salto', { seedRouters: [seed] });
    await waitUntilKnown('router-3', 'clearance-desk/clearance');
  });

  it('appears in status, explain and audit; the audit omits token hashes', async () => {
    await cp('examples/organisations', join(folder, 'organisations'), { recursive: true });
    await publish('--accept-current');
    await waitUntilKnown('router-1', 'clearance-desk/clearance');
    const audit = await system.runCli(['audit', '--kind', 'configuration', '--json']);
    expect(audit.out).to.not.match(/[0-9a-f]{64}/);
    const subjects = (JSON.parse(audit.out) as { subject: string }[]).map((entry) => entry.subject);
    expect(subjects).to.include('state/services/clearance-desk');
    const urls = ['router-1', 'router-2', 'engine-1'].flatMap((id) => [
      '--admin',
      system.fleet.getOrThrow(id).adminUrl,
    ]);
    const status = await system.runCli(['status', ...urls]);
    expect(status.code, status.error).to.equal(0);
    expect(status.out).to.match(/router router-1: ready/);
    expect(status.out).to.match(/agent engine-1: ready, backend server reachable/);
    const explanation = await system.runCli(['explain', 'quotes/base', ...urls]);
    expect(explanation.out).to.match(/Granted to: engine-1 \(active\)/);
  });

  it('is rejected with the file, field, value and permitted values', async () => {
    await writeFile(
      serviceFile(),
      JSON.stringify({ service: 'X', pool: 'p', organisations: ['rimalia'], models: [], replicas: 3 }),
    );
    const result = await system.runCli(['validate', folder]);
    expect(result.code).to.equal(2);
    expect(result.error).to.match(
      /clearance-desk\.service\.json: field service: found "X"; allowed are lower-case letters/,
    );
    expect(result.error).to.match(/Unrecognized key: "replicas"/);
  });
});

describe('an organisation budget', () => {
  it('is never exceeded by several routers together, and refusals carry Retry-After', async () => {
    const system = await TestSystem.start({ routerCount: 3 });
    try {
      const { value } = system.platform.getObject('state/organisations/mosquitero') as { value: object };
      await system.writeObject('state/organisations/mosquitero', { ...value, tokensPerDay: 100 });
      await new Promise((resolve) => setTimeout(resolve, 300));
      const responses = await Promise.all(
        Array.from({ length: 60 }, (_, index) =>
          system.chat(`router-${(index % 3) + 1}`, `spend ${index}`, { max_tokens: 5 }),
        ),
      );
      const completedCount = responses.filter((response) => response.status === 200).length;
      expect(completedCount).to.be.greaterThan(0);
      expect(completedCount * 5).to.be.at.most(100);
      const refused = responses.find((response) => response.status === 429);
      expect(JSON.parse(refused?.text ?? '{}')).to.include({
        title: 'budgetExhausted',
        verdict: 'didNotRun',
      });
      expect(refused?.headers.get('retry-after')).to.equal('600');
    } finally {
      await system.stop();
    }
  });
});
