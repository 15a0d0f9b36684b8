import type { Clock, Service } from '../kernel/index.js';
import { PeriodicTask } from '../kernel/index.js';
import type { Log } from '../telemetry/index.js';
import type { PeerConnection, PeerDialer, PeerMethods } from '../transport/index.js';
import {
  applyReportChanges,
  type AgentReport,
  type EngineProfile,
  type FleetView,
} from './decisions/index.js';
import {
  RESIDENCY_METHODS,
  ROUTING_METHODS,
  toFollowParams,
  type EngineReportParams,
  type EnsureAdapterReply,
  type WantModelParams,
} from './messages.js';

/** Interval at which missing connections are opened, in milliseconds. */
const DIAL_INTERVAL_MS = 200;
/** Time given to an agent to make an adapter ready, in milliseconds; it gives up by itself before. */
const ADAPTER_TIMEOUT_MS = 600;

/** What the links are made of. */
export interface AgentConnectionsDependencies {
  readonly clock: Clock;
  readonly dialer: PeerDialer;
  readonly view: FleetView;
  /** Port of every agent. */
  readonly peerPort: number;
  readonly log: Log;
}

/** One agent's connection. */
interface Link {
  readonly connection: PeerConnection;
  followedVersion: number;
  /** Latest report, to which the agent's next changes apply. */
  report: AgentReport | undefined;
}

/** Keeps a router connected to the agents of all engines, for reports one way and wishes the other. */
export class AgentConnections implements Service {
  private readonly links = new Map<string, Link>();
  private readonly dialling = new Set<string>();
  private readonly repeater: PeriodicTask;
  private reportListener: () => void = () => undefined;

  /** @param deps - What the links are made of. */
  constructor(private readonly deps: AgentConnectionsDependencies) {
    this.repeater = new PeriodicTask(deps.clock, DIAL_INTERVAL_MS, () => this.updateConnections());
  }

  /** Methods that agents call on the connections. */
  getMethods(): PeerMethods {
    return {
      [ROUTING_METHODS.report]: (report: EngineReportParams) => this.applyReport(report),
    } as PeerMethods;
  }

  /** @param listener - Called after each report. */
  onReport(listener: () => void): void {
    this.reportListener = listener;
  }

  start(): Promise<void> {
    this.repeater.start();
    this.updateConnections();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.repeater.stop();
    return Promise.resolve();
  }

  /** Opens missing connections and tells agents of a new configuration. */
  updateConnections(): void {
    const { view } = this.deps;
    for (const entry of view.getEntries()) {
      const engine = view.configuration?.services.get(entry.serviceId)?.engine;
      if (engine) {
        this.keepLink(entry.address, engine);
      }
    }
  }

  /**
   * Asks an agent to load a model.
   * @param address - Engine of the agent.
   * @param model - The model.
   * @param isInteractive - Whether callers wait for it live.
   * @param keptModels - Models that must not make room for it.
   */
  requestModel(
    address: string,
    model: string,
    isInteractive: boolean,
    keptModels: readonly string[] = [],
  ): void {
    const params: WantModelParams = { model, isInteractive, keptModels };
    this.links.get(address)?.connection.notify(RESIDENCY_METHODS.want, params);
  }

  /**
   * Tells an agent that a request on a model begins or has ended at its engine.
   * @param address - Engine of the agent.
   * @param event - Which of the two.
   * @param model - The model.
   * @param isInteractive - Whether its caller waits live.
   */
  notifyModelUse(address: string, event: 'started' | 'ended', model: string, isInteractive: boolean): void {
    this.links.get(address)?.connection.notify(RESIDENCY_METHODS[event], { model, isInteractive });
  }

  /**
   * Asks an agent to make an adapter ready; false when it could not.
   * @param address - Engine of the agent.
   * @param model - Model of the adapter.
   * @param adapter - The adapter.
   */
  async ensureAdapter(address: string, model: string, adapter: string): Promise<boolean> {
    const link = this.links.get(address);
    if (!link) {
      return false;
    }
    const answer = link.connection
      .call<EnsureAdapterReply>(RESIDENCY_METHODS.ensureAdapter, { model, adapter })
      .then((reply) => reply.isReady)
      .catch(() => false);
    const timeout = new Promise<boolean>((resolve) => {
      this.deps.clock.schedule(ADAPTER_TIMEOUT_MS, () => resolve(false));
    });
    return Promise.race([answer, timeout]);
  }

  /**
   * Tells all agents of a request that crashed a server; they tell the other routers.
   * @param fingerprint - Fingerprint of the request.
   * @param crashCount - Crashes so far.
   */
  notifyCrash(fingerprint: string, crashCount: number): void {
    for (const { connection } of this.links.values()) {
      connection.notify(RESIDENCY_METHODS.crashed, { fingerprint, crashCount });
    }
  }

  private applyReport(changes: EngineReportParams): void {
    const link = this.links.get(changes.address);
    if (link) {
      link.report = applyReportChanges(link.report, changes);
      this.deps.view.applyReport(link.report, this.deps.clock.nowMs());
      this.reportListener();
    }
  }

  private keepLink(address: string, engine: EngineProfile): void {
    const link = this.links.get(address);
    if (link) {
      this.follow(link, engine);
    } else if (!this.dialling.has(address)) {
      this.dialling.add(address);
      void this.dial(address, engine);
    }
  }

  private async dial(address: string, engine: EngineProfile): Promise<void> {
    const { dialer, peerPort, view, log } = this.deps;
    const host = address.slice(0, address.lastIndexOf(':'));
    try {
      const connection = await dialer.connect(`${host}:${peerPort}`);
      const link: Link = { connection, followedVersion: -Infinity, report: undefined };
      connection.acquire();
      this.links.set(address, link);
      connection.onClose(() => {
        this.links.delete(address);
        view.dropReport(address);
        log.warn('agent lost', { address });
      });
      this.follow(link, engine);
      log.info('agent connected', { address });
    } catch {
      // Tried again at the next interval; until then the server is used as the platform lists it.
    } finally {
      this.dialling.delete(address);
    }
  }

  private follow(link: Link, engine: EngineProfile): void {
    const version = this.deps.view.configuration?.version ?? 0;
    if (link.followedVersion !== version) {
      link.followedVersion = version;
      link.connection.notify(RESIDENCY_METHODS.follow, toFollowParams(engine, version));
    }
  }
}
