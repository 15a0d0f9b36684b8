import { expect } from 'chai';
import { makeRoute } from './fleetFixtures.js';
import { RouterBench, type ReceivedResponse } from './RouterBench.js';

const SIGNED = 'Request-Id: r1\r\nResponse-Stamp: s\r\n';
const LENGTH = 'Content-Length: 2\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const CHUNKS = '2\r\nhi\r\n0\r\n';
const OK = 'HTTP/1.1 200 OK\r\n';

/** Status lines that no answer begins with; RFC 9110, section 15: a status outside 100 to 599 is invalid. */
const STATUS_LINES = [
  'HTTP/1.1 000 None',
  'HTTP/1.1 001 None',
  'HTTP/1.1 010 None',
  'HTTP/1.1 099 None',
  'HTTP/1.1 20 OK',
  'HTTP/1.1 99 None',
  'HTTP/1.1 0200 OK',
  'HTTP/1.1 1000 OK',
  'HTTP/1.1 2e2 OK',
  'HTTP/1.1 OK',
  'HTTP/1.1 600 More',
  'HTTP/1.1 999 Most',
  // RFC 9112, section 2.3: the syntax of this protocol is that of major version 1.
  'HTTP/2.0 200 OK',
  'HTTP/0.9 200 OK',
  'HTTP/3.0 200 OK',
  'http/1.1 200 OK',
];

/** Lines of a head or of trailers that are not fields; RFC 9110, section 5. */
const LINES: Readonly<Record<string, string>> = {
  'a blank in the name': 'X Field: 1',
  'a blank before the colon': 'X-Field : 1',
  'a tab in the name': 'X\tField: 1',
  'a control byte in the name': 'X\x01Field: 1',
  'NUL in the name': 'X\0Field: 1',
  'DEL in the name': 'X\x7fField: 1',
  'the byte 0x80 in the name': 'X\x80Field: 1',
  'no name': ': 1',
  'no colon': 'X-Field',
  'a control byte in the value': 'X-Field: a\x01b',
  'NUL in the value': 'X-Field: a\0b',
  'DEL in the value': 'X-Field: a\x7fb',
};

/** Statements about the length of an answer that contradict each other or say nothing. */
const LENGTHS: Readonly<Record<string, string>> = {
  'two lengths': 'Content-Length: 2\r\nContent-Length: 1\r\n\r\nhi',
  'a list of lengths': 'Content-Length: 2, 1\r\n\r\nhi',
  'a length and chunks': `${LENGTH}${CHUNKED}\r\n${CHUNKS}\r\n`,
  'chunks and a length': `${CHUNKED}${LENGTH}\r\n${CHUNKS}\r\n`,
  'a negative length': 'Content-Length: -2\r\n\r\nhi',
  'a length with a sign': 'Content-Length: +2\r\n\r\nhi',
  'a length that is no number': 'Content-Length: two\r\n\r\nhi',
  'a size of a chunk that is no number': `${CHUNKED}\r\nzz\r\nhi\r\n0\r\n\r\n`,
  'a size of a chunk with a sign': `${CHUNKED}\r\n+2\r\nhi\r\n0\r\n\r\n`,
};

// Issue 56, MIXED: on other systems a caller got an answer with the status 000, or one with odd names of fields in its head.
describe('an answer with an odd head', function () {
  this.timeout(60_000);
  let bench: RouterBench;
  /** Bytes of an answer, in the pieces in which a server sends them. */
  let pieces: readonly string[];

  beforeEach(async () => {
    bench = new RouterBench();
    await bench.addSocketServer('p', (socket) => {
      socket.once('data', () => {
        for (const [index, piece] of pieces.entries()) {
          setTimeout(() => socket.write(Buffer.from(piece, 'latin1')), 5 * index);
        }
        setTimeout(() => socket.end(), 5 * pieces.length);
      });
    });
    await bench.start([makeRoute({ isResumable: false, maxAttempts: 1, kind: 'nonIdempotent' })]);
  });

  afterEach(() => bench.close());

  function send(...answer: readonly string[]): Promise<ReceivedResponse> {
    pieces = answer;
    return bench.sendRequest('/drafts/x');
  }

  async function expectRefused(...answer: readonly string[]): Promise<void> {
    const received = await send(...answer);
    expect([received.status, received.headers['response-stamp']]).to.deep.equal([502, undefined]);
  }

  for (const line of STATUS_LINES) {
    it(`is none: ${line}`, async () => {
      await expectRefused(`${line}\r\n${SIGNED}${LENGTH}\r\nhi`);
      await expectRefused(`${line}\r\n${SIGNED}\r\nhi`);
    });
  }

  for (const [name, line] of Object.entries(LINES)) {
    it(`is none with ${name}`, async () => {
      await expectRefused(`${OK}${SIGNED}${line}\r\n${LENGTH}\r\nhi`);
      await expectRefused(`${OK}${line}\r\n${SIGNED}\r\nhi`);
    });

    it(`is none with ${name} in its trailers`, async () => {
      await expectRefused(`${OK}${SIGNED}${CHUNKED}\r\n${CHUNKS}${line}\r\n\r\n`);
    });

    it(`is none with ${name} in an interim answer before it`, async () => {
      await expectRefused(`HTTP/1.1 103 Early Hints\r\n${line}\r\n\r\n${OK}${SIGNED}${LENGTH}\r\nhi`);
    });

    it(`is none with ${name}, in pieces`, async () => {
      await expectRefused(OK, SIGNED, line.slice(0, 1), `${line.slice(1)}\r\n`, `${LENGTH}\r\nhi`);
    });
  }

  for (const [name, rest] of Object.entries(LENGTHS)) {
    it(`is none with ${name}`, async () => {
      await expectRefused(`${OK}${SIGNED}${rest}`);
    });
  }

  it('is whole after interim answers, with trailers, and in pieces', async () => {
    const answers: string[][] = [
      [`HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${OK}${SIGNED}${LENGTH}\r\nhi`],
      [`${OK}${SIGNED}${CHUNKED}\r\n${CHUNKS}X-Field: 1\r\n\r\n`],
      [...`${OK}${SIGNED}${LENGTH}\r\nhi`.split(/(?=[\r\n:1])/)],
      [`HTTP/1.0 200 OK\r\n${SIGNED}${LENGTH}\r\nhi`],
      [`HTTP/1.1 599 Last\r\n${SIGNED}${LENGTH}\r\nhi`],
    ];
    const received: [number, string][] = [];
    for (const answer of answers) {
      const { status, text } = await send(...answer);
      received.push([status, text]);
    }
    expect(received).to.deep.equal([
      [200, 'hi'],
      [200, 'hi'],
      [200, 'hi'],
      [200, 'hi'],
      [599, 'hi'],
    ]);
  });
});
