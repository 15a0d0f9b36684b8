import { expect } from 'chai';
import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { CallerResponse } from '../../src/direct/index.js';

const HEAD = { status: 200, headers: {} };
const BODY = Buffer.from('body');
const STATUS_BAD_GATEWAY = 502;

/** Calls that change a response. */
const CALLS = {
  sendResponse: (caller: CallerResponse) => caller.sendResponse(HEAD, BODY),
  beginStream: (caller: CallerResponse) => caller.beginStream(HEAD),
  sendEvents: (caller: CallerResponse) => caller.sendEvents(BODY),
  endStream: (caller: CallerResponse) => caller.endStream(),
  refuse: (caller: CallerResponse) => caller.refuse(STATUS_BAD_GATEWAY, 'failed', undefined),
  closeConnection: (caller: CallerResponse) => caller.closeConnection(),
};
type Call = keyof typeof CALLS;

describe('CallerResponse', () => {
  let response: ServerResponse;
  let caller: CallerResponse;
  let refusals: number[];

  beforeEach(() => {
    response = new ServerResponse(new IncomingMessage(new Socket()));
    refusals = [];
    caller = new CallerResponse(response, (status) => {
      refusals.push(status);
      response.writeHead(status).end();
    });
  });

  const WRONG: readonly { readonly after: readonly Call[]; readonly calls: readonly Call[] }[] = [
    { after: [], calls: ['sendEvents', 'endStream'] },
    { after: ['beginStream'], calls: ['beginStream', 'sendResponse', 'refuse'] },
    { after: ['beginStream', 'sendEvents'], calls: ['beginStream', 'sendResponse', 'refuse'] },
    {
      after: ['beginStream', 'endStream'],
      calls: ['beginStream', 'sendEvents', 'endStream', 'sendResponse', 'refuse'],
    },
    { after: ['sendResponse'], calls: ['beginStream', 'sendEvents', 'endStream', 'sendResponse', 'refuse'] },
    { after: ['refuse'], calls: ['beginStream', 'sendEvents', 'endStream', 'sendResponse', 'refuse'] },
    {
      after: ['closeConnection'],
      calls: ['beginStream', 'sendEvents', 'endStream', 'sendResponse', 'refuse'],
    },
  ];
  for (const { after, calls } of WRONG) {
    for (const call of calls) {
      // Issue 39, MIXED: a whole answer was sent after a stream had begun, and only Node.js refused its second head.
      it(`refuses ${call} ${after.length === 0 ? 'at first' : `after ${after.join(', ')}`}, and sends nothing`, () => {
        for (const earlier of after) {
          CALLS[earlier](caller);
        }
        const { headersSent, writableEnded, writableLength } = response;
        const refusalCount = refusals.length;
        expect(() => CALLS[call](caller)).to.throw('The response to the caller is');
        expect(response).to.include({ headersSent, writableEnded, writableLength });
        expect(refusals).to.have.length(refusalCount);
      });
    }
  }

  describe('fail', () => {
    it('refuses a request without a response', () => {
      caller.fail(STATUS_BAD_GATEWAY, 'failed');
      expect(refusals).to.deep.equal([STATUS_BAD_GATEWAY]);
    });

    it('breaks a stream off', () => {
      caller.beginStream(HEAD);
      caller.fail(STATUS_BAD_GATEWAY, 'failed');
      expect([refusals, response.destroyed]).to.deep.equal([[], true]);
    });

    it('leaves a whole response as it is', () => {
      caller.sendResponse(HEAD, BODY);
      caller.fail(STATUS_BAD_GATEWAY, 'failed');
      expect([refusals, response.destroyed, response.writableEnded]).to.deep.equal([[], false, true]);
    });
  });
});
