import { rankForKey } from '../kernel/index.js';
import { JSONRPCErrorCode, JSONRPCErrorException } from 'json-rpc-2.0';
import type { Clock, Service, Timer } from '../kernel/index.js';
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
import { getEngineEntries } from './engineEntries.js';
import { EngineSubscription, type SubscriptionLink } from './EngineSubscription.js';
import {
  RESIDENCY_METHODS,
  ROUTING_METHODS,
  type BrokenOffParams,
  type EngineCrashesParams,
  type EngineReportParams,
  type EnsureAdapterParams,
  type EnsureAdapterReply,
  type ModelUseParams,
  type PartsAnsweredParams,
  type RequestCompletedParams,
  type WantModelParams,
} from './messages.js';
import { RunningModelUses } from './RunningModelUses.js';

/** Interval at which missing connections are dialed, in milliseconds. */
const DIAL_INTERVAL_MS = 200;
/** Number of agents that report a leaving server, so that the loss of one or two does not matter. */
const LEAVING_RECORD_COUNT = 3;
/**
 * Time after its last message for which an agent counts as in touch, in milliseconds; an idle router receives a report each
 * second.
 */
const MAX_SILENCE_MS = 2_000;
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
  readonly subscription: EngineSubscription;
  /** Latest report, to which the agent's next changes are applied. */
  report: AgentReport | undefined;
  /** When the agent last sent a report or an answer. */
  heardAtMs: number;
  /** Methods that the agent does not offer, since it is of an older version. */
  readonly missingMethods: Set<string>;
}

/** Result of a call of an agent's method. */
export type AgentCallResult<T> =
  | { readonly kind: 'answered'; readonly value: T }
  /** No answer came in time, or the agent failed; it may have executed the call. */
  | { readonly kind: 'silent' }
  /** The agent does not offer the method. */
  | { readonly kind: 'unsupported' };

/** Keeps a router connected to the agents of all engines: receives their reports and sends them load requests. */
export class AgentConnections implements Service {
  private readonly connections = new Map<string, AgentConnection>();
  private readonly dialling = new Map<string, Promise<void>>();
  /** An agent is notified of its engine's running requests again when it reconnects. */
  private readonly runningUses = new RunningModelUses();
  private readonly dialTask: PeriodicTask;
  private currentChangeCount = 0;
  private reportListener: () => void = () => undefined;
  private completionListener: (fingerprint: string) => void = () => undefined;
  private crashListener: (address: string, crashes: readonly EngineCrash[]) => void = () => undefined;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: AgentConnectionsDependencies) {
    this.dialTask = new PeriodicTask(deps.clock, DIAL_INTERVAL_MS, () => this.updateConnections());
  }

  /** Number of changes of the connections and of the methods that agents are known to offer so far. */
  get changeCount(): number {
    return this.currentChangeCount;
  }

  /** Returns the methods that agents call on the connections. */
  getMethods(): PeerMethods {
    return {
      [ROUTING_METHODS.report]: (report: EngineReportParams) => this.applyReport(report),
      [ROUTING_METHODS.engineCrashes]: (params: EngineCrashesParams) => this.applyCrashes(params),
      [ROUTING_METHODS.requestCompleted]: ({ fingerprint }: RequestCompletedParams) =>
        this.completionListener(fingerprint),
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

  /**
   * Sets the listener for requests with known crashes that completed at another router.
   * @param listener - Called with the fingerprint of the request.
   */
  onRequestCompleted(listener: (fingerprint: string) => void): void {
    this.completionListener = listener;
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
    for (const { entry, engine } of getEngineEntries(this.deps.view)) {
      this.ensureConnection(entry.address, engine);
    }
  }

  /**
   * Requests that an agent load a model.
   * @param address - Address of the agent's engine.
   * @param params - The model, and what may be evicted for it.
   */
  requestModel(address: string, params: WantModelParams): void {
    this.notify(address, RESIDENCY_METHODS.want, params);
  }

  /**
   * Notifies an agent that a request on a model starts or has ended at its engine.
   * @param address - Address of the agent's engine.
   * @param event - Whether the request starts or has ended.
   * @param use - Model and kind of the request, and the pace of its stream.
   */
  notifyModelUse(address: string, event: 'started' | 'ended', use: ModelUseParams): void {
    this.runningUses.record(address, event, use);
    this.notify(address, RESIDENCY_METHODS[event], use);
  }

  /**
   * Requests that an agent make an adapter ready; resolves with false if that failed.
   * @param address - Address of the agent's engine.
   * @param model - Model of the adapter.
   * @param adapter - Name of the adapter.
   */
  async ensureAdapter(address: string, model: string, adapter: string): Promise<boolean> {
    const params: EnsureAdapterParams = { model, adapter };
    const method = RESIDENCY_METHODS.ensureAdapter;
    const result = await this.call<EnsureAdapterReply>(address, method, params, ADAPTER_TIMEOUT_MS);
    return result.kind === 'answered' && result.value.isReady;
  }

  /**
   * Sends a notification to an agent, if it is connected.
   * @param address - Address of the agent's engine.
   * @param method - Name of the method.
   * @param params - Parameters.
   */
  notify(address: string, method: string, params: object): void {
    this.connections.get(address)?.connection.notify(method, params);
  }

  /**
   * Calls a method of an agent.
   * @param address - Address of the agent's engine.
   * @param method - Name of the method.
   * @param params - Parameters.
   * @param timeoutMs - Time to wait for the answer, in milliseconds.
   */
  async call<T>(
    address: string,
    method: string,
    params: object,
    timeoutMs: number,
  ): Promise<AgentCallResult<T>> {
    const agent = this.connections.get(address);
    if (!agent) {
      return { kind: 'silent' };
    }
    let timer: Timer | undefined;
    const timeout = new Promise<AgentCallResult<T>>((resolve) => {
      timer = this.deps.clock.schedule(timeoutMs, () => resolve({ kind: 'silent' }));
    });
    const answer = agent.connection.call<T>(method, params).then(
      (value): AgentCallResult<T> => ({ kind: 'answered', value }),
      (error: unknown): AgentCallResult<T> => ({ kind: isMethodMissing(error) ? 'unsupported' : 'silent' }),
    );
    const result = await Promise.race([answer, timeout]);
    timer?.cancel();
    if (result.kind === 'answered') {
      agent.heardAtMs = this.deps.clock.nowMs();
    } else if (result.kind === 'unsupported') {
      agent.missingMethods.add(method);
      this.currentChangeCount++;
    }
    return result;
  }

  /**
   * Whether an agent is connected, has sent something lately and offers a method, as far as is known.
   * @param address - Address of the agent's engine.
   * @param method - Name of the method.
   */
  isInTouch(address: string, method: string): boolean {
    const agent = this.connections.get(address);
    return (
      agent !== undefined &&
      this.deps.clock.nowMs() - agent.heardAtMs < MAX_SILENCE_MS &&
      !agent.missingMethods.has(method)
    );
  }

  /**
   * Returns the connection to an agent that offers a method, as far as is known; undefined if it is not connected.
   * @param address - Address of the agent's engine.
   * @param method - Name of the method.
   */
  getConnection(address: string, method: string): PeerConnection | undefined {
    const agent = this.connections.get(address);
    return agent?.missingMethods.has(method) === true ? undefined : agent?.connection;
  }

  /**
   * Resolves when no connection to an agent is being opened.
   * @param address - Address of the agent's engine.
   */
  async waitUntilDialled(address: string): Promise<void> {
    await this.dialling.get(address);
  }

  /**
   * Returns the addresses of the connected agents' engines in an order that depends on a key and is the same on all
   * routers.
   * @param key - The key.
   */
  rankAgents(key: string): string[] {
    return rankForKey(key, this.connections.keys());
  }

  /**
   * Notifies the agent of an engine that a connection to the engine broke while it carried a request.
   * @param address - Address of the agent's engine.
   * @param params - Incarnation of the engine and the parts of the request's prompt.
   */
  notifyBrokenOff(address: string, params: BrokenOffParams): void {
    this.notify(address, RESIDENCY_METHODS.brokenOff, params);
  }

  /**
   * Notifies agents that requests with prompt parts that they have found at crashes were answered.
   * @param addresses - Addresses of the agents' engines.
   * @param params - The parts.
   */
  notifyPartsAnswered(addresses: readonly string[], params: PartsAnsweredParams): void {
    for (const address of addresses) {
      this.notify(address, RESIDENCY_METHODS.partsAnswered, params);
    }
  }

  /**
   * Notifies a few agents of a server that has stated that it is leaving; their reports pass it on to the other routers.
   * All routers choose the same agents for a server.
   * @param server - Incarnation of the server.
   */
  notifyLeaving(server: ServerIncarnation): void {
    for (const address of this.rankAgents(server.serverId).slice(0, LEAVING_RECORD_COUNT)) {
      this.notify(address, RESIDENCY_METHODS.leaving, server);
    }
  }

  private applyReport(changes: EngineReportParams): void {
    const agent = this.connections.get(changes.address);
    if (!agent) {
      return;
    }
    agent.heardAtMs = this.deps.clock.nowMs();
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
      this.announce(agent, engine);
    } else if (!this.dialling.has(address)) {
      this.dialling.set(address, this.dial(address, engine));
    }
  }

  private async dial(address: string, engine: EngineProfile): Promise<void> {
    const { dialer, peerPort, view, log } = this.deps;
    const host = address.slice(0, address.lastIndexOf(':'));
    try {
      const connection = await dialer.connect(`${host}:${peerPort}`);
      const sendRunningUses = () => {
        for (const use of this.runningUses.get(address)) {
          connection.notify(RESIDENCY_METHODS.started, use);
        }
      };
      const link: SubscriptionLink = {
        call: (method, params, timeoutMs) => this.call(address, method, params, timeoutMs),
        notify: (method, params) => connection.notify(method, params),
      };
      const agent: AgentConnection = {
        connection,
        subscription: new EngineSubscription(this.deps.clock, link, sendRunningUses),
        report: undefined,
        heardAtMs: this.deps.clock.nowMs(),
        missingMethods: new Set(),
      };
      connection.acquire();
      this.connections.set(address, agent);
      this.currentChangeCount++;
      connection.onClose(() => {
        this.connections.delete(address);
        this.currentChangeCount++;
        view.discardReport(address);
        log.warn('agent disconnected', { address, wasUnread: connection.wasUnread });
      });
      this.announce(agent, engine);
      sendRunningUses();
      log.info('agent connected', { address });
    } catch {
      // Retried at the next interval; until then the server's state is taken from the platform's list.
    } finally {
      this.dialling.delete(address);
    }
  }

  private announce({ subscription }: AgentConnection, engine: EngineProfile): void {
    subscription.update(engine, this.deps.view.configuration?.version ?? 0);
  }
}

function isMethodMissing(error: unknown): boolean {
  return error instanceof JSONRPCErrorException && error.code === (JSONRPCErrorCode.MethodNotFound as number);
}
