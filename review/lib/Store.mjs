import { createServer } from 'node:http';

const PAGE_SIZE = 500;

/**
 * Stand-in for the platform's metadata store: the calls that read (lists and watches), over HTTP, and writes of the operator
 * and the workers, which this process makes itself.
 */
export class Store {
  constructor() {
    this.objects = new Map();
    this.events = [];
    this.revision = 1;
    this.watches = new Set();
    this.server = createServer((incoming, response) => this.handle(incoming, response));
  }

  async start(host, port) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.address = `${host}:${port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  put(kind, name, spec) {
    const key = `${kind}/${name}`;
    const rev = ++this.revision;
    const createdRev = this.objects.get(key)?.Metadata.CreatedRev ?? rev;
    const object = {
      Metadata: { Name: name, Rev: rev, CreatedRev: createdRev, Finalizers: [], Deleting: false },
      Spec: spec,
      Status: null,
    };
    this.objects.set(key, object);
    this.publish({ kind, rev, event: { Tombstone: false, Object: object } });
  }

  remove(kind, name) {
    const key = `${kind}/${name}`;
    const object = this.objects.get(key);
    if (object) {
      this.objects.delete(key);
      this.publish({ kind, rev: ++this.revision, event: { Tombstone: true, Object: object } });
    }
  }

  publish(entry) {
    this.events.push(entry);
    for (const tryAnswer of [...this.watches]) {
      tryAnswer();
    }
  }

  handle(incoming, response) {
    const url = new URL(incoming.url, 'http://store');
    const [, , , kind, name] = url.pathname.split('/');
    if (incoming.method !== 'GET' || !url.pathname.startsWith('/api/objects/')) {
      send(response, 405, {});
    } else if (name !== undefined) {
      const object = this.objects.get(`${kind}/${decodeURIComponent(name)}`);
      send(response, object ? 200 : 404, object ?? {});
    } else if (url.searchParams.has('Watch')) {
      const waitMs = Math.min(30_000, Number(url.searchParams.get('WaitMs') ?? 0));
      this.watch(kind, Number(url.searchParams.get('Watch')), waitMs, response);
    } else {
      this.list(kind, url.searchParams.get('after') ?? '', response);
    }
  }

  list(kind, after, response) {
    const names = [...this.objects.keys()]
      .filter((key) => key.startsWith(`${kind}/`))
      .map((key) => key.slice(kind.length + 1))
      .filter((name) => name > after)
      .sort();
    const items = names.slice(0, PAGE_SIZE).map((name) => this.objects.get(`${kind}/${name}`));
    send(response, 200, { items, HasMore: names.length > PAGE_SIZE, StoreRevision: this.revision });
  }

  watch(kind, since, waitMs, response) {
    const endsAtMs = performance.now() + waitMs;
    const tryAnswer = () => {
      const events = this.events.filter((entry) => entry.kind === kind && entry.rev > since);
      if (events.length === 0 && performance.now() < endsAtMs && !response.destroyed) {
        return;
      }
      clearTimeout(timer);
      this.watches.delete(tryAnswer);
      send(response, 200, { events: events.map(({ event }) => event), StoreRevision: this.revision });
    };
    const timer = setTimeout(tryAnswer, waitMs + 1);
    this.watches.add(tryAnswer);
    tryAnswer();
  }
}

function send(response, status, body) {
  response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': '0' });
  response.end(JSON.stringify(body));
}
