import { expect } from 'chai';
import { CRASH_PROMPT, getExpectedTokens } from '../../standins/EngineStandIn.js';
import { SilencingProxy } from './SilencingProxy.js';
import { parseStreamedText, TestSystem } from './TestSystem.js';

const MODEL = 'quotes/base';

/** Starts a long stream and resolves when the caller has received its first chunk, or the complete response. */
async function startStream(system: TestSystem, router: string, prompt: string, tokenCount: number) {
  let onFirstChunkReceived: () => void = () => undefined;
  const firstChunk = new Promise<void>((resolve) => (onFirstChunkReceived = resolve));
  const response = system.chat(router, prompt, {
    stream: true,
    max_tokens: tokenCount,
    onFirstChunk: () => onFirstChunkReceived(),
  });
  await Promise.race([firstChunk, response]);
  return { response, expectedText: getExpectedTokens(MODEL, prompt, tokenCount).join('') };
}

/** Returns the id of the agent whose engine runs or has run a prompt. */
function getRunningAgentId(system: TestSystem, prompt: string): string {
  return `engine-${system.engines.findIndex((engine) => engine.runCountByPrompt.has(prompt)) + 1}`;
}

describe('a system of two routers and two engines', () => {
  let system: TestSystem;

  beforeEach(async () => {
    system = await TestSystem.start();
  });

  afterEach(() => system.stop());

  describe('complete responses when an agent or engine fails', () => {
    it('resumes the stream after the agent was paused and continued, without a second execution', async () => {
      const { response, expectedText } = await startStream(system, 'router-1', 'paused', 60);
      const agent = system.fleet.getOrThrow(getRunningAgentId(system, 'paused')).process;
      agent.kill('SIGSTOP');
      await new Promise((resolve) => setTimeout(resolve, 2_500));
      agent.kill('SIGCONT');
      expect(parseStreamedText((await response).text)).to.equal(expectedText);
      expect(
        system.engines.reduce((sum, engine) => sum + (engine.runCountByPrompt.get('paused') ?? 0), 0),
      ).to.equal(1);
    });

    it('ends a stream with an error, not with a truncated success, when the agent is killed', async () => {
      const { response } = await startStream(system, 'router-1', 'killed', 400);
      system.fleet.getOrThrow(getRunningAgentId(system, 'killed')).process.kill('SIGKILL');
      const result = await response.catch(() => undefined);
      expect(result && parseStreamedText(result.text)).to.equal(undefined);
    });

    it('completes a request for an idle model while the engine with its first grant is frozen', async () => {
      await system.chat('router-1', 'warm up');
      const frozenEngine = system.engines.find((engine) => engine.runCountByPrompt.has('warm up'));
      frozenEngine!.frozen = true;
      const response = await system.chat('router-2', 'elsewhere', {
        headers: { 'request-timeout-ms': '9000' },
      });
      expect(response.status, response.text).to.equal(200);
    });
  });

  describe('an engine that stops responding', () => {
    it('loses a request without a response to another engine, well before the deadline', async () => {
      const request = system.chat('router-1', 'moved', { max_tokens: 100 });
      await system.waitUntil('the request runs', () =>
        system.engines.some((engine) => engine.runCountByPrompt.has('moved')),
      );
      const frozenEngine = system.engines.find((engine) => engine.runCountByPrompt.has('moved'));
      frozenEngine!.frozen = true;
      const response = await request;
      expect(response.status, response.text).to.equal(200);
      const otherEngine = system.engines.find((engine) => engine !== frozenEngine);
      expect(otherEngine?.runCountByPrompt.get('moved')).to.equal(1);
    });
  });

  describe('planned stops complete requests in progress', () => {
    async function doTest(getDaemonId: () => string): Promise<void> {
      const { response, expectedText } = await startStream(system, 'router-1', 'stopped', 200);
      const { process } = system.fleet.getOrThrow(getDaemonId());
      process.kill('SIGTERM');
      expect(parseStreamedText((await response).text)).to.equal(expectedText);
      expect(await process.waitForExit()).to.equal(0);
    }

    it('when the agent receives SIGTERM', () => doTest(() => getRunningAgentId(system, 'stopped')));
    it('when the router of the caller receives SIGTERM', () => doTest(() => 'router-1'));
    it('when the other router, possibly the owner of the model, receives SIGTERM', () =>
      doTest(() => 'router-2'));

    it('when a server is drained: running requests complete, new requests go to other servers', async () => {
      const { response, expectedText } = await startStream(system, 'router-1', 'drained', 100);
      const drainedAgentId = getRunningAgentId(system, 'drained');
      const drained = await system.runCli(['drain', drainedAgentId]);
      expect(drained.code, drained.error).to.equal(0);
      const drainedEngine = system.engines[Number(drainedAgentId.slice(-1)) - 1]!;
      await system.waitUntil('new requests go to other servers', async () => {
        const prompt = `after ${Math.random()}`;
        await system.chat('router-2', prompt);
        return !drainedEngine.runCountByPrompt.has(prompt);
      });
      await system.chat('router-1', 'later');
      expect(drainedEngine.runCountByPrompt.has('later')).to.equal(false);
      expect(parseStreamedText((await response).text)).to.equal(expectedText);
    });
  });

  describe('requests that crash servers', () => {
    it('are quarantined on all routers after at most two crashes, while other requests complete', async () => {
      const crashingPrompt = `please ${CRASH_PROMPT}`;
      const otherRequests = Array.from({ length: 6 }, (_, index) =>
        system.chat('router-2', `innocent ${index}`, { max_tokens: 20 }),
      );
      const countCrashes = () => system.engines.reduce((sum, engine) => sum + engine.crashCount, 0);
      for (let attempt = 0; attempt < 6; attempt++) {
        await system.chat(`router-${(attempt % 2) + 1}`, crashingPrompt).catch(() => undefined);
      }
      const blocked = await system.chat('router-2', crashingPrompt);
      expect(JSON.parse(blocked.text)).to.include({ title: 'quarantined', verdict: 'didNotRun' });
      expect(countCrashes()).to.be.at.most(2);
      const responses = await Promise.all(otherRequests);
      expect(responses.map((response) => response.status)).to.deep.equal([200, 200, 200, 200, 200, 200]);
      const list = await system.runCli(['quarantine', 'list', '--json']);
      expect(JSON.parse(list.out)).to.have.length(1);
    });
  });

  describe('a crash of a router', () => {
    it('is recovered from within seconds by the other router while the platform is unavailable', async () => {
      await system.chat('router-1', 'warm up');
      system.platform.faults.outage = true;
      system.fleet.getOrThrow('router-2').process.kill('SIGKILL');
      await system.waitUntil(
        'router-1 completes a request',
        async () => (await system.chat('router-1', 'alone')).status === 200,
      );
      const requests = Array.from({ length: 5 }, (_, index) => system.chat('router-1', `alone ${index}`));
      for (const response of await Promise.all(requests)) {
        expect(response.status).to.equal(200);
      }
    });
  });
});

describe('an engine that falls silent and goes on, when no other engine can take its requests', () => {
  it('completes its requests without a second execution', async () => {
    const system = await TestSystem.start({ engineCount: 1, engine: { slotCount: 16 } });
    try {
      const engine = system.engines[0]!;
      await system.chat('router-1', 'warm up');
      const prompts = Array.from({ length: 14 }, (_, index) => `silent ${index}`);
      const responses = prompts.map((prompt) => system.chat('router-1', prompt, { max_tokens: 200 }));
      await system.waitUntil('all requests run', () =>
        prompts.every((prompt) => engine.runCountByPrompt.has(prompt)),
      );
      engine.frozen = true;
      await new Promise((resolve) => setTimeout(resolve, 3_500));
      engine.frozen = false;
      const statuses = (await Promise.all(responses)).map((response) => response.status);
      expect(statuses).to.deep.equal(prompts.map(() => 200));
      expect(prompts.map((prompt) => engine.runCountByPrompt.get(prompt))).to.deep.equal(
        prompts.map(() => 1),
      );
    } finally {
      await system.stop();
    }
  });
});

describe('connections that stop transferring data without a reset', () => {
  it('are abandoned during a response, which resumes on a new connection', async () => {
    const system = await TestSystem.start({ engineCount: 1 });
    const agent = system.fleet.getOrThrow('engine-1');
    const proxy = new SilencingProxy(agent.instance.peerAddress);
    try {
      system.platform.setInstance({ ...agent.instance, peerAddress: await proxy.start() });
      await system.waitUntil('requests go through the proxy', async () => {
        await system.chat('router-1', 'warm up');
        return proxy.silence() > 0;
      });
      const { response, expectedText } = await startStream(system, 'router-1', 'silenced', 150);
      expect(proxy.silence()).to.be.greaterThan(0);
      expect(parseStreamedText((await response).text)).to.equal(expectedText);
      expect(system.engines[0]?.runCountByPrompt.get('silenced')).to.equal(1);
    } finally {
      await system.stop();
      await proxy.stop();
    }
  });
});
