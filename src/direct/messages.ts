import type { ServerId } from '../domain/index.js';
import type {
  EngineCrash,
  EngineProfile,
  ModelFootprint,
  PromptPartHistory,
  ReportChanges,
} from './decisions/index.js';
import { getProfileDigest } from './getProfileDigest.js';

/** Methods that agents offer to routers. */
export const RESIDENCY_METHODS = {
  subscribe: 'residency.subscribe',
  follow: 'residency.follow',
  want: 'residency.want',
  started: 'residency.started',
  ended: 'residency.ended',
  ensureAdapter: 'residency.ensureAdapter',
  crashed: 'residency.crashed',
  completed: 'residency.completed',
  takeTrial: 'residency.takeTrial',
  leaving: 'residency.leaving',
  brokenOff: 'residency.brokenOff',
  partsAnswered: 'residency.partsAnswered',
} as const;

/** Methods that agents offer to routers for any server, not only for the engine beside them. */
export const PERMIT_METHODS = { take: 'permits.take' } as const;

/** Methods that agents offer to routers for streams of any engine. */
export const STREAM_METHODS = { began: 'streams.began', findOrigin: 'streams.findOrigin' } as const;

/** Methods that routers offer to agents. */
export const ROUTING_METHODS = {
  report: 'routing.report',
  engineCrashes: 'routing.engineCrashes',
  requestCompleted: 'routing.requestCompleted',
} as const;

/** Subscribes to an agent's reports and tells it a version of the configuration. */
export interface SubscribeEngineParams {
  readonly configurationVersion: number;
  /** Digest of the engine profile of its service in that version. */
  readonly profileDigest: string;
}

/** An agent's reply: whether it has the profile, wants it from this router, or waits for it from another one. */
export interface SubscribeEngineReply {
  readonly profileState: 'known' | 'wanted' | 'pending';
}

/** Sends an agent the engine profile of its service and subscribes to its reports. */
export interface FollowEngineParams {
  readonly configurationVersion: number;
  /** Digest of this profile; absent from routers of older versions. */
  readonly profileDigest?: string;
  readonly weightsMb: number;
  readonly adapterSlotCount: number;
  readonly models: readonly (readonly [string, ModelFootprint])[];
  /** Path of health checks of the service; absent if it has none, and from routers of older versions. */
  readonly healthPath?: string;
}

/** Requests that an agent load a model. */
export interface WantModelParams {
  readonly model: string;
  readonly isInteractive: boolean;
  /** Models that must not be evicted for it. */
  readonly keptModels: readonly string[];
  /** Models that may be evicted for it although they are in interactive use; absent in requests of older routers. */
  readonly evictableModels?: readonly string[];
}

/** Notifies an agent that a request on a model started or ended at its engine. */
export interface ModelUseParams {
  readonly model: string;
  readonly isInteractive: boolean;
  /** Mean time between two events of a stream that has ended, in milliseconds; absent if it is not known. */
  readonly eventGapMs?: number;
}

/** Requests that an agent make an adapter of a model ready. */
export interface EnsureAdapterParams {
  readonly model: string;
  readonly adapter: string;
}

/** Asks for a permit for one request to a server that limits its requests. */
export interface TakePermitParams {
  readonly serverId: ServerId;
  /** Host and port of the server. */
  readonly address: string;
  /** Number of requests per second that the server accepts from all routers together. */
  readonly maxRequestsPerSecond: number;
  /** Time that the request may wait, in milliseconds. */
  readonly maxWaitMs: number;
  /** Number of routers that share the limit. */
  readonly routerCount: number;
}

/** Asks for the software version at which a stream began. */
export interface FindOriginParams {
  /** ID of the request whose response brought the first event. */
  readonly requestId: string;
}

/** An agent's reply: the version, null if it does not know the stream. */
export interface FindOriginReply {
  readonly softwareVersion: string | null;
}

/** An agent's reply: whether the adapter is ready. */
export interface EnsureAdapterReply {
  readonly isReady: boolean;
}

/** Notifies an agent of a request that crashed a server; the agent includes a blocked one in its reports to all routers. */
export interface CrashedParams {
  readonly fingerprint: string;
  /** Number of crashes that the router has counted. */
  readonly crashCount: number;
  /** Time since the lost attempt was sent, in milliseconds; absent from routers of older versions. */
  readonly sentForMs?: number;
  /** Whether an attempt of the same request was lost before; absent from routers of older versions. */
  readonly isRepeat?: boolean;
}

/** Notifies an agent, and the agent its routers, that a request completed of which crashes are known. */
export interface RequestCompletedParams {
  readonly fingerprint: string;
}

/** Asks whether a blocked request is tried once; the answer is a decision as on a permit. */
export interface TakeTrialParams {
  readonly fingerprint: string;
  /** Number of its crashes that the router knows of. */
  readonly crashCount: number;
}

/** Notifies an agent that a connection to its engine broke while it carried a request. */
export interface BrokenOffParams {
  /** When the engine's process started, in milliseconds since the epoch. */
  readonly bornAtMs: number;
  /** Parts of the request's prompt that other requests may share. */
  readonly promptParts: readonly string[];
  /** What the router knew of the parts, in their order; undefined from a router of an older version. */
  readonly histories?: readonly PromptPartHistory[];
}

/** Notifies an agent that requests with prompt parts that it has found at crashes were answered. */
export interface PartsAnsweredParams {
  readonly promptParts: readonly string[];
}

/** New or changed crashes of an agent's engine; a router that connects receives all. */
export interface EngineCrashesParams {
  /** Host and port of the engine. */
  readonly address: string;
  readonly crashes: readonly EngineCrash[];
}

/** Notifies an agent of a server that has stated that it is leaving; the agent includes it in its reports to all routers. */
export interface LeavingParams {
  readonly serverId: ServerId;
  /** When the server's process started, in milliseconds since the epoch. */
  readonly bornAtMs: number;
}

/** Changes since an agent's last report to the routers that follow it; the first report is complete. */
export type EngineReportParams = ReportChanges;

/**
 * Converts an engine profile to the parameters of a follow message.
 * @param profile - Engine profile.
 * @param configurationVersion - Version of the configuration that contains the profile.
 */
export function toFollowParams(profile: EngineProfile, configurationVersion: number): FollowEngineParams {
  const { weightsMb, adapterSlotCount, models, healthPath } = profile;
  const profileDigest = getProfileDigest(profile);
  return {
    configurationVersion,
    profileDigest,
    weightsMb,
    adapterSlotCount,
    models: [...models],
    healthPath,
  };
}
