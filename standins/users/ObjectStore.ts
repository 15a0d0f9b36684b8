import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** Limits for callers in the configurations of tests. */
export const CALLER_LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 100_000,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

/** How the store responds to requests: normally, with 503, with a connection reset, or not at all. */
export type StoreMode = 'up' | 'refuse' | 'reset' | 'silent';

/** Object in the format of the store's responses. */
interface StoredObject {
  readonly Metadata: { readonly Name: string; readonly Rev: number };
  readonly Spec: unknown;
}

/** Change of an object that watches report. */
interface StoredEvent {
  readonly kind: string;
  readonly rev: number;
  readonly Object: StoredObject;
  readonly Tombstone: boolean;
}

/** Content of the store at one time. */
interface StoreCopy {
  readonly objects: ReadonlyMap<string, StoredObject>;
  readonly events: readonly StoredEvent[];
  readonly revision: number;
}

/**
 * Stand-in for the users' metadata store: lists, watches, a history that can be discarded, restores from a copy, and modes
 * of unavailability.
 */
export class ObjectStore {
  mode: StoreMode = 'up';
  /** Delay added to each response, in milliseconds. */
  delayMs = 0;
  /** Kinds whose writes are ignored, for tests that inject a fault. */
  readonly ignoredKinds = new Set<string>();
  private objects = new Map<string, StoredObject>();
  private events: StoredEvent[] = [];
  private revision = 1;
  /** Number of restores, sent with each response. */
  private era = 0;
  /** Watches from a revision below this one fail, since their history is discarded. */
  private compactedRevision = 0;
  /** Watches that began before this time never get a response. */
  private silentBeforeMs = -Infinity;
  private readonly pendingWatches = new Set<() => void>();
  private readonly openSockets = new Set<Socket>();
  /** Connections on which nothing is answered any more. */
  private readonly silentSockets = new WeakSet<Socket>();
  private readonly server: Server = createServer((incoming, response) =>
    this.handleRequest(incoming, response),
  );

  constructor() {
    this.server.on('connection', (socket: Socket) => {
      this.openSockets.add(socket);
      socket.once('close', () => this.openSockets.delete(socket));
    });
  }

  /** Starts the store and returns its host and port. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /**
   * Writes an object.
   * @param kind - Kind, as in the path.
   * @param name - Name of the object.
   * @param spec - Content of the object.
   */
  put(kind: string, name: string, spec: unknown): void {
    if (this.ignoredKinds.has(kind)) {
      return;
    }
    const object = { Metadata: { Name: name, Rev: ++this.revision }, Spec: spec };
    this.objects.set(`${kind}/${name}`, object);
    this.publishEvent({ kind, rev: this.revision, Object: object, Tombstone: false });
  }

  /**
   * Removes an object.
   * @param kind - Kind, as in the path.
   * @param name - Name of the object.
   */
  remove(kind: string, name: string): void {
    const object = this.objects.get(`${kind}/${name}`);
    if (object && this.objects.delete(`${kind}/${name}`)) {
      this.publishEvent({ kind, rev: ++this.revision, Object: object, Tombstone: true });
    }
  }

  /** Discards the history and closes the connections of open watches. */
  discardHistory(): void {
    this.events = [];
    this.compactedRevision = this.revision;
    this.server.closeAllConnections();
  }

  /** Returns the content, from which the store can be restored later. */
  takeCopy(): StoreCopy {
    return { objects: new Map(this.objects), events: [...this.events], revision: this.revision };
  }

  /**
   * Replaces the content by a copy and closes all connections; revisions since the copy are given out again.
   * @param copy - Earlier content of this store.
   */
  restore(copy: StoreCopy): void {
    this.era++;
    this.objects = new Map(copy.objects);
    this.events = [...copy.events];
    this.revision = copy.revision;
    this.server.closeAllConnections();
  }

  /**
   * Leaves all open watches, and those that begin within a period, without a response.
   * @param forMs - Length of the period, in milliseconds.
   */
  silenceWatches(forMs: number): void {
    this.silentBeforeMs = Date.now() + forMs;
  }

  /** Answers nothing more on the connections that are open now; new connections are served. */
  silenceOpenConnections(): void {
    for (const socket of this.openSockets) {
      this.silentSockets.add(socket);
    }
  }

  private publishEvent(event: StoredEvent): void {
    this.events.push(event);
    for (const tryRespond of [...this.pendingWatches]) {
      tryRespond();
    }
  }

  private handleRequest(incoming: IncomingMessage, response: ServerResponse): void {
    switch (this.mode) {
      case 'silent':
        return;
      case 'reset':
        incoming.socket.resetAndDestroy();
        return;
      case 'refuse':
        this.sendJson(response, 503, {});
        return;
      case 'up':
        this.respond(new URL(incoming.url ?? '', 'http://store'), response);
    }
  }

  private respond(url: URL, response: ServerResponse): void {
    const kind = url.pathname.split('/').at(-1) ?? '';
    const since = url.searchParams.get('Watch');
    if (since === null) {
      const items = [...this.objects]
        .filter(([key]) => key.startsWith(`${kind}/`))
        .map(([, object]) => object);
      this.sendJson(response, 200, { items, HasMore: false, StoreRevision: this.revision });
      return;
    }
    this.handleWatch(kind, Number(since), Number(url.searchParams.get('WaitMs')), response);
  }

  private handleWatch(kind: string, since: number, waitMs: number, response: ServerResponse): void {
    if (since < this.compactedRevision || since > this.revision) {
      this.sendJson(response, 410, {});
      return;
    }
    const beganAtMs = Date.now();
    const tryRespond = (): boolean => {
      if (beganAtMs < this.silentBeforeMs) {
        this.pendingWatches.delete(tryRespond);
        return true;
      }
      const events = this.events.filter((event) => event.kind === kind && event.rev > since);
      if (events.length === 0 && Date.now() < endsAtMs) {
        return false;
      }
      this.pendingWatches.delete(tryRespond);
      clearTimeout(timer);
      if (this.mode === 'up') {
        this.sendJson(response, 200, { events, StoreRevision: this.revision });
      }
      return true;
    };
    const endsAtMs = beganAtMs + waitMs;
    const timer = setTimeout(tryRespond, waitMs + 1);
    if (!tryRespond()) {
      this.pendingWatches.add(tryRespond);
    }
  }

  private sendJson(response: ServerResponse, status: number, body: unknown): void {
    if (response.socket && this.silentSockets.has(response.socket)) {
      return;
    }
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': this.era });
    const text = JSON.stringify(body);
    if (this.delayMs > 0) {
      setTimeout(() => response.end(text), this.delayMs);
    } else {
      response.end(text);
    }
  }
}
