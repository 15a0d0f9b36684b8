import type { Grant, Placement, ServerId, Versioned } from '../domain/index.js';
import type { Forecast, ModelScheduler } from './decisions/index.js';

/** State of a replica, for operators. */
export interface ReplicaExplanation {
  readonly serverId: ServerId;
  readonly phase: string;
  /** Whether the server is reachable and accepts new requests. */
  readonly usable: boolean;
  readonly running: number;
  readonly slotCount: number;
}

/** Placement and replicas of a model, and the forecast for a request that arrives now. */
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
 * @param scheduler - Scheduler of the model.
 * @param placement - Placement of the model; undefined when there is none yet.
 * @param nowMs - Time now.
 */
export function explainModel(
  modelId: string,
  scheduler: ModelScheduler,
  placement: Versioned<Placement> | undefined,
  nowMs: number,
): ModelExplanation {
  const { estimate, queue, views } = scheduler;
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
    waiting: queue.length,
    forecast: estimate.forecast(queue.length, views, nowMs),
    loadMeanMs: Math.round(estimate.loadTime.meanMs),
    serviceMeanMs: Math.round(estimate.serviceTime.meanMs),
  };
}
