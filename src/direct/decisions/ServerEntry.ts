import type { DataCentreId, ServerId, ServiceId } from '../../domain/index.js';

/** A model that a backend server holds. */
export interface HeldModel {
  readonly name: string;
  readonly adapters: readonly string[];
}

/** A backend server as the platform lists it. */
export interface ServerEntry {
  readonly serverId: ServerId;
  readonly serviceId: ServiceId;
  /** Host and port. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly slotCount: number;
  readonly isLeaving: boolean;
  /** When the server's process started, in milliseconds since the epoch; a new start has a new one. */
  readonly bornAtMs: number;
  readonly heldModels: readonly HeldModel[];
  /** Models whose weights the server can load from its host memory. */
  readonly modelsInMemory: readonly string[];
  /** Models whose weights the server can load from its disk. */
  readonly modelsOnDisk: readonly string[];
}

/** State of one engine as its agent reads it; the numbers are some moments old. */
export interface EngineReport {
  /** When the engine's process started, in milliseconds since the epoch. */
  readonly bornAtMs: number;
  readonly heldModels: readonly HeldModel[];
  /** Adapters on their way, as `model/adapter`. */
  readonly comingAdapters: readonly string[];
  /** Whether a load or unload of a model is under way. */
  readonly isBusy: boolean;
  /** Orders that the engine has accepted since its start. */
  readonly orderCount: number;
  readonly waitingCount: number;
  readonly runningCount: number;
  readonly usedCacheTokens: number;
  readonly cacheTokens: number;
  readonly modelsInMemory: readonly string[];
  readonly modelsOnDisk: readonly string[];
}

/** Use of a model that an engine holds. */
export interface ModelUse {
  /** Requests that run on it. */
  readonly runningCount: number;
  /** Time since its last request began or ended, in milliseconds. */
  readonly idleForMs: number;
  /** Whether batch work must leave it alone: callers use it live, or others wait for it. */
  readonly isProtected: boolean;
}

/** What an agent tells routers about its engine. */
export interface AgentReport extends EngineReport {
  /** Host and port of the engine. */
  readonly address: string;
  /** Use of each model that the engine holds and that takes new requests. */
  readonly uses: Readonly<Record<string, ModelUse>>;
  /** Model that is being loaded. */
  readonly loadingModel?: string;
  /** Time since its load began, in milliseconds. */
  readonly loadingForMs: number;
  /** Models that are to be loaded after it, first one first. */
  readonly queuedModels: readonly string[];
  /** Routers that are connected to the agent. */
  readonly routerCount: number;
  /** Fingerprints of requests that crashed servers, and how often, as the agent was told. */
  readonly crashCounts: Readonly<Record<string, number>>;
}
