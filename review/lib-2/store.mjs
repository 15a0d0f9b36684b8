/** Stand-in for the platform's metadata store: lists, watches and writes by the operator and the workers. */
import { createServer } from 'node:http';

/** Longest wait of a watch, in milliseconds. */
const MAX_WAIT_MS = 30_000;

export class Store {
  era = 1;
  revision = 10;
  objects = new Map();
  events = [];
  watches = new Set();
  server = createServer((incoming, response) => this.respond(incoming, response));

  async start() {
    await new Promise((done) => this.server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  put(kind, name, spec) {
    const created = this.objects.get(`${kind}/${name}`)?.Metadata.CreatedRev ?? this.revision + 1;
    const metadata = {
      Name: name,
      Rev: ++this.revision,
      CreatedRev: created,
      Finalizers: [],
      Deleting: false,
    };
    const object = { Metadata: metadata, Spec: spec, Status: null };
    this.objects.set(`${kind}/${name}`, object);
    this.publish({ kind, revision: this.revision, event: { Object: object, Tombstone: false } });
  }

  remove(kind, name) {
    const object = this.objects.get(`${kind}/${name}`);
    if (object) {
      this.objects.delete(`${kind}/${name}`);
      this.publish({ kind, revision: ++this.revision, event: { Object: object, Tombstone: true } });
    }
  }

  publish(change) {
    this.events.push(change);
    for (const tryRespond of [...this.watches]) {
      tryRespond();
    }
  }

  respond(incoming, response) {
    const url = new URL(incoming.url, 'http://store');
    const [kind, name] = url.pathname.split('/').slice(3);
    incoming.resume();
    const send = (status, body) => {
      response.writeHead(status, { 'content-type': 'application/json', 'store-era': String(this.era) });
      response.end(JSON.stringify(body));
    };
    const since = url.searchParams.get('Watch');
    if (since !== null) {
      this.watch(kind, Number(since), Number(url.searchParams.get('WaitMs') ?? 0), response, send);
      return;
    }
    if (name !== undefined) {
      const object = this.objects.get(`${kind}/${name}`);
      send(object ? 200 : 404, object ?? {});
      return;
    }
    const items = [...this.objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object);
    send(200, { items, HasMore: false, StoreRevision: this.revision });
  }

  watch(kind, since, waitMs, response, send) {
    const endsAtMs = Date.now() + Math.min(MAX_WAIT_MS, waitMs);
    const end = () => {
      clearTimeout(timer);
      this.watches.delete(tryRespond);
    };
    const tryRespond = () => {
      const changes = this.events.filter((change) => change.kind === kind && change.revision > since);
      if (changes.length === 0 && Date.now() < endsAtMs) {
        return;
      }
      end();
      send(200, { events: changes.map(({ event }) => event), StoreRevision: this.revision });
    };
    const timer = setTimeout(tryRespond, Math.max(0, endsAtMs - Date.now()) + 1);
    this.watches.add(tryRespond);
    response.on('close', end);
    tryRespond();
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Limits of callers, as in the site file of a small deployment. */
export const CALLER_LIMITS = {
  MaxHeaderBytes: 16384,
  MaxBodyBytes: 4194304,
  HeaderTimeoutMs: 3000,
  IdleTimeoutMs: 15000,
};
