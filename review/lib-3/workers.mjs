// Sound workers of the users: they may pause for a second and go on, refuse what finds no slot, and crash where a case says so.
import { createServer } from 'node:http';
import { listen } from './fleet.mjs';

const EVENT_COUNT = 47;
const EVENT_GAP_MS = 60;

/** Worker of `pedidos` or `asistente`: answers a read or an order after its work, and streams a quote event by event. */
export class Worker {
  constructor(fleet, id, service, workMs) {
    const state = {
      runs: [],
      refusals: [],
      isDown: false,
      pausedUntilMs: 0,
      runningCount: 0,
      slotCount: Infinity,
    };
    Object.assign(this, { fleet, id, service, workMs, sockets: new Set(), ...state });
    this.server = createServer((request, response) => this.whenAwake(() => this.handle(request, response)));
    this.server.keepAliveTimeout = 30_000;
    this.server.on('connection', (socket) => {
      if (this.isDown) {
        socket.resetAndDestroy();
        return;
      }
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  async start(fields = {}) {
    this.fleet.servers.push(this.server);
    this.address = await listen(this.server, this.fleet.loopback);
    this.fleet.listWorker(this.id, this.service, this.address, fields);
  }

  /** Ends all connections at once and accepts none for a time, as a worker that crashes and is back later. */
  crash(forMs) {
    this.isDown = true;
    for (const socket of this.sockets) {
      socket.resetAndDestroy();
    }
    setTimeout(() => (this.isDown = false), forMs);
  }

  /** Makes no progress for a time and then goes on; nothing is lost. */
  pause(forMs) {
    this.pausedUntilMs = Date.now() + forMs;
  }

  /** Runs an action now, or at the end of a pause. */
  whenAwake(action) {
    const waitMs = this.pausedUntilMs - Date.now();
    if (waitMs <= 0) {
      action();
    } else {
      setTimeout(() => this.whenAwake(action), waitMs);
    }
  }

  handle(request, response) {
    const id = request.headers['request-id'];
    if (request.url === '/health') {
      response.writeHead(200, { 'Instance-Id': this.id }).end();
      return;
    }
    if (response.destroyed) {
      // The sender closed the connection during a pause.
      return;
    }
    if ((request.headers['expect-instance'] ?? this.id) !== this.id) {
      response.writeHead(421, { 'Request-Id': id, 'Not-Run': '1', 'Instance-Id': this.id }).end();
      return;
    }
    if (this.runningCount >= this.slotCount) {
      this.refusals.push(id);
      response.writeHead(503, { 'Request-Id': id, 'Not-Run': '1', 'Instance-Id': this.id }).end();
      return;
    }
    const run = { id, beganAtMs: Date.now(), isEnded: false, eventCount: 0 };
    this.runs.push(run);
    this.runningCount++;
    response.on('close', () => this.runningCount--);
    request.resume();
    const head = { 'Request-Id': id, 'Response-Stamp': `3e1b.${this.id}` };
    if (this.service === 'asistente') {
      const firstNumber = Number(request.headers['last-event-id'] ?? 0) + 1;
      this.stream(run, response, head, firstNumber);
      return;
    }
    setTimeout(() => {
      run.isEnded = true;
      const body = `done ${id}`;
      response.writeHead(200, { ...head, 'Content-Length': body.length }).end(body);
    }, this.workMs);
  }

  stream(run, response, head, firstNumber) {
    response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' });
    let number = firstNumber;
    const timer = setInterval(() => {
      if (Date.now() < this.pausedUntilMs) {
        return;
      }
      response.write(`id: ${number}\ndata: ${run.id} ${number}\n\n`);
      run.eventCount++;
      if (number >= EVENT_COUNT) {
        clearInterval(timer);
        run.isEnded = true;
        response.end();
      }
      number++;
    }, EVENT_GAP_MS);
    response.on('close', () => clearInterval(timer));
  }
}
