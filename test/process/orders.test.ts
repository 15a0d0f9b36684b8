import { expect } from 'chai';
import { ORDER_SERVICE, TestSystem, type CallerResponse } from './TestSystem.js';

/** Verdict of an answer, as its caller reads it. */
function verdictOf(answer: CallerResponse): string {
  return answer.status < 300 ? 'ran' : (JSON.parse(answer.text) as { verdict: string }).verdict;
}

describe('a non-idempotent request runs at most once', () => {
  let system: TestSystem;

  beforeEach(async () => {
    system = await TestSystem.start({
      routerCount: 3,
      engineCount: 0,
      orderCount: 2,
      services: [ORDER_SERVICE],
    });
  });

  afterEach(() => system.stop());

  /** Every reference ran once at most, and not at all where the caller was told so. */
  function expectAtMostOnce(answers: ReadonlyMap<string, readonly CallerResponse[]>): void {
    expect(system.orders.maxExecutions).to.be.at.most(1);
    for (const [reference, given] of answers) {
      if (given.every((answer) => verdictOf(answer) === 'didNotRun')) {
        expect(system.orders.executions.get(reference) ?? 0, reference).to.equal(0);
      }
    }
  }

  /** Sends orders, and each of them again through other routers until it has run or may have. */
  async function sendWithRepeats(count: number, timeoutMs: number): Promise<Map<string, CallerResponse[]>> {
    const answers = new Map<string, CallerResponse[]>();
    await Promise.all(
      Array.from({ length: count }, async (_, index) => {
        const reference = `order-${index}`;
        const given: CallerResponse[] = [];
        answers.set(reference, given);
        for (let attempt = 0; attempt < 4; attempt++) {
          const router = `router-${((index + attempt) % 3) + 1}`;
          const answer = await system
            .order(router, reference, `key-${index}`, timeoutMs)
            .catch(() => undefined);
          if (answer) {
            given.push(answer);
          }
        }
      }),
    );
    return answers;
  }

  it('when its caller repeats it through every router; repeats get the recorded outcome', async () => {
    const answers = await sendWithRepeats(20, 5_000);
    expectAtMostOnce(answers);
    for (const [reference, given] of answers) {
      expect(
        given.map((answer) => answer.status),
        reference,
      ).to.deep.equal([201, 201, 201, 201]);
      expect(given.at(-1)?.headers.get('idempotent-replayed')).to.equal('true');
    }
  });

  it('when two callers send it at the same moment through two routers', async () => {
    const pairs = await Promise.all(
      Array.from({ length: 20 }, (_, index) =>
        Promise.all(
          ['router-1', 'router-2'].map((router) => system.order(router, `twin-${index}`, `twin-${index}`)),
        ),
      ),
    );
    expect(system.orders.maxExecutions).to.equal(1);
    for (const pair of pairs) {
      expect(pair.some((answer) => verdictOf(answer) !== 'didNotRun')).to.equal(true);
    }
  });

  it('when the platform loses the answers to the claims', async () => {
    system.platform.faults.loseAnswers = 20;
    expectAtMostOnce(await sendWithRepeats(20, 5_000));
  });

  it('when routers and agents are killed while it runs', async () => {
    const sending = sendWithRepeats(60, 4_000);
    for (const id of ['router-2', 'orders-1']) {
      await new Promise((resolve) => setTimeout(resolve, 30));
      const { process } = system.fleet.getOrThrow(id);
      process.kill('SIGKILL');
      await process.whenExited();
      await system.fleet.restart(id);
    }
    expectAtMostOnce(await sending);
  });

  it('and is refused with didNotRun while the platform is down', async () => {
    system.platform.faults.outage = true;
    const answer = await system.order('router-1', 'later', 'later');
    expect(answer.status).to.equal(503);
    expect(verdictOf(answer)).to.equal('didNotRun');
    expect(answer.headers.get('retry-after')).to.equal('1');
    system.platform.faults.outage = false;
    await system.until(
      'the order goes through',
      async () => (await system.order('router-2', 'later', 'later')).status === 201,
    );
    expect(system.orders.executions.get('later')).to.equal(1);
  });

  it('and a key is refused for another request, and is apart from the same key of another organisation', async () => {
    expect((await system.order('router-1', 'first', 'shared')).status).to.equal(201);
    const other = await system.order('router-1', 'second', 'shared');
    expect(other.status).to.equal(422);
    expect(verdictOf(other)).to.equal('didNotRun');
    expect(system.orders.executions.has('second')).to.equal(false);
  });
});
