import { expect } from 'chai';
import * as fc from 'fast-check';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { PlatformHeaderCodec } from '../../platform/PlatformHeaderCodec.js';
import type { AttemptHeaders, RequestHeaders, HeaderCodec } from '../../src/direct/index.js';
import { makeRoute } from './fleetFixtures.js';
import { RouterBench, stamped, type CallerGot } from './RouterBench.js';

/** Events of the whole stream. */
const EVENT_COUNT = 6;

/** What a server does with a stream after a number of events and a part of the next. */
interface StreamPlan {
  readonly eventCount: number;
  /** Bytes of the next event that still leave. */
  readonly partLength: number;
  readonly ending: 'cut' | 'endsEarly' | 'silence' | 'goesOn';
  readonly chunkLength: number;
}

function eventText(index: number): string {
  return `id: ${index}\ndata: token ${index}\n\n`;
}

/** Streams the events after the one that the request names, as the plan says. */
function stream(plan: StreamPlan, incoming: IncomingMessage, response: ServerResponse): void {
  const first = Number(incoming.headers['last-event-id'] ?? 0) + 1;
  const last = plan.ending === 'goesOn' ? EVENT_COUNT : Math.min(EVENT_COUNT, first - 1 + plan.eventCount);
  let text = '';
  for (let index = first; index <= last; index++) {
    text += eventText(index);
  }
  if (plan.ending !== 'goesOn' && last < EVENT_COUNT) {
    text += eventText(last + 1).slice(0, plan.partLength);
  }
  response.writeHead(200, stamped(incoming, 'text/event-stream'));
  for (let at = 0; at < text.length; at += plan.chunkLength) {
    response.write(text.slice(at, at + plan.chunkLength));
  }
  if (plan.ending === 'cut') {
    setTimeout(() => incoming.socket.destroy(), 10);
  } else if (plan.ending !== 'silence') {
    response.end();
  }
}

/** Checks a stream as its caller saw it. */
function checkStream(got: CallerGot | undefined): void {
  if (got?.status !== 200) {
    return;
  }
  expect(got.headers['response-stamp']).to.equal('s');
  let count = 0;
  while (count < EVENT_COUNT && got.text.startsWith(eventText(count + 1), lengthOf(count))) {
    count++;
  }
  expect(got.text, 'events are whole, in order, none twice').to.have.length(lengthOf(count));
}

/** Length of the first events. */
function lengthOf(eventCount: number): number {
  let length = 0;
  for (let index = 1; index <= eventCount; index++) {
    length += eventText(index).length;
  }
  return length;
}

/** Draws servers that break their streams off and checks what a caller sees. */
function checkStreams(makeCodec: () => HeaderCodec): Promise<void> {
  const plan = fc.record({
    eventCount: fc.nat(4),
    partLength: fc.nat(12),
    ending: fc.constantFrom('cut' as const, 'endsEarly' as const, 'silence' as const, 'goesOn' as const),
    chunkLength: fc.integer({ min: 3, max: 40 }),
  });
  const scenario = fc.record({
    plans: fc.array(plan, { minLength: 2, maxLength: 3 }),
    isResumable: fc.boolean(),
  });
  return fc.assert(
    fc.asyncProperty(scenario, async ({ plans, isResumable }) => {
      const bench = new RouterBench(makeCodec());
      let runCount = 0;
      for (const [index, next] of plans.entries()) {
        await bench.addServer('e'.repeat(index + 1), (incoming, response) => {
          runCount++;
          stream(next, incoming, response);
        });
      }
      const maxAttempts = isResumable ? 2 : 1;
      const route = makeRoute({
        isResumable,
        maxAttempts,
        timeoutMs: 700,
        latencyTargetMs: 60,
        maxGapMs: 20,
      });
      await bench.start([route]);
      try {
        checkStream(await bench.call('/drafts/x', { model: 'a' }).catch(() => undefined));
        expect(runCount).to.be.at.most(maxAttempts);
      } finally {
        await bench.close();
      }
    }),
    { numRuns: 40, seed: 1, endOnFailure: true },
  );
}

/** Lets the next server begin anew. */
class ForgetsLastEvent extends PlatformHeaderCodec {
  override encodeAttempt(
    call: RequestHeaders,
    attempt: AttemptHeaders,
  ): ReturnType<PlatformHeaderCodec['encodeAttempt']> {
    return super.encodeAttempt(call, { ...attempt, lastEventId: undefined });
  }
}

/** Names an event too far on to the next server. */
class SkipsAnEvent extends PlatformHeaderCodec {
  override encodeAttempt(
    call: RequestHeaders,
    attempt: AttemptHeaders,
  ): ReturnType<PlatformHeaderCodec['encodeAttempt']> {
    const { lastEventId } = attempt;
    const skipped = lastEventId === undefined ? undefined : String(Number(lastEventId) + 1);
    return super.encodeAttempt(call, { ...attempt, lastEventId: skipped });
  }
}

describe('streams', function () {
  this.timeout(120_000);

  it('reach the caller in whole events, in order, none twice, whatever three servers do', async () => {
    await checkStreams(() => new PlatformHeaderCodec());
  });

  for (const Broken of [ForgetsLastEvent, SkipsAnEvent]) {
    it(`are caught with ${Broken.name}`, async () => {
      const failure = await checkStreams(() => new Broken()).catch((error: unknown) => error);
      expect(failure).to.be.instanceOf(Error);
    });
  }
});
