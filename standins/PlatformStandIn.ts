import type { IncomingMessage, ServerResponse } from 'node:http';
import type { InstanceEntry } from '../src/domain/index.js';
import { JsonHttp, sleep, type JsonReply } from './JsonHttp.js';
import { WeightStoreStandIn, type WeightStoreLimits } from './WeightStoreStandIn.js';

interface StoredObject {
  value: unknown;
  version: number;
  revision: number;
  deleted: boolean;
}

/** Faults that can be set while the platform runs. */
export interface PlatformFaults {
  /** Every call is refused. */
  outage: boolean;
  /** Extra time before each answer, in milliseconds. */
  slowMs: number;
  /** This many coming updates take effect without an answer. */
  loseAnswers: number;
  /** Time that the instance list lags behind, in milliseconds. */
  instanceLagMs: number;
}

/** How often a waiting watch looks for changes, in milliseconds. */
const WATCH_POLL_MS = 10;

/** Stand-in for the platform: object API, instance list and weight store over HTTP. */
export class PlatformStandIn {
  readonly faults: PlatformFaults = { outage: false, slowMs: 0, loseAnswers: 0, instanceLagMs: 0 };
  readonly weightStore: WeightStoreStandIn;
  private readonly http = new JsonHttp((request, url, body, response) =>
    this.handle(request, url, body, response),
  );
  private readonly objects = new Map<string, StoredObject>();
  private readonly instances = new Map<string, InstanceEntry>();
  private revision = 0;
  private instanceRevision = 0;
  /** Updates that took effect, for measurements. */
  writeCount = 0;
  /** All calls, for measurements. */
  callCount = 0;

  /** @param limits - Limits of the weight store. */
  constructor(limits: WeightStoreLimits) {
    this.weightStore = new WeightStoreStandIn(limits);
  }

  /** @param port - Port; 0 for a free one. */
  async start(port = 0): Promise<number> {
    return this.http.start(port);
  }

  async stop(): Promise<void> {
    await this.http.stop();
  }

  /** @param instance - Instance that now is in the list. */
  setInstance(instance: InstanceEntry): void {
    this.afterLag(() => this.instances.set(instance.id, instance));
  }

  /** @param id - Instance that has gone. */
  removeInstance(id: string): void {
    this.afterLag(() => this.instances.delete(id));
  }

  /** @param path - Path of the object to look at. */
  peek(path: string): { readonly value: unknown; readonly version: number } | undefined {
    const stored = this.objects.get(path);
    return stored && !stored.deleted ? stored : undefined;
  }

  private afterLag(change: () => void): void {
    setTimeout(() => {
      change();
      this.instanceRevision++;
    }, this.faults.instanceLagMs);
  }

  private async handle(
    request: IncomingMessage,
    url: URL,
    body: string,
    response: ServerResponse,
  ): Promise<JsonReply | undefined> {
    if (url.pathname === '/control') {
      return this.control(JSON.parse(body) as ControlRequest);
    }
    if (url.pathname === '/weights') {
      await this.weightStore.read();
      return { status: 200, body: {} };
    }
    this.callCount++;
    if (this.faults.slowMs > 0) {
      await sleep(this.faults.slowMs);
    }
    if (this.faults.outage) {
      return { status: 503, body: { error: 'outage' } };
    }
    const reply = await this.route(request.method ?? 'GET', url, body);
    if (reply.lost) {
      response.destroy();
      return undefined;
    }
    return reply;
  }

  private async route(method: string, url: URL, body: string): Promise<JsonReply & { lost?: boolean }> {
    const prefix = url.searchParams.get('prefix') ?? '';
    const since = Number(url.searchParams.get('since') ?? 0);
    const timeoutMs = Number(url.searchParams.get('timeoutMs') ?? 0);
    if (url.pathname === '/list') {
      return { status: 200, body: this.listing(prefix, -1) };
    }
    if (url.pathname === '/watch') {
      await this.waitFor(timeoutMs, () => this.listing(prefix, since).objects.length > 0);
      return this.faults.outage
        ? { status: 503, body: {} }
        : { status: 200, body: this.listing(prefix, since) };
    }
    if (url.pathname === '/instances') {
      await this.waitFor(timeoutMs, () => this.instanceRevision !== since);
      const instances = [...this.instances.values()];
      return { status: 200, body: { instances, revision: this.instanceRevision } };
    }
    const path = decodeURIComponent(url.pathname.replace('/objects/', ''));
    if (method === 'GET') {
      const stored = this.peek(path);
      return stored
        ? { status: 200, body: { value: stored.value, version: stored.version } }
        : { status: 404, body: {} };
    }
    return this.write(method, path, url, body);
  }

  private write(method: string, path: string, url: URL, body: string): JsonReply & { lost?: boolean } {
    const isRemoval = method === 'DELETE';
    const change = isRemoval
      ? { value: undefined, ifVersion: Number(url.searchParams.get('ifVersion')) }
      : (JSON.parse(body) as { value: unknown; ifVersion: number });
    const stored = this.objects.get(path);
    const liveVersion = stored && !stored.deleted ? stored.version : 0;
    if (liveVersion !== change.ifVersion) {
      return { status: 409, body: { version: liveVersion } };
    }
    const version = (stored?.version ?? 0) + 1;
    this.revision++;
    this.writeCount++;
    this.objects.set(path, { value: change.value, version, revision: this.revision, deleted: isRemoval });
    const lost = this.faults.loseAnswers > 0;
    if (lost) {
      this.faults.loseAnswers--;
    }
    return { status: 200, body: { version }, lost };
  }

  private listing(prefix: string, since: number): { objects: unknown[]; revision: number } {
    const objects: unknown[] = [];
    for (const [path, stored] of this.objects) {
      const isWanted = path.startsWith(prefix) && stored.revision > since && !(since < 0 && stored.deleted);
      if (isWanted) {
        objects.push({ path, ...stored });
      }
    }
    return { objects, revision: this.revision };
  }

  private async waitFor(timeoutMs: number, condition: () => boolean): Promise<void> {
    const endAtMs = Date.now() + timeoutMs;
    while (!condition() && Date.now() < endAtMs && !this.faults.outage) {
      await sleep(WATCH_POLL_MS);
    }
  }

  private control(change: ControlRequest): JsonReply {
    Object.assign(this.faults, change.faults ?? {});
    if (change.setInstance) {
      this.setInstance(change.setInstance);
    }
    if (change.removeInstance) {
      this.removeInstance(change.removeInstance);
    }
    return { status: 200, body: { writeCount: this.writeCount, callCount: this.callCount } };
  }
}

/** Body of a control call. */
export interface ControlRequest {
  readonly faults?: Partial<PlatformFaults>;
  readonly setInstance?: InstanceEntry;
  readonly removeInstance?: string;
}
