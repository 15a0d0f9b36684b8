import { createServer } from 'node:http';
import { randomBytes } from 'node:crypto';

/** Interval at which a worker writes its entry, in milliseconds. */
const HEARTBEAT_MS = 1_200;
/** Time that a model worker takes to answer an order, in milliseconds. */
const ORDER_ANSWER_MS = 4;
/** Adapters that may be in transit to a worker at the same time. */
const MAX_COMING = 4;
/** Heartbeats of silence after which the platform removes an entry. */
const MISSED_HEARTBEATS = 3;

/** What all stand-ins for the users' workers have in common: their entry, crashes, and answers to requests. */
class Worker {
  constructor({ store, recorder, service, zone, host, port, slots }) {
    Object.assign(this, { store, recorder, service, zone, host, port, slots });
    /** Arrivals of requests, in order. */
    this.arrivals = [];
    /** Requests that began to run, in order. */
    this.runs = [];
    this.crashCount = 0;
    this.isUp = false;
    this.wasStopped = false;
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  async start() {
    this.id = `i-${randomBytes(4).toString('hex')}`;
    this.born = Date.now();
    this.sequence = 0;
    this.running = new Set();
    this.resetState();
    this.server = createServer((incoming, response) => this.handle(incoming, response));
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.host, resolve);
    });
    this.isUp = true;
    this.publish();
    this.heartbeat = setInterval(() => this.publish(), HEARTBEAT_MS);
    this.recorder.write('worker started', { worker: this.id, address: this.address });
  }

  /** Ends without a word and starts again after some seconds, with a new id and without any state. */
  crash(downMs, cause) {
    if (!this.isUp) {
      return;
    }
    this.crashCount++;
    this.recorder.write('worker crashed', {
      worker: this.id,
      cause,
      lostRequests: [...this.running].map(({ requestId }) => requestId),
    });
    const { id } = this;
    this.close();
    setTimeout(() => this.store.remove('servers', id), MISSED_HEARTBEATS * HEARTBEAT_MS);
    setTimeout(() => {
      if (!this.wasStopped) {
        void this.start();
      }
    }, downMs);
  }

  stop() {
    this.wasStopped = true;
    this.close();
  }

  close() {
    this.isUp = false;
    clearInterval(this.heartbeat);
    this.server?.closeAllConnections();
    this.server?.close();
  }

  publish() {
    this.store.put('servers', this.id, {
      Service: this.service,
      Address: this.address,
      Zone: this.zone,
      Version: 'v1',
      Slots: this.slots,
      State: 'ready',
      ColdLeftMs: 0,
      Sequence: this.sequence,
      born: this.born,
      ...this.getEntryFields(),
    });
  }

  handle(incoming, response) {
    const chunks = [];
    incoming.on('data', (chunk) => chunks.push(chunk));
    incoming.on('end', () => {
      const body = Buffer.concat(chunks);
      if (incoming.url === '/health') {
        response.writeHead(200, { 'Instance-Id': this.id }).end();
      } else if (!this.handleControl(incoming, response, body)) {
        this.handleRequest(incoming, response, body);
      }
    });
  }

  handleRequest(incoming, response, body) {
    const requestId = incoming.headers['request-id'];
    const expected = incoming.headers['expect-instance'];
    if (requestId === undefined) {
      response.writeHead(400, { 'Not-Run': '1' }).end();
      return;
    }
    this.arrivals.push({ requestId, atMs: this.recorder.nowMs() });
    if (expected !== undefined && expected !== this.id) {
      this.recorder.write('worker rejects', { worker: this.id, requestId, status: 421 });
      response.writeHead(421, { 'Instance-Id': this.id }).end();
      return;
    }
    const refusal = this.getRefusal(incoming);
    if (refusal !== undefined) {
      this.recorder.write('worker rejects', { worker: this.id, requestId, status: refusal });
      response.writeHead(refusal, { 'Not-Run': '1', 'Request-Id': requestId }).end();
      return;
    }
    const run = { requestId, atMs: this.recorder.nowMs() };
    this.runs.push(run);
    this.running.add(run);
    response.on('close', () => this.running.delete(run));
    this.recorder.write('worker runs', { worker: this.id, requestId, path: incoming.url });
    this.run(incoming, response, body, run);
  }

  handleControl() {
    return false;
  }

  getRefusal() {
    return this.running.size >= this.slots ? 503 : undefined;
  }

  getEntryFields() {
    return {};
  }

  resetState() {
    // Only model workers have a state.
  }
}

/** Headers of an answer of a worker. */
export function signedHeaders(requestId, contentType) {
  return { 'Request-Id': requestId, 'Response-Stamp': `st.${requestId}`, 'Content-Type': contentType };
}

/** Worker of a plain service; `serve` answers a request that has begun to run. */
export class PlainWorker extends Worker {
  constructor(options) {
    super(options);
    this.serve = options.serve;
  }

  run(incoming, response, body, run) {
    this.serve(this, incoming, response, body, run);
  }
}

/** Worker with models, as the platform's pages describe it. */
export class ModelWorker extends Worker {
  constructor(options) {
    super(options);
    this.models = options.models;
    this.weightsMb = options.weightsMb;
    this.adapterSlots = options.adapterSlots;
    this.kvTokens = options.kvTokens;
    this.initialModels = options.initialModels;
    /** Decides whether an order gets no answer; returns the delay in milliseconds after which it is carried out. */
    this.drawLateMs = options.drawLateMs ?? (() => undefined);
    this.streamEvents = options.streamEvents ?? 20;
    this.eventMs = options.eventMs ?? 40;
    /** Models on the worker's disk, which a restart preserves. */
    this.disk = new Set(options.models.keys());
    this.orders = [];
    /** Orders that a worker can't hold. */
    this.overloads = [];
    this.startCount = 0;
  }

  resetState() {
    this.held = new Map();
    /** Adapters in transit, as MODEL/NAME. */
    this.coming = new Set();
    this.memory = [];
    this.isBusy = false;
    this.highestFence = 0;
    if (this.startCount++ === 0) {
      for (const model of this.initialModels) {
        this.held.set(model, new Set());
      }
    }
  }

  getEntryFields() {
    return { Stage: 'mixed', Models: this.listModels(), AtHand: this.getCopies() };
  }

  listModels() {
    return [...this.held].map(([Name, adapters]) => ({ Name, Version: 1, Adapters: [...adapters] }));
  }

  getCopies() {
    return { InMemory: this.memory, OnDisk: [...this.disk] };
  }

  handleControl(incoming, response, body) {
    if (incoming.method === 'GET' && incoming.url === '/api/report') {
      sendJson(response, 200, {
        Stage: 'mixed',
        Models: this.listModels(),
        Busy: this.isBusy,
        Sequence: this.sequence,
        QueueDepth: 0,
        InFlight: this.running.size,
        KvUsed: 1_000 * this.running.size,
        KvTotal: this.kvTokens,
        Handles: 0,
        Coming: [...this.coming].map((adapter) => `${adapter}@1`),
        AtHand: this.getCopies(),
        born: this.born,
      });
      return true;
    }
    if (incoming.method === 'POST' && incoming.url === '/api/order') {
      this.receiveOrder(JSON.parse(body.toString()), incoming.headers['expect-instance'], response);
      return true;
    }
    return false;
  }

  receiveOrder(order, expectedInstance, response) {
    const lateMs = this.drawLateMs(this, order);
    const fields = {
      op: order.Op,
      model: order.Model,
      expect: order.Expect,
      instance: expectedInstance ?? '',
    };
    if (lateMs === undefined) {
      const status = this.carryOut(order, expectedInstance);
      if (order.Adapter === undefined) {
        this.recorder.write('order', { worker: this.id, ...fields, status, sequence: this.sequence });
      }
      setTimeout(() => sendJson(response, status, {}), ORDER_ANSWER_MS);
      return;
    }
    // The answer never comes; the connection stays open until its sender closes it.
    this.recorder.write('order gets no answer', { worker: this.id, ...fields, carriedOutInMs: lateMs });
    setTimeout(() => {
      if (this.isUp) {
        const status = this.carryOut(order, expectedInstance);
        this.recorder.write('late order', { worker: this.id, ...fields, status, sequence: this.sequence });
      }
    }, lateMs);
  }

  /** Carries an order out under the conditions of the pages; returns the status of its answer. */
  carryOut(order, expectedInstance) {
    const { Op, Model, Adapter, Expect, Holder, Fence } = order;
    const model = this.models.get(Model);
    if (expectedInstance !== undefined && expectedInstance !== this.id) {
      return 421;
    }
    if (Holder === undefined || Fence === undefined || !model || !['load', 'unload'].includes(Op)) {
      return 400;
    }
    if (Fence < this.highestFence) {
      return 412;
    }
    this.highestFence = Fence;
    const held = this.held.get(Model);
    const isComing = this.coming.has(`${Model}/${Adapter}`);
    const holds = Adapter === undefined ? held !== undefined : held?.has(Adapter) === true || isComing;
    if ((Op === 'load') === holds) {
      return 200;
    }
    if (this.isBusy || (Expect !== undefined && Expect !== this.sequence)) {
      return 409;
    }
    if (Adapter !== undefined && !held) {
      return 400;
    }
    if (Adapter !== undefined && Op === 'load' && this.coming.size >= MAX_COMING) {
      return 409;
    }
    this.sequence++;
    this.orders.push(order);
    if (Op === 'unload') {
      return this.unload(Model, Adapter);
    }
    const neededMb = Adapter === undefined ? model.weightsMb : model.adapterMb;
    const isBeyondMemory = this.getUsedMb() + neededMb > this.weightsMb;
    const isBeyondSlots = Adapter !== undefined && this.countAdapters() >= this.adapterSlots;
    if (isBeyondMemory || isBeyondSlots) {
      const overload = {
        model: Model,
        adapter: Adapter ?? '',
        neededMb,
        usedMb: this.getUsedMb(),
        weightsMb: this.weightsMb,
        heldModels: [...this.held.keys()],
        adapterCount: this.countAdapters(),
      };
      this.overloads.push(overload);
      this.recorder.write('LOAD BEYOND WHAT THE WORKER HOLDS', { worker: this.id, ...overload });
      setImmediate(() => this.crash(3_000, 'ordered to load more than it holds'));
      return 202;
    }
    this.load(Model, Adapter);
    return 202;
  }

  countAdapters() {
    let count = this.coming.size;
    for (const adapters of this.held.values()) {
      count += adapters.size;
    }
    return count;
  }

  /** Unloads a model or an adapter; returns the status of the answer. */
  unload(modelName, adapter) {
    const { id } = this;
    if (adapter !== undefined) {
      const dropAdapter = () => {
        if (this.id !== id || !this.isUp) {
          return;
        }
        const isInUse = [...this.running].some((run) => run.model === modelName && run.adapter === adapter);
        if (isInUse) {
          setTimeout(dropAdapter, 5);
          return;
        }
        this.held.get(modelName)?.delete(adapter);
      };
      dropAdapter();
      return this.held.get(modelName)?.has(adapter) ? 202 : 200;
    }
    this.isBusy = true;
    // Waits for the model's runs to finish.
    const finish = () => {
      if (this.id !== id || !this.isUp) {
        return;
      }
      if ([...this.running].some(({ model }) => model === modelName)) {
        setTimeout(finish, 20);
        return;
      }
      this.held.delete(modelName);
      this.isBusy = false;
      this.publish();
    };
    finish();
    return 202;
  }

  load(modelName, adapter) {
    const { id } = this;
    const { loadS, diskS, warmS, adapterMs } = this.models.get(modelName);
    const finish = (apply) => {
      if (this.id === id && this.isUp) {
        apply();
        this.publish();
      }
    };
    if (adapter !== undefined) {
      const name = `${modelName}/${adapter}`;
      this.coming.add(name);
      const arrive = () => {
        if (this.id === id && this.isUp) {
          this.coming.delete(name);
          this.held.get(modelName)?.add(adapter);
        }
      };
      setTimeout(arrive, adapterMs);
      return;
    }
    this.isBusy = true;
    const seconds = this.memory.includes(modelName) ? warmS : this.disk.has(modelName) ? diskS : loadS;
    setTimeout(
      () =>
        finish(() => {
          this.held.set(modelName, new Set());
          this.disk.add(modelName);
          this.memory = [modelName, ...this.memory.filter((name) => name !== modelName)].slice(0, 2);
          this.isBusy = false;
        }),
      1_000 * seconds,
    );
  }

  getUsedMb() {
    let usedMb = 0;
    for (const [name, adapters] of this.held) {
      const { weightsMb, adapterMb } = this.models.get(name);
      usedMb += weightsMb + adapters.size * adapterMb;
    }
    for (const name of this.coming) {
      usedMb += this.models.get(name.split('/')[0]).adapterMb;
    }
    return usedMb;
  }

  getRefusal(incoming) {
    const [model, adapter] = String(incoming.headers.model ?? '').split('/');
    const adapters = this.held.get(model);
    if (!adapters || (adapter !== undefined && !adapters.has(adapter))) {
      return 421;
    }
    return super.getRefusal(incoming);
  }

  run(incoming, response, body, run) {
    [run.model, run.adapter] = String(incoming.headers.model).split('/');
    const { requestId } = run;
    response.writeHead(200, {
      ...signedHeaders(requestId, 'text/event-stream'),
      'Weight-Versions': '1',
    });
    let next = Number(incoming.headers['last-event-id'] ?? 0) + 1;
    const send = () => {
      if (response.destroyed) {
        return;
      }
      if (next > this.streamEvents) {
        response.end();
        return;
      }
      response.write(`id: ${next}\ndata: ${requestId} ${next}\n\n`);
      next++;
      setTimeout(send, this.eventMs);
    };
    send();
  }
}

function sendJson(response, status, body) {
  response.writeHead(status, { 'Content-Type': 'application/json' });
  response.end(JSON.stringify(body));
}
