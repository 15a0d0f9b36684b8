import { delay, type Clock } from '../kernel/index.js';
import type { ServerId } from '../domain/index.js';
import type { AgentConnections } from './AgentConnections.js';
import {
  getHeldModel,
  type KnownServer,
  type RequestLimits,
  type ServerChooser,
  type ServerRequirements,
} from './decisions/index.js';
import type { CallerRequest } from './RequestForwarder.js';
import type { ModelLoader } from './ModelLoader.js';

/** Time after which servers that did not take a request are asked again, in milliseconds. */
const SERVER_PAUSE_MS = 120;

/** What searches are made of. */
export interface ServerSearchDependencies {
  readonly clock: Clock;
  readonly chooser: ServerChooser;
  readonly modelLoader: ModelLoader;
  readonly agentConnections: AgentConnections;
}

/** What a search may do. */
export interface SearchBounds {
  /** Whether a model or a server may be waited for. */
  readonly mayWait: boolean;
  /** Whether servers that did not take the request may be asked again. */
  readonly mayAskAgain: boolean;
}

/** How a search ended. */
export type SearchResult =
  | { readonly kind: 'found'; readonly server: KnownServer }
  /** No server can take the request in time. */
  | { readonly kind: 'refused'; readonly detail: string; readonly retryAfterMs?: number };

/** Finds one server after another for one request, and remembers those that are out of the question. */
export class ServerSearch {
  private readonly excluded = new Set<ServerId>();

  /**
   * @param deps - What searches are made of.
   * @param request - The request.
   * @param limits - Its limits.
   * @param isOver - Whether the request has ended meanwhile, so that nothing needs to be found.
   */
  constructor(
    private readonly deps: ServerSearchDependencies,
    private readonly request: CallerRequest,
    private readonly limits: RequestLimits,
    private readonly isOver: () => boolean,
  ) {}

  /** @param serverId - Server that must not be found again for now. */
  exclude(serverId: ServerId): void {
    this.excluded.add(serverId);
  }

  /**
   * Whether another server could take the request now.
   * @param serverId - Server apart from which one is looked for.
   */
  hasOther(serverId: ServerId): boolean {
    const need = {
      ...this.toNeed(),
      isInteractive: false,
      excludedServerIds: new Set([...this.excluded, serverId]),
    };
    return this.deps.chooser.chooseServer(need, this.deps.clock.nowMs()) !== undefined;
  }

  /**
   * Finds a server that can run the request now; waits for one as long as that makes sense.
   * @param bounds - What the search may do.
   */
  async find(bounds: SearchBounds): Promise<SearchResult> {
    const { chooser, clock } = this.deps;
    const { model, adapter } = this.request.call;
    while (!this.isOver()) {
      const server = chooser.chooseServer(this.toNeed(), clock.nowMs());
      if (!server) {
        const refusal = await this.wait(bounds);
        if (refusal) {
          return refusal;
        }
        continue;
      }
      if (model === undefined || adapter === undefined || (await this.hasAdapter(server, model, adapter))) {
        return { kind: 'found', server };
      }
      this.excluded.add(server.entry.serverId);
    }
    return { kind: 'refused', detail: 'the request has ended' };
  }

  /** Waits until searching again makes sense; gives the refusal when it doesn't. */
  private async wait(bounds: SearchBounds): Promise<SearchResult | undefined> {
    const { call, serviceId } = this.request;
    const untilMs = this.limits.waitDeadlineAtMs;
    if (!bounds.mayWait) {
      return { kind: 'refused', detail: 'no server takes the rest of the stream' };
    }
    if (call.model === undefined || this.excluded.size > 0) {
      return this.pauseForServers(bounds, untilMs);
    }
    const result = await this.deps.modelLoader.waitFor({
      requestId: call.requestId,
      serviceId,
      model: call.model,
      isInteractive: this.limits.isInteractive,
      untilMs,
    });
    switch (result.kind) {
      case 'ready':
        return undefined;
      case 'tooLate':
        return { kind: 'refused', detail: 'the model is not ready in time', retryAfterMs: result.readyInMs };
      case 'noPlace':
        return { kind: 'refused', detail: 'no server has room for the model' };
    }
  }

  /** Gives the servers that did not take the request a moment, if there is time for it. */
  private async pauseForServers(bounds: SearchBounds, untilMs: number): Promise<SearchResult | undefined> {
    const { clock } = this.deps;
    if (!bounds.mayAskAgain || clock.nowMs() + SERVER_PAUSE_MS >= untilMs) {
      return { kind: 'refused', detail: 'the servers did not take the request' };
    }
    await delay(clock, SERVER_PAUSE_MS);
    this.excluded.clear();
    return undefined;
  }

  private async hasAdapter(server: KnownServer, model: string, adapter: string): Promise<boolean> {
    if (getHeldModel(server, model)?.adapters.includes(adapter) === true) {
      return true;
    }
    return this.deps.agentConnections.ensureAdapter(server.entry.address, model, adapter);
  }

  private toNeed(): ServerRequirements {
    const { call, serviceId } = this.request;
    const isInteractive = this.limits.isInteractive && call.model !== undefined;
    const { model, adapter } = call;
    return { serviceId, model, adapter, isInteractive, excludedServerIds: this.excluded };
  }
}
