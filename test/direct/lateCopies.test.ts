import { expect } from 'chai';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { HttpBackendClient } from '../../src/agent/HttpBackendClient.js';
import type { RunRequest } from '../../src/domain/index.js';
import { makeEntry, makeRoute, ORDERS } from './fleetFixtures.js';
import { RouterBench } from './RouterBench.js';

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
});
