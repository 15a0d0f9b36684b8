import { expect } from 'chai';
import { CRASH_MARK, expectedTokens } from '../../standins/EngineStandIn.js';
import { SilencingProxy } from './SilencingProxy.js';
import { streamedText, TestSystem } from './TestSystem.js';

const MODEL = 'quotes/base';

/** Starts a long stream and resolves when its first piece has reached the caller. */
async function startStream(system: TestSystem, router: string, prompt: string, tokenCount: number) {
  let sawFirst: () => void = () => undefined;
  const first = new Promise<void>((resolve) => (sawFirst = resolve));
  const answer = system.chat(router, prompt, {
    stream: true,
    max_tokens: tokenCount,
    onFirstPiece: () => sawFirst(),
  });
  await Promise.race([first, answer]);
  return { answer, expected: expectedTokens(MODEL, prompt, tokenCount).join('') };
}

/** Id of the agent whose engine runs or ran a prompt. */
function runnerOf(system: TestSystem, prompt: string): string {
  return `engine-${system.engines.findIndex((engine) => engine.runCountByPrompt.has(prompt)) + 1}`;
}

describe('with a system of two routers and two engines', () => {
  let system: TestSystem;

  beforeEach(async () => {
    system = await TestSystem.start();
  });

  afterEach(() => system.stop());

  describe('whole answers to their own callers', () => {
    it('when the agent is paused in mid-answer and resumed', async () => {
      const { answer, expected } = await startStream(system, 'router-1', 'paused', 60);
      const agent = system.fleet.getOrThrow(runnerOf(system, 'paused')).process;
      agent.kill('SIGSTOP');
      await new Promise((resolve) => setTimeout(resolve, 2_500));
      agent.kill('SIGCONT');
      expect(streamedText((await answer).text)).to.equal(expected);
      expect(
        system.engines.reduce((sum, engine) => sum + (engine.runCountByPrompt.get('paused') ?? 0), 0),
      ).to.equal(1);
    });

    it('when the agent dies in mid-answer: an error, never a short success', async () => {
      const { answer } = await startStream(system, 'router-1', 'killed', 400);
      system.fleet.getOrThrow(runnerOf(system, 'killed')).process.kill('SIGKILL');
      const given = await answer.catch(() => undefined);
      expect(given && streamedText(given.text)).to.equal(undefined);
    });

    it('when an idle model is asked for while the engine of its first grant is frozen', async () => {
      await system.chat('router-1', 'warm up');
      const frozen = system.engines.find((engine) => engine.runCountByPrompt.has('warm up'));
      frozen!.frozen = true;
      const answer = await system.chat('router-2', 'elsewhere', {
        headers: { 'request-timeout-ms': '9000' },
      });
      expect(answer.status, answer.text).to.equal(200);
    });
  });

  describe('planned stops cut off nothing', () => {
    async function doTest(idOf: () => string): Promise<void> {
      const { answer, expected } = await startStream(system, 'router-1', 'stopped', 200);
      const { process } = system.fleet.getOrThrow(idOf());
      process.kill('SIGTERM');
      expect(streamedText((await answer).text)).to.equal(expected);
      expect(await process.whenExited()).to.equal(0);
    }

    it('when the agent is told to stop', () => doTest(() => runnerOf(system, 'stopped')));
    it('when the router of the caller is told to stop', () => doTest(() => 'router-1'));
    it('when the other router, perhaps the home, is told to stop', () => doTest(() => 'router-2'));

    it('when a server is drained: running work ends, new work goes elsewhere', async () => {
      const { answer, expected } = await startStream(system, 'router-1', 'drained', 100);
      const holder = runnerOf(system, 'drained');
      const drained = await system.runCli(['drain', holder]);
      expect(drained.code, drained.error).to.equal(0);
      const drainedEngine = system.engines[Number(holder.slice(-1)) - 1]!;
      await system.until('new work goes elsewhere', async () => {
        const prompt = `after ${Math.random()}`;
        await system.chat('router-2', prompt);
        return !drainedEngine.runCountByPrompt.has(prompt);
      });
      await system.chat('router-1', 'later');
      expect(drainedEngine.runCountByPrompt.has('later')).to.equal(false);
      expect(streamedText((await answer).text)).to.equal(expected);
    });
  });

  describe('requests that crash servers', () => {
    it('are quarantined after two crashes at most, on all routers, while others are answered', async () => {
      const poison = `please ${CRASH_MARK}`;
      const innocents = Array.from({ length: 6 }, (_, index) =>
        system.chat('router-2', `innocent ${index}`, { max_tokens: 20 }),
      );
      const crashes = () => system.engines.reduce((sum, engine) => sum + engine.crashCount, 0);
      for (let attempt = 0; attempt < 6; attempt++) {
        await system.chat(`router-${(attempt % 2) + 1}`, poison).catch(() => undefined);
      }
      const last = await system.chat('router-2', poison);
      expect(JSON.parse(last.text)).to.include({ title: 'quarantined', verdict: 'didNotRun' });
      expect(crashes()).to.be.at.most(2);
      const answers = await Promise.all(innocents);
      expect(answers.map((answer) => answer.status)).to.deep.equal([200, 200, 200, 200, 200, 200]);
      const listed = await system.runCli(['quarantine', 'list', '--json']);
      expect(JSON.parse(listed.out)).to.have.length(1);
    });
  });

  describe('when a router dies', () => {
    it('the other answers for its models within seconds, the platform being down', async () => {
      await system.chat('router-1', 'warm up');
      system.platform.faults.outage = true;
      system.fleet.getOrThrow('router-2').process.kill('SIGKILL');
      await system.until(
        'router-1 answers',
        async () => (await system.chat('router-1', 'alone')).status === 200,
      );
      const services = Array.from({ length: 5 }, (_, index) => system.chat('router-1', `alone ${index}`));
      for (const answer of await Promise.all(services)) {
        expect(answer.status).to.equal(200);
      }
    });
  });
});

describe('connections that go silent without a reset', () => {
  it('are abandoned in mid-answer, and the answer is resumed on a new one', async () => {
    const system = await TestSystem.start({ engineCount: 1 });
    const agent = system.fleet.getOrThrow('engine-1');
    const proxy = new SilencingProxy(agent.instance.peerAddress);
    try {
      system.platform.setInstance({ ...agent.instance, peerAddress: await proxy.start() });
      await system.until('work goes through the proxy', async () => {
        await system.chat('router-1', 'warm up');
        return proxy.silence() > 0;
      });
      const { answer, expected } = await startStream(system, 'router-1', 'silenced', 150);
      expect(proxy.silence()).to.be.greaterThan(0);
      expect(streamedText((await answer).text)).to.equal(expected);
      expect(system.engines[0]?.runCountByPrompt.get('silenced')).to.equal(1);
    } finally {
      await system.stop();
      await proxy.stop();
    }
  });
});
