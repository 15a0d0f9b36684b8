import { expect } from 'chai';
import type { Socket } from 'node:net';
import { ByteBudget } from '../../src/kernel/index.js';
import { type Route } from '../../src/direct/index.js';
import { Log } from '../../src/telemetry/index.js';
import { makeRoute } from './fleetFixtures.js';
import { requestRaw, type RawResponse } from './requestRaw.js';
import { RouterBench } from './RouterBench.js';

/** Time between the last byte of an answer and the end of its connection, in milliseconds. */
const END_DELAY_MS = 20;
/** Limits of streams whose servers fall silent, so that the silence and the deadline come early. */
const SHORT_LIMITS = { timeoutMs: 700, maxGapMs: 20 };
/** Retry budget that is exhausted from the start. */
const NO_RETRIES = { ratio: 0, slack: 0, windowMs: 10_000 };
/** Time for which a server is silent before it goes on, in milliseconds. */
const SILENCE_MS = 300;
const EVENTS = ['id: 1\ndata: one\n\n', 'id: 2\ndata: two\n\n', 'id: 3\ndata: three\n\n'];
const [FIRST_EVENT = '', SECOND_EVENT = '', THIRD_EVENT = ''] = EVENTS;
const ALL_EVENTS = EVENTS.join('');
const STREAM = 'Content-Type: text/event-stream\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const LAST_CHUNK = '0\r\n\r\n';

/** Keeps the log lines on ended requests. */
class RecordingLog extends Log {
  readonly endedRequests: Parameters<Log['decision']>[1][] = [];

  constructor() {
    super('test', () => undefined);
  }

  override decision(...[decision, fields]: Parameters<Log['decision']>): void {
    if (decision === 'request ended') {
      this.endedRequests.push(fields);
    }
  }
}

/** Answer of a server to one request. */
interface ServerAnswer {
  /** Status line, further headers and body after the headers that sign the answer. */
  readonly statusLine: string;
  readonly rest: string;
  readonly end: 'closed' | 'reset' | 'open';
}

function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function answer(statusLine: string, rest: string, end: ServerAnswer['end'] = 'closed'): ServerAnswer {
  return { statusLine, rest, end };
}

/** A whole answer with a length. */
function answerWhole(statusLine: string, headers: string, body: string): ServerAnswer {
  return answer(statusLine, `${headers}Content-Length: ${body.length}\r\n\r\n${body}`);
}

/** A stream in chunks; without the last chunk it is not complete. */
function answerChunks(text: string, end: ServerAnswer['end'], isWhole: boolean): ServerAnswer {
  const chunks = text === '' ? '' : formatChunk(text);
  return answer('200 OK', `${STREAM}${CHUNKED}\r\n${chunks}${isWhole ? LAST_CHUNK : ''}`, end);
}

/** A stream that ends with its connection. */
function answerUntilClose(text: string, end: ServerAnswer['end']): ServerAnswer {
  return answer('200 OK', `${STREAM}\r\n${text}`, end);
}

const BREAKS: Readonly<Record<string, ServerAnswer>> = {
  'chunks, reset': answerChunks(FIRST_EVENT, 'reset', false),
  'chunks, closed in the middle of an event': answerChunks(`${FIRST_EVENT}id: 2\nda`, 'closed', false),
  'no length, reset': answerUntilClose(FIRST_EVENT, 'reset'),
  'no length, closed in the middle of an event': answerUntilClose(`${FIRST_EVENT}id: 2\nda`, 'closed'),
};

/** Whole answers that do not continue a stream. */
const OTHER_ANSWERS: Readonly<Record<string, ServerAnswer>> = {
  '500': answerWhole('500 Internal Server Error', 'Content-Type: application/json\r\n', '{"error":"x"}'),
  '500 in chunks': answer('500 Internal Server Error', `${CHUNKED}\r\n${formatChunk('failed')}${LAST_CHUNK}`),
  '500 without a length': answer('500 Internal Server Error', '\r\nfailed'),
  '500 with events': answerWhole('500 Internal Server Error', STREAM, SECOND_EVENT),
  '502': answerWhole('502 Bad Gateway', '', 'failed'),
  '504': answerWhole('504 Gateway Timeout', '', 'failed'),
  '404': answerWhole('404 Not Found', '', 'missing'),
  '409 without a body': answerWhole('409 Conflict', '', ''),
  '301': answerWhole('301 Moved Permanently', 'Location: /\r\n', ''),
  '200 of another type': answerWhole('200 OK', 'Content-Type: application/json\r\n', '{"a":1}'),
  '200 without a type or a length': answer('200 OK', '\r\n'),
  '201 with events': answerWhole('201 Created', STREAM, SECOND_EVENT),
  '204': answer('204 No Content', '\r\n'),
  '204 with the type of a stream': answer('204 No Content', `${STREAM}\r\n`),
};

/**
 * Streams that break off before their first event. A request on which two servers broke off may have crashed them, so no third
 * one gets it.
 */
const BROKEN_ANSWERS: Readonly<Record<string, ServerAnswer>> = {
  '200 stream without a length, closed before its first event': answerUntilClose('', 'closed'),
  '200 stream without a length, reset before its first event': answerUntilClose('', 'reset'),
  '200 stream without a length, closed in its first event': answerUntilClose('id: 2\n', 'closed'),
  '200 stream in chunks, closed before its first event': answerChunks('', 'closed', false),
  '200 stream with a length, closed before its first event': answer(
    '200 OK',
    `${STREAM}Content-Length: 9\r\n\r\n`,
  ),
};

describe('a stream that broke off', function () {
  this.timeout(60_000);
  let bench: RouterBench;
  let log: RecordingLog;
  beforeEach(() => {
    bench = new RouterBench();
    log = new RecordingLog();
    bench.log = log;
  });
  afterEach(() => bench.close());

  /** Adds servers of which the one that receives the first request sends the first answer, and so on. */
  async function addServers(answers: readonly ServerAnswer[]): Promise<void> {
    let requestCount = 0;
    for (let count = 1; count <= answers.length; count++) {
      await bench.addSocketServer('e'.repeat(count), (socket) => {
        socket.once('data', () => send(socket, answers[requestCount++]));
      });
    }
  }

  function send(socket: Socket, next: ServerAnswer | undefined): void {
    if (!next) {
      socket.destroy();
      return;
    }
    const { statusLine, rest, end } = next;
    socket.write(`HTTP/1.1 ${statusLine}\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n${rest}`);
    if (end !== 'open') {
      setTimeout(() => (end === 'reset' ? socket.resetAndDestroy() : socket.end()), END_DELAY_MS);
    }
  }

  /** Requests a stream from servers that send the given answers in this order. */
  async function requestFrom(
    answers: readonly ServerAnswer[],
    version: '1.0' | '1.1' = '1.1',
    headers: readonly string[] = [],
    limits: Partial<Route> = {},
  ): Promise<RawResponse> {
    await addServers(answers);
    await bench.start([makeRoute({ maxAttempts: 3, ...limits })]);
    return requestRaw(bench.callerPort, version, headers);
  }

  /** Expects that the only request is logged as a stream that was broken off. */
  function expectCut(): void {
    expect(log.endedRequests).to.have.length(1);
    expect(log.endedRequests[0]).to.include({ outcome: 'refused 502', isCut: true });
  }

  const [[, anyBreak] = ['', answerChunks('', 'reset', false)]] = Object.entries(BREAKS);

  for (const version of ['1.0', '1.1'] as const) {
    for (const [breakName, broken] of Object.entries(BREAKS)) {
      for (const [name, next] of Object.entries({ ...OTHER_ANSWERS, ...BROKEN_ANSWERS })) {
        // Issue 39, ORDER: a stream ended as complete after 204 with the type of a stream, or a stream without length and events.
        it(`is not complete to a caller of HTTP/${version} after ${breakName}, and ${name}`, async () => {
          const received = await requestFrom([broken, next], version);
          const { status, text, isComplete } = received;
          expect([status, text, isComplete]).to.deep.equal([200, FIRST_EVENT, false]);
        });
      }
    }
  }

  for (const [name, other] of Object.entries(OTHER_ANSWERS)) {
    // Issue 39, ORDER: an answer that cannot continue the stream ended it although a third server could.
    it(`goes on at a third server after ${name}`, async () => {
      const rest = answerChunks(SECOND_EVENT + THIRD_EVENT, 'open', true);
      const { status, text, isComplete } = await requestFrom([anyBreak, other, rest]);
      expect([status, text, isComplete]).to.deep.equal([200, ALL_EVENTS, true]);
    });

    // Issue 39: the log named the answer that no caller got.
    it(`is logged as cut after ${name}`, async () => {
      await requestFrom([anyBreak, other]);
      expectCut();
    });
  }

  /** Whole streams without events: their server states that nothing is left. */
  const EMPTY_STREAMS = {
    'in chunks': answerChunks('', 'open', true),
    'with a length': answer('200 OK', `${STREAM}Content-Length: 0\r\n\r\n`, 'open'),
  };
  for (const [name, empty] of Object.entries(EMPTY_STREAMS)) {
    it(`is complete after a whole stream without events ${name}`, async () => {
      const { status, text, isComplete } = await requestFrom([anyBreak, empty]);
      expect([status, text, isComplete]).to.deep.equal([200, FIRST_EVENT, true]);
    });
  }

  for (const [name, broken] of Object.entries(BROKEN_ANSWERS)) {
    // Issue 39, ORDER: a stream without a length, closed before its first event, was a whole answer without a body.
    it(`does not begin with ${name}`, async () => {
      const { status } = await requestFrom([broken]);
      expect(status).to.equal(502);
    });

    it(`begins at the next server after ${name}`, async () => {
      const { status, text, isComplete } = await requestFrom([
        broken,
        answerChunks(ALL_EVENTS, 'open', true),
      ]);
      expect([status, text, isComplete]).to.deep.equal([200, ALL_EVENTS, true]);
    });
  }

  // Issue 39: the stored answer of the first server was passed on, and only an exception kept it out of the stream.
  it('is cut, not answered with the error of a server before the stream', async () => {
    const error = answerWhole('500 Internal Server Error', '', 'failed');
    const { status, text, isComplete } = await requestFrom([error, anyBreak]);
    expect([status, text, isComplete]).to.deep.equal([200, FIRST_EVENT, false]);
    expectCut();
  });

  it('goes on at a third server after the error of a server before the stream', async () => {
    const error = answerWhole('500 Internal Server Error', '', 'failed');
    const rest = answerChunks(SECOND_EVENT + THIRD_EVENT, 'open', true);
    const { status, text, isComplete } = await requestFrom([error, anyBreak, rest]);
    expect([status, text, isComplete]).to.deep.equal([200, ALL_EVENTS, true]);
  });

  const RESUMES = ['Last-Event-Id: 1', 'Resumes: r1'];
  for (const [name, other] of Object.entries(OTHER_ANSWERS)) {
    it(`is answered with ${name} if the caller takes it up and the first server says so`, async () => {
      await requestFrom([answerChunks(ALL_EVENTS, 'open', true), other, other, other]);
      const { status, isComplete } = await requestRaw(bench.callerPort, '1.1', RESUMES);
      expect(isComplete).to.equal(true);
      expect(status).to.equal(Number(other.statusLine.slice(0, 3)));
    });
  }

  /** Streams of servers that begin anew instead of after the last event. */
  const REPEATS = {
    'from its first event': ALL_EVENTS,
    'from its last event': SECOND_EVENT + THIRD_EVENT,
  };
  for (const version of ['1.0', '1.1'] as const) {
    for (const [name, text] of Object.entries(REPEATS)) {
      const begun = FIRST_EVENT + SECOND_EVENT;
      // Issue 39, ORDER: events that the caller had were passed on again.
      it(`has no event twice for a caller of HTTP/${version} if the next server sends it ${name}`, async () => {
        const received = await requestFrom(
          [answerChunks(begun, 'reset', false), answerChunks(text, 'open', true)],
          version,
        );
        expect([received.text, received.isComplete]).to.deep.equal([begun, false]);
      });

      it(`goes on for a caller of HTTP/${version} at a third server if the next one sends it ${name}`, async () => {
        const received = await requestFrom(
          [
            answerChunks(begun, 'reset', false),
            answerChunks(text, 'open', true),
            answerChunks(THIRD_EVENT, 'open', true),
          ],
          version,
        );
        expect([received.text, received.isComplete]).to.deep.equal([ALL_EVENTS, true]);
      });
    }
  }

  const EVENT_WITHOUT_ID = 'data: one\n\n';
  for (const end of ['reset', 'open'] as const) {
    // Issue 39, ORDER: events without ids were passed on again from the first one.
    it(`is not begun anew if its events have no ids and it is ${end === 'reset' ? end : 'silent'}`, async () => {
      const whole = answerChunks(EVENT_WITHOUT_ID.repeat(2), 'open', true);
      const received = await requestFrom([answerChunks(EVENT_WITHOUT_ID, end, false), whole]);
      expect([received.text, received.isComplete]).to.deep.equal([EVENT_WITHOUT_ID, false]);
    });
  }

  for (const version of ['1.0', '1.1'] as const) {
    describe(`to a caller of HTTP/${version}`, () => {
      async function expectBrokenOff(
        answers: readonly ServerAnswer[],
        limits: Partial<Route> = {},
      ): Promise<void> {
        const { status, text, isComplete } = await requestFrom(answers, version, [], limits);
        expect([status, text, isComplete]).to.deep.equal([200, FIRST_EVENT, false]);
        expect(log.endedRequests.map(({ isCut }) => isCut)).to.deep.equal([true]);
      }

      it('is not complete if no other server is left', () => expectBrokenOff([anyBreak]));

      it('is not complete if the retry budget is exhausted', () => {
        bench.retryLimits = NO_RETRIES;
        return expectBrokenOff([anyBreak, answerChunks(SECOND_EVENT, 'open', true)]);
      });

      it('is not complete if the time is over while the next server is silent', () =>
        expectBrokenOff([anyBreak, answerChunks('', 'open', false)], SHORT_LIMITS));

      it('is not complete if there is no memory for the next answer', () => {
        bench.bufferBudget = new ByteBudget(0);
        return expectBrokenOff([anyBreak, answerWhole('500 Internal Server Error', '', 'failed')]);
      });

      for (const [name, other] of Object.entries(OTHER_ANSWERS)) {
        it(`is not complete if its server is silent and the next one answers with ${name}`, () =>
          expectBrokenOff([answerChunks(FIRST_EVENT, 'open', false), other, other], SHORT_LIMITS));

        it(`is not complete after a second break and ${name}`, async () => {
          const answers = [anyBreak, answerChunks(`${SECOND_EVENT}id: 3`, 'closed', false), other];
          const { status, text, isComplete } = await requestFrom(answers, version);
          expect([status, text, isComplete]).to.deep.equal([200, FIRST_EVENT + SECOND_EVENT, false]);
        });
      }
    });
  }

  for (const [name, other] of Object.entries({ ...OTHER_ANSWERS, ...BROKEN_ANSWERS })) {
    // Issue 39, service: a silent server was left for one that answered with something else than the rest, or with the head of a
    // stream that broke off before its first event.
    it(`is completed by its silent server if the next one answers with ${name}`, async () => {
      let requestCount = 0;
      for (const id of ['e', 'ee', 'eee']) {
        await bench.addSocketServer(id, (socket) => {
          socket.once('data', () => {
            if (++requestCount > 1) {
              send(socket, other);
              return;
            }
            send(socket, answerChunks(FIRST_EVENT, 'open', false));
            const rest = formatChunk(SECOND_EVENT + THIRD_EVENT) + LAST_CHUNK;
            setTimeout(() => socket.write(rest), SILENCE_MS);
          });
        });
      }
      await bench.start([makeRoute({ maxAttempts: 3, maxGapMs: SHORT_LIMITS.maxGapMs })]);
      const { text, isComplete } = await requestRaw(bench.callerPort, '1.1');
      expect([text, isComplete]).to.deep.equal([ALL_EVENTS, true]);
      expect(requestCount).to.be.greaterThan(1);
    });
  }
});
