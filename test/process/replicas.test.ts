import { expect } from 'chai';
import { TestSystem } from './TestSystem.js';

const MODEL = 'quotes/base';

/** Watches how many replicas are loaded at most while a test runs. */
function watchPeak(system: TestSystem): { readonly peak: () => number; readonly stop: () => void } {
  let peak = 0;
  const timer = setInterval(() => (peak = Math.max(peak, system.loadedCount(MODEL))), 2);
  return { peak: () => peak, stop: () => clearInterval(timer) };
}

describe('replicas loaded never exceed the decided count', () => {
  async function doTest(fencing: boolean, disturb: (system: TestSystem) => Promise<void>): Promise<void> {
    const system = await TestSystem.start({
      routerCount: 8,
      engineCount: 3,
      engine: { fencing, slotCount: 64 },
      services: [{ maxReplicas: 1 }],
    });
    try {
      const watch = watchPeak(system);
      const writesBefore = system.platform.writeCount;
      const burst = Promise.all(
        Array.from({ length: 500 }, (_, index) =>
          system.chat(`router-${(index % 8) + 1}`, `burst ${index}`, { max_tokens: 1 }),
        ),
      );
      await disturb(system);
      const answers = await burst;
      watch.stop();
      expect(answers.filter((answer) => answer.status !== 200).map((answer) => answer.text)).to.deep.equal(
        [],
      );
      expect(watch.peak()).to.equal(1);
      expect(system.platform.writeCount).to.equal(writesBefore);
      expect(system.engines.map((engine) => engine.overcommitCount)).to.deep.equal([0, 0, 0]);
    } finally {
      await system.stop();
    }
  }

  const platformDown = (system: TestSystem) => {
    system.platform.faults.outage = true;
    return Promise.resolve();
  };

  const agentPaused = async (system: TestSystem) => {
    await platformDown(system);
    const agents = ['engine-1', 'engine-2', 'engine-3'].map((id) => system.fleet.getOrThrow(id).process);
    agents.forEach((agent) => agent.kill('SIGSTOP'));
    await new Promise((resolve) => setTimeout(resolve, 3_000));
    agents.forEach((agent) => agent.kill('SIGCONT'));
  };

  it('in a burst of 500 first requests at 8 routers, the platform down, engines that fence', () =>
    doTest(true, platformDown));
  it('the same with engines that ignore order numbers', () => doTest(false, platformDown));
  it('the same with agents paused past every heartbeat and resumed', () => doTest(false, agentPaused));
});

describe('worker memory is never over-committed', () => {
  it('when agents die in the middle of a load and start again', async () => {
    const models = ['a', 'b', 'c'].map((name) => ({
      name,
      version: '1',
      weightBytes: 45,
      kvCacheBytes: 0,
      adapters: [],
    }));
    const system = await TestSystem.start({
      engine: { fencing: false, loadMsByTier: { memory: 300, disk: 300 } },
      services: [{ models }],
    });
    try {
      const calls = models.map((model) => system.chat('router-1', 'p', { model: `quotes/${model.name}` }));
      await system.until('a load is under way', () => system.engines.some((engine) => engine.items.size > 0));
      for (const id of ['engine-1', 'engine-2']) {
        system.fleet.getOrThrow(id).process.kill('SIGKILL');
        await system.fleet.getOrThrow(id).process.whenExited();
        await system.fleet.restart(id);
      }
      const answers = await Promise.all(calls);
      for (const answer of answers) {
        expect([200, 502, 503, 504]).to.include(answer.status);
      }
      await system.until(
        'every model is served again',
        async () => {
          const again = await Promise.all(
            models.map((model) => system.chat('router-2', 'q', { model: `quotes/${model.name}` })),
          );
          return again.every((answer) => answer.status === 200);
        },
        30_000,
      );
      expect(system.engines.map((engine) => engine.overcommitCount)).to.deep.equal([0, 0]);
    } finally {
      await system.stop();
    }
  });
});
