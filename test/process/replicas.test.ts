import { expect } from 'chai';
import { TestSystem } from './TestSystem.js';

const MODEL = 'quotes/base';

/** Samples the number of loaded replicas every 2 ms and keeps the maximum. */
function trackPeakReplicas(system: TestSystem): { readonly peak: () => number; readonly stop: () => void } {
  let peak = 0;
  const timer = setInterval(() => (peak = Math.max(peak, system.countLoadedReplicas(MODEL))), 2);
  return { peak: () => peak, stop: () => clearInterval(timer) };
}

describe('replicas loaded never exceed the decided count', () => {
  async function doTest(fencing: boolean, injectFault: (system: TestSystem) => Promise<void>): Promise<void> {
    const system = await TestSystem.start({
      routerCount: 8,
      engineCount: 3,
      engine: { fencing, slotCount: 64 },
      services: [{ maxReplicas: 1 }],
    });
    try {
      const tracker = trackPeakReplicas(system);
      const writesBefore = system.platform.writeCount;
      const requests = Promise.all(
        Array.from({ length: 500 }, (_, index) =>
          system.chat(`router-${(index % 8) + 1}`, `burst ${index}`, { max_tokens: 1 }),
        ),
      );
      await injectFault(system);
      const responses = await requests;
      tracker.stop();
      expect(
        responses.filter((response) => response.status !== 200).map((response) => response.text),
      ).to.deep.equal([]);
      expect(tracker.peak()).to.equal(1);
      expect(system.platform.writeCount).to.equal(writesBefore);
      expect(system.engines.map((engine) => engine.overcommitCount)).to.deep.equal([0, 0, 0]);
    } finally {
      await system.stop();
    }
  }

  const stopPlatform = (system: TestSystem) => {
    system.platform.faults.outage = true;
    return Promise.resolve();
  };

  const pauseAgents = async (system: TestSystem) => {
    await stopPlatform(system);
    const agents = ['engine-1', 'engine-2', 'engine-3'].map((id) => system.fleet.getOrThrow(id).process);
    agents.forEach((agent) => agent.kill('SIGSTOP'));
    await new Promise((resolve) => setTimeout(resolve, 3_000));
    agents.forEach((agent) => agent.kill('SIGCONT'));
  };

  it('in a burst of 500 first requests at 8 routers while the platform is unavailable, with engines that check order numbers', () =>
    doTest(true, stopPlatform));
  it('under the same load, with engines that ignore order numbers', () => doTest(false, stopPlatform));
  it('under the same load, with agents paused for longer than every heartbeat timeout and continued', () =>
    doTest(false, pauseAgents));
});

describe('engine memory is never over-committed', () => {
  it('when agents are killed during a load and restarted', async () => {
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
      const requests = models.map((model) => system.chat('router-1', 'p', { model: `quotes/${model.name}` }));
      await system.waitUntil('a load is in progress', () =>
        system.engines.some((engine) => engine.items.size > 0),
      );
      for (const id of ['engine-1', 'engine-2']) {
        system.fleet.getOrThrow(id).process.kill('SIGKILL');
        await system.fleet.getOrThrow(id).process.waitForExit();
        await system.fleet.restart(id);
      }
      const responses = await Promise.all(requests);
      for (const response of responses) {
        expect([200, 502, 503, 504]).to.include(response.status);
      }
      await system.waitUntil(
        'requests for every model complete again',
        async () => {
          const retries = await Promise.all(
            models.map((model) => system.chat('router-2', 'q', { model: `quotes/${model.name}` })),
          );
          return retries.every((response) => response.status === 200);
        },
        30_000,
      );
      expect(system.engines.map((engine) => engine.overcommitCount)).to.deep.equal([0, 0]);
    } finally {
      await system.stop();
    }
  });
});
