import type { Clock, Service } from '../kernel/index.js';
import { PeriodicTask } from '../kernel/index.js';
import type { Log } from '../telemetry/index.js';
import type { PeerConnection, PeerDialer, PeerMethods } from '../transport/index.js';
import {
  applyReportChanges,
  isCompleteReport,
  isEngineCrash,
  type AgentReport,
  type EngineCrash,
  type EngineProfile,
  type FleetView,
  type ServerIncarnation,
} from './decisions/index.js';
import { hashToFraction } from './decisions/rendezvous.js';
import {
  RESIDENCY_METHODS,
  ROUTING_METHODS,
  toFollowParams,
  type BrokenOffParams,
  type EngineCrashesParams,
  type EngineReportParams,
  type EnsureAdapterReply,
  type ModelUseParams,
  type PartsAnsweredParams,
  type WantModelParams,
} from './messages.js';

/** Interval at which missing connections are dialed, in milliseconds. */
const DIAL_INTERVAL_MS = 200;
/** Number of agents that are notified of a leaving server, so that the loss of one or two does not matter. */
const LEAVING_NOTICE_COUNT = 3;
/** Timeout of a request for an adapter, in milliseconds; longer than the agent's timeout. */
const ADAPTER_TIMEOUT_MS = 600;

/** Dependencies of {@link AgentConnections}. */
export interface AgentConnectionsDependencies {
  readonly clock: Clock;
  readonly dialer: PeerDialer;
  readonly view: FleetView;
  /** Port on which every agent listens. */
  readonly peerPort: number;
  readonly log: Log;
}

/** Connection to one agent. */
interface AgentConnection {
  readonly connection: PeerConnection;
  followedVersion: number;
  /** Latest report, to which the agent's next changes are applied. */
  report: AgentReport | undefined;
}

/** Keeps a router connected to the agents of all engines: receives their reports and sends them load requests. */
export class AgentConnections implements Service {
  private readonly connections = new Map<string, AgentConnection>();
  private readonly dialling = new Set<string>();
  /** Running requests on models, by address of the engine; an agent is notified of them again when it reconnects. */
  private readonly runningUses = new Map<string, ModelUseParams[]>();
  private readonly dialTask: PeriodicTask;
  private reportListener: () => void = () => undefined;
  private crashListener: (address: string, crashes: readonly EngineCrash[]) => void = () => undefined;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: AgentConnectionsDependencies) {
    this.dialTask = new PeriodicTask(deps.clock, DIAL_INTERVAL_MS, () => this.updateConnections());
  }

  /** Returns the methods that agents call on the connections. */
  getMethods(): PeerMethods {
    return {
      [ROUTING_METHODS.report]: (report: EngineReportParams) => this.applyReport(report),
      [ROUTING_METHODS.engineCrashes]: (params: EngineCrashesParams) => this.applyCrashes(params),
    } as PeerMethods;
  }

  /**
   * Sets the listener for reports.
   * @param listener - Called after each report.
   */
  onReport(listener: () => void): void {
    this.reportListener = listener;
  }

  /**
   * Sets the listener for crashes of engines.
   * @param listener - Called with the address of an engine and its new or changed crashes.
   */
  onEngineCrashes(listener: (address: string, crashes: readonly EngineCrash[]) => void): void {
    this.crashListener = listener;
  }

  start(): Promise<void> {
    this.dialTask.start();
    this.updateConnections();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.dialTask.stop();
    return Promise.resolve();
  }

  /** Opens missing connections and sends agents a new configuration. */
  updateConnections(): void {
    const { view } = this.deps;
    for (const entry of view.getEntries()) {
      const engine = view.configuration?.services.get(entry.serviceId)?.engine;
      if (engine) {
        this.ensureConnection(entry.address, engine);
      }
    }
  }

  /**
   * Requests that an agent load a model.
   * @param address - Address of the agent's engine.
   * @param model - Name of the model.
   * @param isInteractive - Whether interactive requests wait for it.
   * @param keptModels - Models that must not be evicted for it.
   */
  requestModel(
    address: string,
    model: string,
    isInteractive: boolean,
    keptModels: readonly string[] = [],
  ): void {
    const params: WantModelParams = { model, isInteractive, keptModels };
    this.connections.get(address)?.connection.notify(RESIDENCY_METHODS.want, params);
  }

  /**
   * Notifies an agent that a request on a model starts or has ended at its engine.
   * @param address - Address of the agent's engine.
   * @param event - Whether the request starts or has ended.
   * @param model - Name of the model.
   * @param isInteractive - Whether the request is interactive.
   */
  notifyModelUse(address: string, event: 'started' | 'ended', model: string, isInteractive: boolean): void {
    const use: ModelUseParams = { model, isInteractive };
    this.recordUse(address, event, use);
    this.connections.get(address)?.connection.notify(RESIDENCY_METHODS[event], use);
  }

  /**
   * Requests that an agent make an adapter ready; resolves with false if that failed.
   * @param address - Address of the agent's engine.
   * @param model - Model of the adapter.
   * @param adapter - Name of the adapter.
   */
  async ensureAdapter(address: string, model: string, adapter: string): Promise<boolean> {
    const agent = this.connections.get(address);
    if (!agent) {
      return false;
    }
    const isReady = agent.connection
      .call<EnsureAdapterReply>(RESIDENCY_METHODS.ensureAdapter, { model, adapter })
      .then((reply) => reply.isReady)
      .catch(() => false);
    const timeout = new Promise<boolean>((resolve) => {
      this.deps.clock.schedule(ADAPTER_TIMEOUT_MS, () => resolve(false));
    });
    return Promise.race([isReady, timeout]);
  }

  /**
   * Notifies all agents of a request that crashed a server; their reports pass it on to the other routers.
   * @param fingerprint - Fingerprint of the request.
   * @param crashCount - Number of crashes so far.
   */
  notifyCrash(fingerprint: string, crashCount: number): void {
    for (const { connection } of this.connections.values()) {
      connection.notify(RESIDENCY_METHODS.crashed, { fingerprint, crashCount });
    }
  }

  /**
   * Notifies the agent of an engine that a connection to the engine broke while it carried a request.
   * @param address - Address of the agent's engine.
   * @param params - Incarnation of the engine and the parts of the request's prompt.
   */
  notifyBrokenOff(address: string, params: BrokenOffParams): void {
    this.connections.get(address)?.connection.notify(RESIDENCY_METHODS.brokenOff, params);
  }

  /**
   * Notifies agents that requests with prompt parts that they have found at crashes were answered.
   * @param addresses - Addresses of the agents' engines.
   * @param params - The parts.
   */
  notifyPartsAnswered(addresses: readonly string[], params: PartsAnsweredParams): void {
    for (const address of addresses) {
      this.connections.get(address)?.connection.notify(RESIDENCY_METHODS.partsAnswered, params);
    }
  }

  /**
   * Notifies a few agents of a server that has stated that it is leaving; their reports pass it on to the other routers.
   * All routers choose the same agents for a server.
   * @param server - Incarnation of the server.
   */
  notifyLeaving(server: ServerIncarnation): void {
    const candidates = [...this.connections].map(([address, agent]) => ({
      agent,
      weight: hashToFraction(server.serverId, address),
    }));
    candidates.sort((left, right) => right.weight - left.weight);
    for (const { agent } of candidates.slice(0, LEAVING_NOTICE_COUNT)) {
      agent.connection.notify(RESIDENCY_METHODS.leaving, server);
    }
  }

  private recordUse(address: string, event: 'started' | 'ended', use: ModelUseParams): void {
    const uses = this.runningUses.get(address) ?? [];
    if (event === 'started') {
      uses.push(use);
      this.runningUses.set(address, uses);
      return;
    }
    const index = uses.findIndex(
      ({ model, isInteractive }) => model === use.model && isInteractive === use.isInteractive,
    );
    if (index >= 0) {
      uses.splice(index, 1);
    }
    if (uses.length === 0) {
      this.runningUses.delete(address);
    }
  }

  private applyReport(changes: EngineReportParams): void {
    const agent = this.connections.get(changes.address);
    if (!agent) {
      return;
    }
    const report = applyReportChanges(agent.report, changes);
    if (!isCompleteReport(report)) {
      this.deps.log.warn('report of an agent cannot be read', { address: changes.address });
      return;
    }
    agent.report = report;
    this.deps.view.applyReport(report, this.deps.clock.nowMs());
    this.reportListener();
  }

  private applyCrashes({ address, crashes }: EngineCrashesParams): void {
    if (this.connections.has(address) && Array.isArray(crashes)) {
      this.crashListener(
        address,
        crashes.filter((crash) => isEngineCrash(crash)),
      );
    }
  }

  private ensureConnection(address: string, engine: EngineProfile): void {
    const agent = this.connections.get(address);
    if (agent) {
      this.sendFollow(agent, engine);
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
      const agent: AgentConnection = { connection, followedVersion: -Infinity, report: undefined };
      connection.acquire();
      this.connections.set(address, agent);
      connection.onClose(() => {
        this.connections.delete(address);
        view.discardReport(address);
        log.warn('agent disconnected', { address });
      });
      this.sendFollow(agent, engine);
      for (const use of this.runningUses.get(address) ?? []) {
        connection.notify(RESIDENCY_METHODS.started, use);
      }
      log.info('agent connected', { address });
    } catch {
      // Retried at the next interval; until then the server's state is taken from the platform's list.
    } finally {
      this.dialling.delete(address);
    }
  }

  private sendFollow(agent: AgentConnection, engine: EngineProfile): void {
    const version = this.deps.view.configuration?.version ?? 0;
    if (agent.followedVersion !== version) {
      agent.followedVersion = version;
      agent.connection.notify(RESIDENCY_METHODS.follow, toFollowParams(engine, version));
    }
  }
}
