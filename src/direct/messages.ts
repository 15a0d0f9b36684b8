import type { EngineProfile, ModelFootprint, ReportChanges } from './decisions/index.js';

/** Methods that agents offer to routers. */
export const RESIDENCY_METHODS = {
  follow: 'residency.follow',
  want: 'residency.want',
  started: 'residency.started',
  ended: 'residency.ended',
  ensureAdapter: 'residency.ensureAdapter',
  crashed: 'residency.crashed',
} as const;

/** Methods that routers offer to agents. */
export const ROUTING_METHODS = { report: 'routing.report' } as const;

/** Tells an agent what the engines of its service are, and asks for its reports. */
export interface FollowEngineParams {
  readonly configurationVersion: number;
  readonly weightsMb: number;
  readonly adapterSlotCount: number;
  readonly models: readonly (readonly [string, ModelFootprint])[];
}

/** Asks an agent to load a model. */
export interface WantModelParams {
  readonly model: string;
  readonly isInteractive: boolean;
  /** Models that must not make room for it. */
  readonly keptModels: readonly string[];
}

/** Tells an agent that a request on a model began or ended at its engine. */
export interface ModelUseParams {
  readonly model: string;
  readonly isInteractive: boolean;
}

/** Asks an agent to make an adapter of a model ready. */
export interface EnsureAdapterParams {
  readonly model: string;
  readonly adapter: string;
}

/** An agent's answer: whether the adapter is ready. */
export interface EnsureAdapterReply {
  readonly isReady: boolean;
}

/** Tells an agent that a request crashed a server, so that all routers hear of it. */
export interface CrashedParams {
  readonly fingerprint: string;
  readonly crashCount: number;
}

/** What changed since an agent's last report to the routers that follow it; the first one is whole. */
export type EngineReportParams = ReportChanges;

/**
 * Writes an engine profile for an agent.
 * @param profile - The profile.
 * @param configurationVersion - Configuration that it is part of.
 */
export function toFollowParams(profile: EngineProfile, configurationVersion: number): FollowEngineParams {
  const { weightsMb, adapterSlotCount, models } = profile;
  return { configurationVersion, weightsMb, adapterSlotCount, models: [...models] };
}
