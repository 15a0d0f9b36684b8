import { expect } from 'chai';
import { request } from 'node:http';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import {
  makePlainText,
  makeStreamText,
  ModelWorker,
  ObjectStore,
  PlainWorker,
  type Worker,
  type WorkerOptions,
} from '../../standins/users/index.js';
import { sleepMs, waitUntil } from '../waiting.js';

/** Duration of a stall, in milliseconds; a response takes much less. */
const STALL_MS = 900;
/** Time after which a stream has begun and not ended, in milliseconds. */
const MID_STREAM_MS = 60;

interface Answer {
  text: string;
  isComplete: boolean | undefined;
  isChunked?: boolean;
  length?: string;
}

describe('Worker', () => {
  let reservation: LoopbackReservation;
  let store: ObjectStore;
  let worker: Worker;
  let options: WorkerOptions;

  beforeEach(async () => {
    reservation = await LoopbackReservation.create();
    store = new ObjectStore();
    options = {
      workerId: 'w1',
      service: 's',
      host: reservation.getAddress(1),
      port: await reservation.takePort(),
      store,
      onRun: () => undefined,
      drawFault: () => undefined,
    };
  });

  afterEach(async () => {
    worker.stop();
    await reservation.release();
  });

  function send(path: string, body = ''): Answer {
    const answer: Answer = { text: '', isComplete: undefined };
    const { host, port } = options;
    const headers = { 'request-id': 'q1', model: 'a', 'content-length': String(body.length) };
    const outgoing = request({ host, port, path, method: 'POST', headers, agent: false }, (response) => {
      answer.isChunked = response.headers['transfer-encoding'] === 'chunked';
      answer.length = response.headers['content-length'];
      response.on('data', (chunk: Buffer) => (answer.text += chunk.toString()));
      response.on('error', () => undefined);
      // After a reset, Node.js marks a response that ends with its connection as complete.
      response.on('close', () => (answer.isComplete ??= response.complete));
    });
    outgoing.on('error', () => (answer.isComplete = false));
    outgoing.end(body);
    return answer;
  }

  async function startWithModel(overrides: Partial<WorkerOptions> = {}): Promise<void> {
    worker = new ModelWorker({ ...options, ...overrides });
    await worker.start();
    send('/api/order', JSON.stringify({ Op: 'load', Model: 'a', Expect: 0 }));
    await waitUntil(async () => {
      const answer = send('/api/report');
      await waitUntil(() => answer.isComplete !== undefined, 1_000);
      return answer.text.includes('"Name":"a"');
    }, 5_000);
  }

  async function waitForEnd(answer: Answer): Promise<void> {
    await waitUntil(() => answer.isComplete !== undefined, 5_000);
  }

  describe('stall', () => {
    it('delays running and new requests, which are then complete', async () => {
      await startWithModel();
      const running = send('/stream/x');
      await sleepMs(MID_STREAM_MS);
      worker.stall(STALL_MS);
      const { text } = running;
      const pending = send('/stream/x');
      await sleepMs(STALL_MS / 2);
      expect(text).to.not.equal('');
      expect(running).to.include({ text, isComplete: undefined });
      expect(pending).to.include({ text: '', isComplete: undefined });
      await Promise.all([waitForEnd(running), waitForEnd(pending)]);
      expect(running).to.include({ text: makeStreamText('q1'), isComplete: true });
      expect(pending).to.include({ text: makeStreamText('q1'), isComplete: true });
    });
  });

  describe('drawUnframed', () => {
    it('sends a body without length and chunks, which ends with its connection', async () => {
      worker = new PlainWorker({ ...options, drawUnframed: () => true });
      await worker.start();
      const answer = send('/read/x');
      await waitForEnd(answer);
      expect(answer).to.deep.equal({
        text: makePlainText('q1'),
        isChunked: false,
        length: undefined,
        isComplete: true,
      });
    });

    it('lets no stream that a crash interrupts look complete', async () => {
      await startWithModel({ drawUnframed: () => true });
      const answer = send('/stream/x');
      await sleepMs(MID_STREAM_MS);
      worker.crash(0);
      await waitForEnd(answer);
      expect(answer).to.include({ isChunked: false, isComplete: false });
    });
  });
});
