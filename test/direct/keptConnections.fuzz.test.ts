import { expect } from 'chai';
import * as fc from 'fast-check';
import { Agent, request } from 'node:http';
import type { Socket } from 'node:net';
import { PlatformHeaderCodec } from '../../platform/PlatformHeaderCodec.js';
import type { HeaderCodec, ResponseHeaders } from '../../src/direct/index.js';
import { ANSWER_PLANS, PlannedAnswer, type AnswerPlan } from './AnswerPlan.js';
import { makeRoute } from './fleetFixtures.js';
import { onReset } from './onReset.js';
import { RouterBench, type ReceivedResponse } from './RouterBench.js';

/** Number of runs; set for longer runs by hand. */
const RUN_COUNT = Number(process.env.FUZZ_RUNS ?? 60);
const SEED = Number(process.env.FUZZ_SEED ?? 1);
/** Status of a refusal after an answer that was not whole. */
const STATUS_BAD_GATEWAY = 502;

const PATHS = { idempotent: '/plain/', nonIdempotent: '/once/', stream: '/drafts/' };
const ROUTES = (['idempotent', 'nonIdempotent', 'stream'] as const).map((kind) =>
  makeRoute({
    name: kind,
    kind,
    pathPrefix: PATHS[kind],
    isResumable: false,
    maxAttempts: 1,
    timeoutMs: 3_000,
  }),
);

/** Reads requests from a connection and sends the planned answer to each. */
function serve(socket: Socket, plans: readonly AnswerPlan[]): void {
  let text = '';
  let isAnswered = false;
  socket.on('data', (chunk) => {
    text += chunk.toString('latin1');
    const headEnd = text.indexOf('\r\n\r\n');
    const index = Number(/request-id: r(\d+)/i.exec(text)?.[1]);
    const plan = plans[index];
    if (isAnswered || headEnd < 0 || !plan) {
      return;
    }
    const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
    if (plan.isEarly || text.length >= headEnd + 4 + length) {
      isAnswered = true;
      void new PlannedAnswer(plan, `r${index}`).send(socket);
    }
  });
}

/** Sends a request on the agent's connection; resolves to undefined when it is closed without an answer. */
function sendRequest(
  port: number,
  index: number,
  plan: AnswerPlan,
  agent: Agent,
): Promise<ReceivedResponse | undefined> {
  return new Promise((resolve) => {
    const body = plan.method === 'POST' ? 'x'.repeat(plan.requestLength) : '';
    const outgoing = request({
      host: '127.0.0.1',
      port,
      method: plan.method,
      path: `${PATHS[plan.kind]}${index}`,
      agent,
      headers: { host: 'a.example', 'request-id': `r${index}` },
    });
    let isBroken = false;
    const onError = () => resolve(undefined);
    outgoing.on('error', onError);
    onReset(outgoing, () => (isBroken = true));
    outgoing.on('response', (response) => {
      outgoing.removeListener('error', onError);
      let text = '';
      response.on('data', (chunk: Buffer) => (text += chunk.toString()));
      response.on('error', () => undefined);
      response.on('close', () => {
        const { statusCode, headers, complete } = response;
        resolve({ status: statusCode ?? 0, headers, text, isComplete: complete && !isBroken });
      });
    });
    outgoing.end(body);
  });
}

/** Checks what a caller received against what the server sent. */
function checkReceived(answer: PlannedAnswer, received: ReceivedResponse | undefined): void {
  const { status } = answer.plan;
  if (answer.isSound) {
    expect(received, 'closed without an answer').to.not.equal(undefined);
    expect(received?.status).to.equal(status);
    expect(received?.text).to.equal(answer.text);
    expect(received?.isComplete, 'whole').to.equal(true);
    return;
  }
  if (answer.isCutInvisibly) {
    expect(received, 'closed without an answer').to.not.equal(undefined);
    return;
  }
  const hasBegun = answer.isStream && received?.status === status;
  if (hasBegun) {
    expect(answer.text.startsWith(received.text) && received.text.endsWith('\n\n')).to.equal(true);
    expect(received.isComplete, 'a part must not appear whole').to.equal(false);
    return;
  }
  expect(received?.status, 'closed without an answer').to.equal(STATUS_BAD_GATEWAY);
  expect(received?.isComplete).to.equal(true);
}

/** Runs a function and returns the errors that nothing caught meanwhile, instead of ending the process. */
async function collectUncaughtErrors(run: () => Promise<void>): Promise<unknown[]> {
  const events = ['uncaughtException', 'unhandledRejection'] as const;
  const errors: unknown[] = [];
  const record = (error: unknown) => errors.push(error);
  const listenersBefore = events.map((event) => process.listeners(event as 'uncaughtException'));
  for (const event of events) {
    process.removeAllListeners(event);
    process.on(event as 'uncaughtException', record);
  }
  try {
    await run();
  } finally {
    for (const [index, event] of events.entries()) {
      process.removeAllListeners(event);
      for (const listener of listenersBefore[index] ?? []) {
        process.on(event as 'uncaughtException', listener);
      }
    }
  }
  return errors;
}

/** Sends requests on one connection to a router in front of a server with the planned answers. */
async function checkPlans(codec: HeaderCodec, plans: readonly AnswerPlan[]): Promise<void> {
  const bench = new RouterBench(codec);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  await bench.addSocketServer('p', (socket) => serve(socket, plans));
  await bench.start(ROUTES);
  try {
    const errors = await collectUncaughtErrors(async () => {
      for (const [index, plan] of plans.entries()) {
        const received = await sendRequest(bench.callerPort, index, plan, agent);
        checkReceived(new PlannedAnswer(plan, `r${index}`), received);
      }
    });
    expect(errors, 'errors that nothing caught').to.deep.equal([]);
  } finally {
    agent.destroy();
    await bench.close();
  }
}

/** Generates answers to the requests of one kept connection and checks what the caller receives. */
function checkConnections(makeCodec: () => HeaderCodec): Promise<void> {
  return fc.assert(
    fc.asyncProperty(fc.array(ANSWER_PLANS, { minLength: 1, maxLength: 4 }), (plans) =>
      checkPlans(makeCodec(), plans),
    ),
    { numRuns: RUN_COUNT, seed: SEED, endOnFailure: process.env.FUZZ_SHRINK === undefined },
  );
}

/** Injected fault: adds a header that can't be sent, so that the answer fails within the router. */
class AddsInvalidHeader extends PlatformHeaderCodec {
  override decodeResponse(...args: Parameters<PlatformHeaderCodec['decodeResponse']>): ResponseHeaders {
    const decoded = super.decodeResponse(...args);
    return { ...decoded, forwarded: { ...decoded.forwarded, 'x-note': 'a\nb' } };
  }
}

/** Injected fault: takes sound answers for those of another request. */
class AcceptsNoResponse extends PlatformHeaderCodec {
  override decodeResponse(...args: Parameters<PlatformHeaderCodec['decodeResponse']>): ResponseHeaders {
    return { ...super.decodeResponse(...args), isAuthentic: false };
  }
}

describe('requests on a kept connection', function () {
  this.timeout(3_600_000);

  it('each receive the whole sound answer of their server, or a refusal', async () => {
    await checkConnections(() => new PlatformHeaderCodec());
  });

  for (const FaultyCodec of [AddsInvalidHeader, AcceptsNoResponse]) {
    it(`are detected as faulty with ${FaultyCodec.name}`, async () => {
      const failure = await checkConnections(() => new FaultyCodec()).catch((error: unknown) => error);
      expect(failure).to.be.instanceOf(Error);
    });
  }
});
