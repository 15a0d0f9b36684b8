import { expect } from 'chai';
import { request } from 'node:http';
import { delay, SystemClock } from '../../src/kernel/index.js';
import { EntryServer, type EntryServerDependencies } from '../../src/router/index.js';
import { Metrics } from '../../src/telemetry/index.js';
import { CallerConnection } from '../direct/CallerConnection.js';

const CLOCK = new SystemClock();
const GET_MODELS = 'GET /v1/models HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer t\r\n\r\n';
/** Port on which the router accepts callers. */
const PORT = 9_481;
/** Time after the stop signal after which a stopping router closes idle connections, in milliseconds. */
const STOP_GRACE_MS = 1_000;

/** Time in which a connection is answered or closed, in milliseconds. */
const ANSWER_TIMEOUT_MS = 2_000;
/** Time in which a router without requests stops, in milliseconds. */
const STOP_TIMEOUT_MS = 5_000;
/** Model whose list cannot be written, which shows only after the head of the response. */
const UNWRITABLE_MODEL = 1n as unknown as string;

const backgroundErrors: unknown[] = [];

/** Creates a router that only lists models. */
function createServer(models: readonly string[]): EntryServer {
  const deps: Partial<Record<keyof EntryServerDependencies, unknown>> = {
    address: { host: '127.0.0.1', port: PORT },
    incarnation: 'i',
    clock: CLOCK,
    metrics: new Metrics(),
    log: { backgroundError: (error: unknown) => backgroundErrors.push(error) },
    authenticator: { getOrganisation: () => ({}) },
    parser: { listModels: () => models },
  };
  return new EntryServer(deps as unknown as EntryServerDependencies);
}

describe('EntryServer', function () {
  this.timeout(20_000);

  describe('stop', () => {
    // Issue 30, LOST: a router that had stood still closed idle connections before it read the requests that had arrived.
    it('does not close a connection under a request that arrived while the process stood still', async () => {
      const server = createServer(['a']);
      await server.start();
      const connection = new CallerConnection(PORT);
      connection.write(GET_MODELS);
      expect(await connection.waitForStatus()).to.equal(200);
      const stopped = server.stop();
      await delay(CLOCK, STOP_GRACE_MS - 300);
      connection.write(GET_MODELS);
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600);
      expect(await connection.waitForStatus()).to.equal(200);
      connection.close();
      await stopped;
    });

    // Issue 39, FAULT: a request whose refusal could not be written never counted as ended, and a stop waited for it.
    it('ends although a refusal could not be written', async () => {
      const server = createServer([UNWRITABLE_MODEL]);
      await server.start();
      const isClosed = new Promise<boolean>((resolve) => {
        const outgoing = request({ port: PORT, path: '/v1/models', headers: { authorization: 'Bearer t' } });
        outgoing.on('error', () => resolve(true));
        outgoing.setTimeout(ANSWER_TIMEOUT_MS, () => resolve(false));
        outgoing.end();
      });
      const hasClosed = await isClosed;
      const stopped = server.stop().then(() => true);
      const hasStopped = await Promise.race([stopped, delay(CLOCK, STOP_TIMEOUT_MS).then(() => false)]);
      expect({ hasClosed, hasStopped }).to.deep.equal({ hasClosed: true, hasStopped: true });
      expect(backgroundErrors).to.have.length(1);
    });

    // Issue 30, LOST: a response that was complete, but not yet written, was cut.
    it('completes responses that their callers read slowly', async () => {
      const server = createServer(Array.from({ length: 100_000 }, (_, index) => `model-${index}`));
      await server.start();
      const isComplete = new Promise<boolean>((resolve) => {
        const outgoing = request({ port: PORT, path: '/v1/models', headers: { authorization: 'Bearer t' } });
        outgoing.on('error', () => resolve(false));
        outgoing.on('response', (response) => {
          response.on('error', () => resolve(false));
          response.on('end', () => resolve(response.complete));
          setTimeout(() => response.resume(), 1_600);
        });
        outgoing.end();
      });
      await delay(CLOCK, 300);
      const stopped = server.stop();
      expect(await isComplete).to.equal(true);
      await stopped;
    });
  });
});
