import { expect } from 'chai';
import * as fc from 'fast-check';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { PlatformHeaderCodec } from '../../platform/PlatformHeaderCodec.js';
import type { AttemptHeaders, RequestHeaders, HeaderCodec } from '../../src/direct/index.js';
import { makeRoute } from './fleetFixtures.js';
import { RouterBench, makeResponseHeaders, type ReceivedResponse } from './RouterBench.js';

/** Number of events of the complete stream. */
const EVENT_COUNT = 6;

/** Plan by which a server sends a number of events and a part of the next one, and then ends the stream. */
interface StreamPlan {
  readonly eventCount: number;
  /** Number of bytes of the next event that are sent. */
  readonly partialLength: number;
  readonly ending: 'cut' | 'endsEarly' | 'silence' | 'goesOn';
  readonly chunkLength: number;
}

function formatEvent(index: number): string {
  return `id: ${index}\ndata: token ${index}\n\n`;
}

/** Sends the events after the one named in the request, according to the plan. */
function sendStream(plan: StreamPlan, incoming: IncomingMessage, response: ServerResponse): void {
  const first = Number(incoming.headers['last-event-id'] ?? 0) + 1;
  const last = plan.ending === 'goesOn' ? EVENT_COUNT : Math.min(EVENT_COUNT, first - 1 + plan.eventCount);
  let text = '';
  for (let index = first; index <= last; index++) {
    text += formatEvent(index);
  }
  if (plan.ending !== 'goesOn' && last < EVENT_COUNT) {
    text += formatEvent(last + 1).slice(0, plan.partialLength);
  }
  response.writeHead(200, makeResponseHeaders(incoming, 'text/event-stream'));
  for (let offset = 0; offset < text.length; offset += plan.chunkLength) {
    response.write(text.slice(offset, offset + plan.chunkLength));
  }
  if (plan.ending === 'cut') {
    setTimeout(() => incoming.socket.destroy(), 10);
  } else if (plan.ending !== 'silence') {
    response.end();
  }
}

/** Checks a stream as received by the caller. */
function checkStream(received: ReceivedResponse | undefined): void {
  if (received?.status !== 200) {
    return;
  }
  expect(received.headers['response-stamp']).to.equal('s');
  let count = 0;
  while (count < EVENT_COUNT && received.text.startsWith(formatEvent(count + 1), getLength(count))) {
    count++;
  }
  expect(received.text, 'events are complete, in order and not duplicated').to.have.length(getLength(count));
}

/** Returns the length of the first events. */
function getLength(eventCount: number): number {
  let length = 0;
  for (let index = 1; index <= eventCount; index++) {
    length += formatEvent(index).length;
  }
  return length;
}

/** Generates servers that interrupt their streams and checks the stream that the caller receives. */
function checkStreams(makeCodec: () => HeaderCodec): Promise<void> {
  const plan = fc.record({
    eventCount: fc.nat(4),
    partialLength: fc.nat(12),
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
          sendStream(next, incoming, response);
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
        checkStream(await bench.sendRequest('/drafts/x', { model: 'a' }).catch(() => undefined));
        expect(runCount).to.be.at.most(maxAttempts);
      } finally {
        await bench.close();
      }
    }),
    { numRuns: 40, seed: 1, endOnFailure: true },
  );
}

/** Lets the next server start the stream from its beginning. */
class OmitsLastEventId extends PlatformHeaderCodec {
  override encodeAttempt(
    request: RequestHeaders,
    attempt: AttemptHeaders,
  ): ReturnType<PlatformHeaderCodec['encodeAttempt']> {
    return super.encodeAttempt(request, { ...attempt, lastEventId: undefined });
  }
}

/** Injected fault: the next server resumes one event too late. */
class SkipsAnEvent extends PlatformHeaderCodec {
  override encodeAttempt(
    request: RequestHeaders,
    attempt: AttemptHeaders,
  ): ReturnType<PlatformHeaderCodec['encodeAttempt']> {
    const { lastEventId } = attempt;
    const skipped = lastEventId === undefined ? undefined : String(Number(lastEventId) + 1);
    return super.encodeAttempt(request, { ...attempt, lastEventId: skipped });
  }
}

describe('streams', function () {
  this.timeout(120_000);

  it('reach the caller as complete events, in order and not duplicated, with up to three servers of any behaviour', async () => {
    await checkStreams(() => new PlatformHeaderCodec());
  });

  it('have no event twice although the next server starts them from their beginning', async () => {
    await checkStreams(() => new OmitsLastEventId());
  });

  it('are detected as faulty with SkipsAnEvent', async () => {
    const failure = await checkStreams(() => new SkipsAnEvent()).catch((error: unknown) => error);
    expect(failure).to.be.instanceOf(Error);
  });

  const FAULTY_TEXTS = {
    'an event twice': [1, 1, 2],
    'the stream from its beginning': [1, 2, 1, 2, 3],
    'a missing event': [1, 3],
    'events in another order': [2, 1],
  };
  for (const [name, indexes] of Object.entries(FAULTY_TEXTS)) {
    it(`are detected as faulty with ${name}`, () => {
      const text = indexes.map(formatEvent).join('');
      const received = { status: 200, headers: { 'response-stamp': 's' }, text, isComplete: false };
      expect(() => checkStream(received)).to.throw('events are complete');
    });
  }
});
