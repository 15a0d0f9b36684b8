import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Limits of callers that configurations state. */
export const CALLER_LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 100_000,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

/** How the store treats calls. */
export type StoreMode = 'up' | 'refuse' | 'reset' | 'silent';

/** An object, as calls return it. */
interface StoredObject {
  readonly Metadata: { readonly Name: string; readonly Rev: number };
  readonly Spec: unknown;
}

/** A change that watches tell of. */
interface StoredEvent {
  readonly kind: string;
  readonly rev: number;
  readonly Object: StoredObject;
  readonly Tombstone: boolean;
}

/** Stand-in for the users' metadata store: lists, watches, a history that can be forgotten, and ways to be away. */
export class ObjectStore {
  mode: StoreMode = 'up';
  /** Kinds of which nobody is told any more, for tests that plant a fault. */
  readonly hiddenKinds = new Set<string>();
  private readonly objects = new Map<string, StoredObject>();
  private events: StoredEvent[] = [];
  private revision = 1;
  private forgottenRevision = 0;
  /** Watches that began before never answer. */
  private silentBeforeMs = -Infinity;
  private readonly waiters = new Set<() => void>();
  private readonly server: Server = createServer((incoming, response) => this.take(incoming, response));

  /** Starts and gives the address. */
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
   * @param spec - Its content.
   */
  put(kind: string, name: string, spec: unknown): void {
    if (this.hiddenKinds.has(kind)) {
      return;
    }
    const object = { Metadata: { Name: name, Rev: ++this.revision }, Spec: spec };
    this.objects.set(`${kind}/${name}`, object);
    this.tell({ kind, rev: this.revision, Object: object, Tombstone: false });
  }

  /**
   * Removes an object.
   * @param kind - Kind, as in the path.
   * @param name - Name of the object.
   */
  remove(kind: string, name: string): void {
    const object = this.objects.get(`${kind}/${name}`);
    if (object && this.objects.delete(`${kind}/${name}`)) {
      this.tell({ kind, rev: ++this.revision, Object: object, Tombstone: true });
    }
  }

  /** Forgets the history; watches that are open are cut. */
  forgetHistory(): void {
    this.events = [];
    this.forgottenRevision = this.revision;
    this.server.closeAllConnections();
  }

  /**
   * Lets the watches that are open, and those that begin in a while, fall silent for good.
   * @param forMs - For how long new watches do, in milliseconds.
   */
  silenceWatches(forMs: number): void {
    this.silentBeforeMs = Date.now() + forMs;
  }

  private tell(event: StoredEvent): void {
    this.events.push(event);
    for (const wake of [...this.waiters]) {
      wake();
    }
  }

  private take(incoming: IncomingMessage, response: ServerResponse): void {
    switch (this.mode) {
      case 'silent':
        return;
      case 'reset':
        incoming.socket.resetAndDestroy();
        return;
      case 'refuse':
        response.writeHead(503).end('{}');
        return;
      case 'up':
        this.answer(new URL(incoming.url ?? '', 'http://store'), response);
    }
  }

  private answer(url: URL, response: ServerResponse): void {
    const kind = url.pathname.split('/').at(-1) ?? '';
    const since = url.searchParams.get('Watch');
    if (since === null) {
      const items = [...this.objects]
        .filter(([key]) => key.startsWith(`${kind}/`))
        .map(([, object]) => object);
      reply(response, 200, { items, HasMore: false, StoreRevision: this.revision });
      return;
    }
    this.watch(kind, Number(since), Number(url.searchParams.get('WaitMs')), response);
  }

  private watch(kind: string, since: number, waitMs: number, response: ServerResponse): void {
    if (since < this.forgottenRevision) {
      reply(response, 410, {});
      return;
    }
    const beganAtMs = Date.now();
    const finish = (): boolean => {
      if (beganAtMs < this.silentBeforeMs) {
        this.waiters.delete(finish);
        return true;
      }
      const events = this.events.filter((event) => event.kind === kind && event.rev > since);
      if (events.length === 0 && Date.now() < endsAtMs) {
        return false;
      }
      this.waiters.delete(finish);
      clearTimeout(timer);
      if (this.mode === 'up') {
        reply(response, 200, { events, StoreRevision: this.revision });
      }
      return true;
    };
    const endsAtMs = beganAtMs + waitMs;
    const timer = setTimeout(finish, waitMs + 1);
    if (!finish()) {
      this.waiters.add(finish);
    }
  }
}

function reply(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}
