import { expect } from 'chai';
import { sleepMs } from '../waiting.js';
import { ORDER_SERVICE, TestSystem, type CallerResponse } from './TestSystem.js';

/** Time in which a claim is written, in milliseconds. */
const CLAIM_TIME_MS = 300;

/** Returns the verdict of a response; a success counts as `ran`. */
function getVerdict(response: CallerResponse): string {
  return response.status < 300 ? 'ran' : (JSON.parse(response.text) as { verdict: string }).verdict;
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

  /** Checks that every order ran at most once, and never when all its responses state `didNotRun`. */
  function expectAtMostOnce(responses: ReadonlyMap<string, readonly CallerResponse[]>): void {
    expect(system.orders.maxExecutions).to.be.at.most(1);
    for (const [reference, received] of responses) {
      if (received.every((response) => getVerdict(response) === 'didNotRun')) {
        expect(system.orders.executions.get(reference) ?? 0, reference).to.equal(0);
      }
    }
  }

  /** Sends every order four times, one after the other, each time through another router. */
  async function sendWithRetries(count: number, timeoutMs: number): Promise<Map<string, CallerResponse[]>> {
    const responses = new Map<string, CallerResponse[]>();
    await Promise.all(
      Array.from({ length: count }, async (_, index) => {
        const reference = `order-${index}`;
        const received: CallerResponse[] = [];
        responses.set(reference, received);
        for (let attempt = 0; attempt < 4; attempt++) {
          const router = `router-${((index + attempt) % 3) + 1}`;
          const response = await system
            .sendOrder(router, reference, `key-${index}`, timeoutMs)
            .catch(() => undefined);
          if (response) {
            received.push(response);
          }
        }
      }),
    );
    return responses;
  }

  it('when its caller retries it through every router; retries receive the recorded outcome', async () => {
    const responses = await sendWithRetries(20, 5_000);
    expectAtMostOnce(responses);
    for (const [reference, received] of responses) {
      expect(
        received.map((response) => response.status),
        reference,
      ).to.deep.equal([201, 201, 201, 201]);
      expect(received.at(-1)?.headers.get('idempotent-replayed')).to.equal('true');
    }
  });

  it('when two callers send it simultaneously through two routers', async () => {
    const pairs = await Promise.all(
      Array.from({ length: 20 }, (_, index) =>
        Promise.all(
          ['router-1', 'router-2'].map((router) =>
            system.sendOrder(router, `twin-${index}`, `twin-${index}`),
          ),
        ),
      ),
    );
    expect(system.orders.maxExecutions).to.equal(1);
    for (const pair of pairs) {
      expect(pair.some((response) => getVerdict(response) !== 'didNotRun')).to.equal(true);
    }
  });

  it('when the platform loses the responses to the claims', async () => {
    system.platform.faults.loseAnswers = 20;
    expectAtMostOnce(await sendWithRetries(20, 5_000));
  });

  it('when routers and agents are killed while it runs', async () => {
    const pendingResponses = sendWithRetries(60, 4_000);
    for (const id of ['router-2', 'orders-1']) {
      await new Promise((resolve) => setTimeout(resolve, 30));
      const { process } = system.fleet.getOrThrow(id);
      process.kill('SIGKILL');
      await process.waitForExit();
      await system.fleet.restart(id);
    }
    expectAtMostOnce(await pendingResponses);
  });

  it('when its agent is silent meanwhile; a retry is told when to ask again and then receives the outcome', async () => {
    const agents = ['orders-1', 'orders-2'].map((id) => system.fleet.getOrThrow(id).process);
    for (const agent of agents) {
      agent.kill('SIGSTOP');
    }
    const first = system.sendOrder('router-1', 'silent', 'silent', 9_000);
    await sleepMs(CLAIM_TIME_MS);
    const retry = await system.sendOrder('router-2', 'silent', 'silent', 9_000);
    for (const agent of agents) {
      agent.kill('SIGCONT');
    }
    expect([retry.status, getVerdict(retry)]).to.deep.equal([409, 'mayHaveRun']);
    expect(retry.headers.get('retry-after')).to.equal('1');
    expect((await first).status).to.equal(201);
    const later = await system.sendOrder('router-2', 'silent', 'silent');
    expect(later.headers.get('idempotent-replayed')).to.equal('true');
    expect(system.orders.executions.get('silent')).to.equal(1);
  });

  it('and is refused with didNotRun while the platform is unavailable', async () => {
    system.platform.faults.outage = true;
    const response = await system.sendOrder('router-1', 'later', 'later');
    expect(response.status).to.equal(503);
    expect(getVerdict(response)).to.equal('didNotRun');
    expect(response.headers.get('retry-after')).to.equal('1');
    system.platform.faults.outage = false;
    await system.waitUntil(
      'the order is executed',
      async () => (await system.sendOrder('router-2', 'later', 'later')).status === 201,
    );
    expect(system.orders.executions.get('later')).to.equal(1);
  });

  it('and its idempotency key is refused for another request', async () => {
    expect((await system.sendOrder('router-1', 'first', 'shared')).status).to.equal(201);
    const conflicting = await system.sendOrder('router-1', 'second', 'shared');
    expect(conflicting.status).to.equal(422);
    expect(getVerdict(conflicting)).to.equal('didNotRun');
    expect(system.orders.executions.has('second')).to.equal(false);
  });
});
