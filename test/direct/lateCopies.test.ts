import { expect } from 'chai';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { HttpBackendClient } from '../../src/agent/HttpBackendClient.js';
import { HttpEnginePort } from '../../platform/HttpEnginePort.js';
import { toModelId, type RunRequest } from '../../src/domain/index.js';
import { SystemClock } from '../../src/kernel/index.js';
import { sleepMs } from '../waiting.js';
import { makeEntry, makeRoute, ORDERS } from './fleetFixtures.js';
import { RouterBench } from './RouterBench.js';

/** Time from a request to its own answer, in milliseconds; a copy of an earlier answer comes first. */
const ANSWER_DELAY_MS = 50;
/** Number of requests, one after the other, so that connections would be reused. */
const REQUEST_COUNT = 8;

/**
 * Server that answers each request twice: the second copy of an answer is sent late, when the next request of the same
 * connection has just arrived, before that request's own answer.
 */
class RepeatingServer {
  private readonly sockets = new Set<Socket>();
  private readonly server: Server = createServer((socket) => this.accept(socket));

  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    for (const socket of this.sockets) {
      socket.destroy();
    }
    this.server.close();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    this.answer(socket);
  }

  protected answer(socket: Socket): void {
    let lateCopy = '';
    socket.on('data', (chunk) => {
      const request = chunk.toString();
      if (!request.startsWith('POST')) {
        return;
      }
      const id = /(?:request-id|x-attempt-id): (\S+)/i.exec(request)?.[1] ?? '';
      const body = `for ${id}`;
      const answer =
        `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nresponse-stamp: s\r\n` +
        `content-type: text/plain\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
      socket.write(lateCopy + answer);
      lateCopy = answer;
    });
  }
}

/**
 * Server that refuses the first request and accepts the others. When another request arrives on the connection of the refusal, it
 * writes the refusal once more before its answer.
 */
class RefusingServer extends RepeatingServer {
  private hasRefused = false;

  /** @param refusal - Status line of the refusal. */
  constructor(private readonly refusal: string) {
    super();
  }

  protected override answer(socket: Socket): void {
    const refusal = `HTTP/1.1 ${this.refusal}\r\ncontent-length: 0\r\n\r\n`;
    let lateCopy = '';
    socket.on('data', () => {
      if (!this.hasRefused) {
        this.hasRefused = true;
        lateCopy = refusal;
        socket.write(refusal);
        return;
      }
      socket.write(lateCopy);
      setTimeout(() => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'), ANSWER_DELAY_MS);
    });
  }
}

const ORDER = { orderNumber: 1, kind: 'load', itemId: 'a', sizeBytes: 1, isAdapter: false } as const;

const RUN_REQUEST = {
  method: 'POST',
  path: '/make',
  body: '{}',
  modelId: toModelId('s/a'),
  attemptId: 'r1',
  cacheSalt: '',
  requestClass: 'interactive',
} as unknown as RunRequest;

describe('late copies of an answer', function () {
  this.timeout(20_000);
  let server: RepeatingServer;
  let address: string;

  beforeEach(async () => {
    server = new RepeatingServer();
    address = await server.start();
  });

  afterEach(() => server.stop());

  it('never reach the next caller of a router that sends to servers itself', async () => {
    const bench = new RouterBench();
    bench.view.applyEntry(makeEntry('p', { address, serviceId: ORDERS }));
    await bench.start([makeRoute({ kind: 'idempotent', targets: [{ serviceId: ORDERS, weight: 1 }] })]);
    for (let index = 0; index < REQUEST_COUNT; index++) {
      const received = await bench.sendRequest('/drafts/x', { 'request-id': `r${index}` });
      expect(received.text).to.equal(`for r${index}`);
    }
    await bench.close();
  });

  it('never reach the next request of an agent', async () => {
    const client = new HttpBackendClient(`http://${address}`, 4);
    for (let index = 0; index < REQUEST_COUNT; index++) {
      let text = '';
      const runRequest = {
        method: 'POST',
        path: '/make',
        body: '{}',
        attemptId: `r${index}`,
        cacheSalt: '',
        requestClass: 'interactive',
      } as unknown as RunRequest;
      const result = await client.run(
        runRequest,
        (piece) => (text += piece.text),
        new AbortController().signal,
      );
      expect(result.kind).to.equal('complete');
      expect(text).to.equal(`for r${index}`);
    }
    await client.close();
  });

  describe('of a refusal', () => {
    let refusing: RefusingServer;
    let client: HttpBackendClient;

    beforeEach(async () => {
      refusing = new RefusingServer('404 Not Found');
      client = new HttpBackendClient(`http://${await refusing.start()}`, undefined);
    });

    afterEach(async () => {
      await client.close();
      refusing.stop();
    });

    // Issue 36, REFUSED and TWICE: a run was told 'not sent' by the refusal of an earlier order, while the server ran it.
    it('never reach a run after an order', async () => {
      expect(await client.sendOrder(ORDER)).to.equal('refused');
      await sleepMs(ANSWER_DELAY_MS);
      const result = await client.run(RUN_REQUEST, () => undefined, new AbortController().signal);
      expect(result.kind).to.equal('complete');
    });

    // Issue 36: the refusal of an order was taken for the answer to the next one.
    it('never reach the next order of an agent', async () => {
      expect(await client.sendOrder(ORDER)).to.equal('refused');
      await sleepMs(ANSWER_DELAY_MS);
      expect(await client.sendOrder(ORDER)).to.equal('done');
    });

    it('never reach an order after a state request', async () => {
      expect(await client.readState()).to.equal(undefined);
      await sleepMs(ANSWER_DELAY_MS);
      expect(await client.sendOrder(ORDER)).to.equal('done');
    });
  });

  // Issue 36: the same on the users' platform.
  it("of a refusal never reach the next order on the users' platform", async () => {
    const refusing = new RefusingServer('409 Conflict');
    const port = new HttpEnginePort(new SystemClock(), await refusing.start(), 'side-1');
    const order = {
      kind: 'load',
      model: 'a',
      bornAtMs: 1,
      expectedOrderCount: 0,
      fenceNumber: 1,
      instanceId: undefined,
    } as const;
    expect(await port.sendOrder(order)).to.equal('conflict');
    await sleepMs(ANSWER_DELAY_MS);
    expect(await port.sendOrder(order)).to.equal('alreadyDone');
    refusing.stop();
  });
});
