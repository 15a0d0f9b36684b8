/** Stand-ins for the users' workers. */
import { createServer } from 'node:http';

export const HEALTH_PATH = '/health';

/** Worker that listens on an address, has an entry in the store, and can crash and start again under its ID. */
class Worker {
  sockets = new Set();

  constructor({ id, service, host, port, zone = 'z1', slots, store, recorder }) {
    Object.assign(this, { id, service, host, port, zone, slots, store, recorder });
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  async start() {
    this.born = Date.now();
    this.clear();
    this.server = createServer((incoming, response) => this.receive(incoming, response));
    this.server.keepAliveTimeout = 10_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    await new Promise((done, fail) => {
      this.server.once('error', fail);
      this.server.listen(this.port, this.host, done);
    });
    this.recorder.add(`worker ${this.id} started, born ${this.born}`);
    this.writeEntry();
    // A heartbeat changes the entry only when more than its sequence has changed.
    this.heartbeat = setInterval(() => this.writeEntry(), 1_200);
  }

  writeEntry() {
    const spec = {
      Service: this.service,
      Address: this.address,
      Zone: this.zone,
      Version: 'v1',
      Slots: this.slots,
      State: 'ready',
      ColdLeftMs: 0,
      born: this.born,
      ...this.describe(),
    };
    const text = JSON.stringify(spec);
    if (text !== this.entryText) {
      this.entryText = text;
      this.store.put('servers', this.id, { ...spec, Sequence: 1 });
    }
  }

  /** Ends the process of the worker: its connections are reset and nothing listens any more. */
  async crash() {
    clearInterval(this.heartbeat);
    this.recorder.add(`worker ${this.id} crashed`);
    const closed = new Promise((done) => this.server.close(done));
    for (const socket of this.sockets) {
      socket.resetAndDestroy();
    }
    await closed;
  }

  async stop() {
    clearInterval(this.heartbeat);
    const closed = new Promise((done) => this.server.close(done));
    this.server.closeAllConnections();
    await closed;
  }

  receive(incoming, response) {
    let body = '';
    incoming.on('error', () => undefined);
    response.on('error', () => undefined);
    incoming.on('data', (bytes) => (body += bytes.toString('latin1')));
    incoming.on('end', () => {
      if (incoming.url === HEALTH_PATH) {
        response.writeHead(200, { 'instance-id': this.id }).end();
      } else if (!this.control(incoming, response, body)) {
        this.handle(incoming, response, body);
      }
    });
  }

  /** Whether a request is meant for another worker; answers it then. */
  isMisdirected(incoming, response) {
    const expected = incoming.headers['expect-instance'];
    if (expected === undefined || expected === this.id) {
      return false;
    }
    response.writeHead(421, {
      'request-id': String(incoming.headers['request-id'] ?? ''),
      'not-run': '1',
      'instance-id': this.id,
    });
    response.end();
    return true;
  }

  describe() {
    return {};
  }

  clear() {
    // A plain worker keeps no state.
  }

  control() {
    return false;
  }
}

/** Worker of a plain service. `serve` answers a request that runs. */
export class PlainWorker extends Worker {
  constructor(options) {
    super({ slots: 6, ...options });
    this.serve = options.serve;
  }

  handle(incoming, response, body) {
    if (!this.isMisdirected(incoming, response)) {
      this.serve(incoming, response, this, body);
    }
  }
}

/** Model worker: holds models and carries out orders whose conditions it meets. */
export class ModelWorker extends Worker {
  constructor(options) {
    super({ slots: 48, ...options });
    this.requireFence = options.requireFence;
    this.loadMs = options.loadMs ?? 300;
    this.onOrder = options.onOrder;
  }

  clear() {
    this.held = new Set();
    this.sequence = 0;
    this.highestFence = 0;
    this.isBusy = false;
    this.running = 0;
  }

  describe() {
    return { Models: this.models, AtHand: { InMemory: [], OnDisk: [] } };
  }

  get models() {
    return [...this.held].map((name) => ({ Name: name, Version: 1, Adapters: [] }));
  }

  control(incoming, response, body) {
    const send = (status, value) => {
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(value ?? {}));
    };
    if (incoming.url === '/api/report') {
      send(200, {
        Stage: 'mixed',
        Models: this.models,
        Busy: this.isBusy,
        Sequence: this.sequence,
        QueueDepth: 0,
        InFlight: this.running,
        KvUsed: 0,
        KvTotal: 100_000,
        Handles: 0,
        Coming: [],
        AtHand: { InMemory: [], OnDisk: [] },
        born: this.born,
      });
      return true;
    }
    if (incoming.url !== '/api/order') {
      return false;
    }
    const order = JSON.parse(body);
    const status = this.isMisdirected(incoming, response) ? 421 : this.accept(order);
    this.onOrder(order, status, this);
    if (status !== 421) {
      send(status);
    }
    return true;
  }

  accept({ Op, Model, Holder, Fence, Expect }) {
    if (typeof Holder !== 'string' || !Number.isInteger(Fence)) {
      return 400;
    }
    if (this.requireFence && Fence < this.highestFence) {
      return 412;
    }
    this.highestFence = Math.max(this.highestFence, Fence);
    if (this.isBusy || (Expect !== undefined && Expect !== this.sequence)) {
      return 409;
    }
    if (this.held.has(Model) === (Op === 'load')) {
      return 200;
    }
    this.sequence++;
    this.isBusy = true;
    const { born } = this;
    if (Op === 'unload') {
      this.held.delete(Model);
    }
    setTimeout(
      () => {
        if (born === this.born) {
          this.isBusy = false;
          if (Op === 'load') {
            this.held.add(Model);
          }
          this.writeEntry();
        }
      },
      Op === 'load' ? this.loadMs : 50,
    );
    return 202;
  }

  handle(incoming, response) {
    if (this.isMisdirected(incoming, response)) {
      return;
    }
    const requestId = String(incoming.headers['request-id']);
    const model = String(incoming.headers.model).split('/')[0];
    if (!this.held.has(model)) {
      response.writeHead(421, { 'request-id': requestId, 'not-run': '1' }).end();
      return;
    }
    this.recorder.add(`worker ${this.id} runs ${requestId} on ${model}`);
    this.running++;
    response.writeHead(200, {
      'request-id': requestId,
      'response-stamp': `${this.id}.${requestId}`,
      'content-type': 'text/event-stream',
      'weight-versions': '1',
    });
    let number = 0;
    const timer = setInterval(() => {
      response.write(`id: ${++number}\ndata: ${requestId} ${number}\n\n`);
      if (number === 5) {
        clearInterval(timer);
        response.end();
      }
    }, 20);
    response.once('close', () => {
      clearInterval(timer);
      this.running--;
    });
  }
}
