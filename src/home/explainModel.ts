import type { Grant, Placement, ServerId, Versioned } from '../domain/index.js';
import type { Forecast, ModelScheduler } from './decisions/index.js';

/** A replica as operators see it. */
export interface ReplicaExplanation {
  readonly serverId: ServerId;
  readonly phase: string;
  /** Whether the server takes new work. */
  readonly usable: boolean;
  readonly running: number;
  readonly slotCount: number;
}

/** Why a model is where it is, and what a request would meet now. */
export interface ModelExplanation {
  readonly modelId: string;
  readonly decidedReplicas: number;
  readonly placementVersion: number;
  readonly grants: readonly Grant[];
  readonly replicas: readonly ReplicaExplanation[];
  readonly waiting: number;
  readonly forecast: Forecast;
  readonly loadMeanMs: number;
  readonly serviceMeanMs: number;
}

/**
 * Explains a model to operators.
 * @param modelId - The model.
 * @param home - Its home.
 * @param placement - Its placement; undefined when there is none yet.
 * @param nowMs - Time now.
 */
export function explainModel(
  modelId: string,
  home: ModelScheduler,
  placement: Versioned<Placement> | undefined,
  nowMs: number,
): ModelExplanation {
  const { estimate, line, views } = home;
  const replicas = views.map((view) => ({
    serverId: view.serverId,
    phase: view.phase,
    usable: view.isUsable,
    running: view.running.size,
    slotCount: view.slotCount,
  }));
  return {
    modelId,
    decidedReplicas: placement?.value.decidedReplicas ?? 0,
    placementVersion: placement?.version ?? 0,
    grants: placement?.value.grants ?? [],
    replicas,
    waiting: line.length,
    forecast: estimate.forecast(line.length, views, nowMs),
    loadMeanMs: Math.round(estimate.loadTime.meanMs),
    serviceMeanMs: Math.round(estimate.serviceTime.meanMs),
  };
}
