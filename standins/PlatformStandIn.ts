import type { IncomingMessage, ServerResponse } from 'node:http';
import type { InstanceEntry } from '../src/domain/index.js';
import { JsonHttpServer, sleep, type JsonResponse } from './JsonHttpServer.js';
import { WeightStoreStandIn, type WeightStoreLimits } from './WeightStoreStandIn.js';

/** Object of the platform; a deleted object stays as a tombstone, so that a watch reports the deletion. */
interface StoredObject {
  value: unknown;
  version: number;
  revision: number;
  deleted: boolean;
}

/** Injected faults, which can be changed while the platform runs. */
export interface PlatformFaults {
  /** Whether every request to the object API and the instance list fails with status 503. */
  outage: boolean;
  /** Delay added to each request, in milliseconds. */
  slowMs: number;
  /** Number of following updates that take effect but whose connection is closed without a response. */
  loseAnswers: number;
  /** Delay before a change of the instance list becomes visible, in milliseconds. */
  instanceLagMs: number;
}

/** Interval at which a pending watch checks for changes, in milliseconds. */
const WATCH_POLL_INTERVAL_MS = 10;

/** Stand-in for the platform: object API, instance list and weight store over HTTP. */
export class PlatformStandIn {
  readonly faults: PlatformFaults = { outage: false, slowMs: 0, loseAnswers: 0, instanceLagMs: 0 };
  readonly weightStore: WeightStoreStandIn;
  private readonly server = new JsonHttpServer((request, url, body, response) =>
    this.handleRequest(request, url, body, response),
  );
  private readonly objects = new Map<string, StoredObject>();
  private readonly instances = new Map<string, InstanceEntry>();
  private revision = 0;
  private instanceRevision = 0;
  /** Number of updates that took effect. */
  writeCount = 0;
  /** Number of requests to the object API and the instance list. */
  callCount = 0;

  /** @param limits - Limits of the weight store. */
  constructor(limits: WeightStoreLimits) {
    this.weightStore = new WeightStoreStandIn(limits);
  }

  /**
   * Starts the platform and returns its port.
   * @param port - Port to listen on; 0 selects a free one.
   */
  async start(port = 0): Promise<number> {
    return this.server.start(port);
  }

  async stop(): Promise<void> {
    await this.server.stop();
  }

  /**
   * Adds an instance to the list or replaces its entry.
   * @param instance - The new entry.
   */
  setInstance(instance: InstanceEntry): void {
    this.applyAfterLag(() => this.instances.set(instance.id, instance));
  }

  /**
   * Removes an instance from the list.
   * @param id - Id of the instance.
   */
  removeInstance(id: string): void {
    this.applyAfterLag(() => this.instances.delete(id));
  }

  /**
   * Returns the value and version of an object, or undefined if it does not exist.
   * @param path - Path of the object.
   */
  getObject(path: string): { readonly value: unknown; readonly version: number } | undefined {
    const stored = this.objects.get(path);
    return stored && !stored.deleted ? stored : undefined;
  }

  private applyAfterLag(change: () => void): void {
    setTimeout(() => {
      change();
      this.instanceRevision++;
    }, this.faults.instanceLagMs);
  }

  private async handleRequest(
    request: IncomingMessage,
    url: URL,
    body: string,
    response: ServerResponse,
  ): Promise<JsonResponse | undefined> {
    if (url.pathname === '/control') {
      return this.applyControl(JSON.parse(body) as ControlRequest);
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
    const result = await this.routeRequest(request.method ?? 'GET', url, body);
    if (result.lost) {
      response.destroy();
      return undefined;
    }
    return result;
  }

  private async routeRequest(
    method: string,
    url: URL,
    body: string,
  ): Promise<JsonResponse & { lost?: boolean }> {
    const prefix = url.searchParams.get('prefix') ?? '';
    const since = Number(url.searchParams.get('since') ?? 0);
    const timeoutMs = Number(url.searchParams.get('timeoutMs') ?? 0);
    if (url.pathname === '/list') {
      return { status: 200, body: this.listObjects(prefix, -1) };
    }
    if (url.pathname === '/watch') {
      await this.waitUntil(timeoutMs, () => this.listObjects(prefix, since).objects.length > 0);
      return this.faults.outage
        ? { status: 503, body: {} }
        : { status: 200, body: this.listObjects(prefix, since) };
    }
    if (url.pathname === '/instances') {
      await this.waitUntil(timeoutMs, () => this.instanceRevision !== since);
      const instances = [...this.instances.values()];
      return { status: 200, body: { instances, revision: this.instanceRevision } };
    }
    const path = decodeURIComponent(url.pathname.replace('/objects/', ''));
    if (method === 'GET') {
      const stored = this.getObject(path);
      return stored
        ? { status: 200, body: { value: stored.value, version: stored.version } }
        : { status: 404, body: {} };
    }
    return this.writeObject(method, path, url, body);
  }

  private writeObject(
    method: string,
    path: string,
    url: URL,
    body: string,
  ): JsonResponse & { lost?: boolean } {
    const isDelete = method === 'DELETE';
    const update = isDelete
      ? { value: undefined, ifVersion: Number(url.searchParams.get('ifVersion')) }
      : (JSON.parse(body) as { value: unknown; ifVersion: number });
    const stored = this.objects.get(path);
    const currentVersion = stored && !stored.deleted ? stored.version : 0;
    if (currentVersion !== update.ifVersion) {
      return { status: 409, body: { version: currentVersion } };
    }
    const version = (stored?.version ?? 0) + 1;
    this.revision++;
    this.writeCount++;
    this.objects.set(path, { value: update.value, version, revision: this.revision, deleted: isDelete });
    const lost = this.faults.loseAnswers > 0;
    if (lost) {
      this.faults.loseAnswers--;
    }
    return { status: 200, body: { version }, lost };
  }

  private listObjects(prefix: string, since: number): { objects: unknown[]; revision: number } {
    const objects: unknown[] = [];
    for (const [path, stored] of this.objects) {
      const isListed = path.startsWith(prefix) && stored.revision > since && !(since < 0 && stored.deleted);
      if (isListed) {
        objects.push({ path, ...stored });
      }
    }
    return { objects, revision: this.revision };
  }

  private async waitUntil(timeoutMs: number, condition: () => boolean): Promise<void> {
    const endAtMs = Date.now() + timeoutMs;
    while (!condition() && Date.now() < endAtMs && !this.faults.outage) {
      await sleep(WATCH_POLL_INTERVAL_MS);
    }
  }

  private applyControl(controlRequest: ControlRequest): JsonResponse {
    Object.assign(this.faults, controlRequest.faults ?? {});
    if (controlRequest.setInstance) {
      this.setInstance(controlRequest.setInstance);
    }
    if (controlRequest.removeInstance) {
      this.removeInstance(controlRequest.removeInstance);
    }
    return { status: 200, body: { writeCount: this.writeCount, callCount: this.callCount } };
  }
}

/** Body of a control request. */
export interface ControlRequest {
  readonly faults?: Partial<PlatformFaults>;
  readonly setInstance?: InstanceEntry;
  readonly removeInstance?: string;
}
