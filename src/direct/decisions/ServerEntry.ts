import type { DataCentreId, ServerId, ServiceId } from '../../domain/index.js';
import type { ModelPace } from '../../pace/decisions/index.js';

/** Model that is loaded on a backend server, with its loaded adapters. */
export interface HeldModel {
  readonly name: string;
  readonly adapters: readonly string[];
}

/** Entry of a backend server in the platform's list. */
export interface ServerEntry {
  readonly serverId: ServerId;
  readonly serviceId: ServiceId;
  /** Host and port. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  /** Version of the server's software; absent if the entry does not tell. */
  readonly softwareVersion?: string;
  readonly slotCount: number;
  readonly isLeaving: boolean;
  /** When the server's process started, in milliseconds since the epoch; it changes with each restart. */
  readonly bornAtMs: number;
  readonly heldModels: readonly HeldModel[];
  /** Models whose weights the server can load from its host memory. */
  readonly modelsInMemory: readonly string[];
  /** Models whose weights the server can load from its disk. */
  readonly modelsOnDisk: readonly string[];
}

/** State of one engine as read by its agent; the values lag slightly. */
export interface EngineReport {
  /** When the engine's process started, in milliseconds since the epoch. */
  readonly bornAtMs: number;
  readonly heldModels: readonly HeldModel[];
  /** Adapters that are being loaded, as `model/adapter`. */
  readonly comingAdapters: readonly string[];
  /** Whether a load or unload of a model is in progress. */
  readonly isBusy: boolean;
  /** Number of orders that the engine has accepted since its start. */
  readonly orderCount: number;
  readonly waitingCount: number;
  readonly runningCount: number;
  readonly usedCacheTokens: number;
  readonly cacheTokens: number;
  readonly modelsInMemory: readonly string[];
  readonly modelsOnDisk: readonly string[];
  /** Whether the engine states that it is leaving; absent in reports of older agents. */
  readonly isLeaving?: boolean;
  /**
   * Number of requests per second that the engine accepts from all routers together, null if it names no limit; absent in
   * reports of older agents.
   */
  readonly maxRequestsPerSecond?: number | null;
}

/** Use of a model that is loaded on an engine. */
export interface ModelUse {
  /** Number of requests that run on the model. */
  readonly runningCount: number;
  /** Time since its load, or the start or end of its last request, in milliseconds. */
  readonly idleForMs: number;
  /** Whether it must not be evicted for batch work: it has interactive use or was just loaded for waiting requests. */
  readonly isProtected: boolean;
}

/** Report of an agent to the routers about its engine. */
export interface AgentReport extends EngineReport {
  /** Host and port of the engine. */
  readonly address: string;
  /** Use of each loaded model that accepts new requests. */
  readonly uses: Readonly<Record<string, ModelUse>>;
  /** Model that is being loaded. */
  readonly loadingModel?: string;
  /** Time since the load of that model began, in milliseconds. */
  readonly loadingForMs: number;
  /** Models that are to be loaded after it, in order. */
  readonly queuedModels: readonly string[];
  /** Number of routers that are connected to the agent. */
  readonly routerCount: number;
  /** Numbers of server crashes of the blocked requests, by fingerprint, as recorded by the agent. */
  readonly crashCounts: Readonly<Record<string, number>>;
  /** Newest version of the configuration that a router has sent to the agent; absent in reports of older agents. */
  readonly configurationVersion?: number;
  /** Start times of servers that have stated that they are leaving, by server ID; absent in reports of older agents. */
  readonly leavingServers?: Readonly<Record<string, number>>;
  /** Pace of the recent streams of each model, also of one that is no longer loaded; absent in reports of older agents. */
  readonly paces?: Readonly<Record<string, ModelPace>>;
}
