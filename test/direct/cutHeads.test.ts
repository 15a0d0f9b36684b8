import { expect } from 'chai';
import { makeRoute } from './fleetFixtures.js';
import { requestRaw, type RawResponse } from './requestRaw.js';
import { RouterBench } from './RouterBench.js';

const EVENT = 'id: 1\ndata: one\n\n';
const SIGNATURE = 'Request-Id: r1\r\nResponse-Stamp: s\r\n';
const STATUS_LINE = 'HTTP/1.1 200 OK\r\n';
const STREAM = 'Content-Type: text/event-stream\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';

/** Heads of which a server sends a part only. */
const CUT_HEADS: Readonly<Record<string, string>> = {
  nothing: '',
  'a part of the version': 'HTT',
  'a part of the status': 'HTTP/1.1 2',
  'a status line without its end': 'HTTP/1.1 200 OK',
  'a status line': STATUS_LINE,
  'a status line with a bare LF': 'HTTP/1.1 200 OK\n',
  'a part of the signature': `${STATUS_LINE}Request-Id: r1\r\nResponse-St`,
  'a signature without its value': `${STATUS_LINE}Request-Id: r1\r\nResponse-Stamp: `,
  'a signature without the end of its line': `${STATUS_LINE}Request-Id: r1\r\nResponse-Stamp: s`,
  'a signature': `${STATUS_LINE}${SIGNATURE}`,
  'a signature and a CR': `${STATUS_LINE}${SIGNATURE}\r`,
  'a signature with bare LFs': 'HTTP/1.1 200 OK\nRequest-Id: r1\nResponse-Stamp: s\n',
  'a length without its value': `${STATUS_LINE}${SIGNATURE}Content-Length: `,
  'a length of 0 without the end of its line': `${STATUS_LINE}${SIGNATURE}Content-Length: 0`,
  'a part of a length': `${STATUS_LINE}${SIGNATURE}Content-Length: 1`,
  'a length of 0': `${STATUS_LINE}${SIGNATURE}Content-Length: 0\r\n`,
  'a length of 0 and a CR': `${STATUS_LINE}${SIGNATURE}Content-Length: 0\r\n\r`,
  'a type': `${STATUS_LINE}${SIGNATURE}${STREAM}`,
  'a type and chunks': `${STATUS_LINE}${SIGNATURE}${STREAM}${CHUNKED}`,
  'a status without a body': `HTTP/1.1 204 No Content\r\n${SIGNATURE}`,
  'an interim response': INTERIM,
  'an interim response and a part of a head': `${INTERIM}${STATUS_LINE}${SIGNATURE}Content-Length: 0\r\n`,
  'an unfinished interim response': `HTTP/1.1 100 Continue\r\n${SIGNATURE}`,
  'a whole head with a longer length': `${STATUS_LINE}${SIGNATURE}Content-Length: 9\r\n\r\n`,
  'a whole head with chunks': `${STATUS_LINE}${SIGNATURE}${CHUNKED}\r\n`,
  'a whole head with chunks and a part of the last one': `${STATUS_LINE}${SIGNATURE}${CHUNKED}\r\n0\r\n`,
};

describe('a server that stops in the head of its answer', function () {
  this.timeout(60_000);
  let bench: RouterBench;
  beforeEach(() => {
    bench = new RouterBench();
  });
  afterEach(() => bench.close());

  /** Requests a stream or a whole body from servers that send the given texts in this order. */
  async function requestFrom(
    texts: readonly string[],
    isReset: boolean,
    kind: 'stream' | 'idempotent' | 'nonIdempotent',
    version: '1.0' | '1.1',
  ): Promise<RawResponse> {
    const remaining = [...texts];
    for (let count = 1; count <= texts.length; count++) {
      await bench.addRawServer('e'.repeat(count), () => remaining.shift() ?? '', isReset);
    }
    const isResumable = kind === 'stream' && texts.length > 1;
    await bench.start([makeRoute({ kind, isResumable, maxAttempts: texts.length })]);
    return requestRaw(bench.callerPort, version);
  }

  for (const [name, text] of Object.entries(CUT_HEADS)) {
    for (const isReset of [false, true]) {
      const ending = `${name}, ${isReset ? 'reset' : 'closed'}`;
      for (const kind of ['stream', 'idempotent', 'nonIdempotent'] as const) {
        for (const version of ['1.0', '1.1'] as const) {
          it(`gives a caller of HTTP/${version} no success on a route of kind ${kind}: ${ending}`, async () => {
            const { status, text: body, headLines } = await requestFrom([text], isReset, kind, version);
            expect([status, headLines.includes('response-stamp: s')]).to.deep.equal([502, false]);
            expect(JSON.parse(body)).to.have.property('error');
          });
        }
      }

      it(`adds nothing to a stream that broke off: ${ending}`, async () => {
        const begun = `${STATUS_LINE}${SIGNATURE}${STREAM}\r\n${EVENT}id: 2`;
        const received = await requestFrom([begun, text], isReset, 'stream', '1.0');
        expect([received.status, received.text, received.isComplete]).to.deep.equal([200, EVENT, false]);
      });
    }
  }
});
