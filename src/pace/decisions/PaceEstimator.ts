import type { ServerId } from '../../domain/index.js';
import { getBatchFactor, type ModelPace } from './ModelPace.js';

/** Half-life of an observation that no report confirms any more, in milliseconds. */
const HALF_LIFE_MS = 3_000;
/** Weight below which an observation is forgotten, in streams. */
const MIN_WEIGHT = 0.2;
/** Largest weight of an observation, in streams: the mean of many streams may still lie in one slow period. */
const MAX_WEIGHT = 4;
/** Evidence for a factor of 1, in streams. */
const SERVER_PRIOR_WEIGHT = 1;
/** Evidence for the gap of a model being the mean of the models, in streams. */
const MODEL_PRIOR_WEIGHT = 0.5;
/** Evidence for the product of server and model, beside observations of the pair, in streams. */
const PAIR_PRIOR_WEIGHT = 2;
/** Passes of one estimate; it starts from the last one, so that few are enough. */
const PASS_COUNT = 3;
/** Maximum number of models with a known gap; the ones that were known first are discarded first, unless observed. */
const MAX_MODELS = 1_000;
/** Maximum number of models with an observation on one server, the limit of its agent. */
const MAX_MODELS_PER_SERVER = 64;

/** Paces that an agent reports about its server. */
export interface ServerPaces {
  readonly serverId: ServerId;
  readonly paces: readonly (readonly [model: string, pace: ModelPace])[];
}

/** Sums over the observations of a model, and its gap. */
interface ModelGap {
  /** Logarithm of its gap in a usual batch on a server of usual pace. */
  logGap: number;
  weight: number;
  sum: number;
}

/** Pace of one model on one server. */
interface Observation {
  readonly model: ModelGap;
  /** Logarithm of the gap in a usual batch. */
  logGap: number;
  weight: number;
  /** Gap that is expected of the model on the server, in milliseconds. */
  expectedGapMs: number;
}

/** Observations of one server and what follows from them. */
interface ServerPace {
  readonly observations: Map<string, Observation>;
  logFactor: number;
  factor: number;
}

/**
 * Estimates how fast each server is and how long each model's events take. The logarithm of an observed gap is that of its
 * model plus that of its server; both are found by alternating passes. A server's factor is pulled towards 1 and a model's
 * gap towards the mean of the models while there is little evidence.
 */
export class PaceEstimator {
  private readonly servers = new Map<ServerId, ServerPace>();
  /** Gaps of the models, also of those that no server holds at the moment. */
  private readonly models = new Map<string, ModelGap>();
  private meanLogGap: number | undefined;
  private updatedAtMs: number | undefined;

  /** Servers with a known pace. */
  get serverIds(): IterableIterator<ServerId> {
    return this.servers.keys();
  }

  /** Number of servers with a known pace. */
  get serverCount(): number {
    return this.servers.size;
  }

  /**
   * Returns the time that a server needs for an event as a multiple of the usual time; 1 if it is not known.
   * @param serverId - The server.
   */
  getPaceFactor(serverId: ServerId): number {
    return this.servers.get(serverId)?.factor ?? 1;
  }

  /**
   * Returns the expected time between two events of a model's streams on a server in a usual batch, in milliseconds; that
   * of the mean of the models for a model of unknown pace, undefined while no pace is known at all.
   * @param serverId - The server.
   * @param model - Name of the model.
   */
  getExpectedGapMs(serverId: ServerId, model: string): number | undefined {
    const server = this.servers.get(serverId);
    const observation = server?.observations.get(model);
    if (observation) {
      return observation.expectedGapMs;
    }
    const logGap = this.models.get(model)?.logGap ?? this.meanLogGap;
    return logGap === undefined ? undefined : Math.exp(logGap) * (server?.factor ?? 1);
  }

  /**
   * Applies the current reports. What they do not confirm decays.
   * @param reports - Reported paces by server.
   * @param nowMs - Current time.
   */
  update(reports: Iterable<ServerPaces>, nowMs: number): void {
    this.decay(nowMs);
    for (const { serverId, paces } of reports) {
      this.observe(serverId, paces);
    }
    if (this.servers.size === 0) {
      return;
    }
    for (let pass = 0; pass < PASS_COUNT; pass++) {
      this.estimateModels();
      this.estimateServers();
    }
    this.updateExpectedGaps();
    this.discardModels();
  }

  private decay(nowMs: number): void {
    const factor = 2 ** (-(nowMs - (this.updatedAtMs ?? nowMs)) / HALF_LIFE_MS);
    this.updatedAtMs = nowMs;
    for (const [serverId, server] of this.servers) {
      for (const [model, observation] of server.observations) {
        observation.weight *= factor;
        if (observation.weight < MIN_WEIGHT) {
          server.observations.delete(model);
        }
      }
      if (server.observations.size === 0) {
        this.servers.delete(serverId);
      }
    }
  }

  private observe(serverId: ServerId, paces: ServerPaces['paces']): void {
    for (const [name, { gapMs, streamCount, runningCount }] of paces) {
      let server = this.servers.get(serverId);
      if (!server) {
        server = { observations: new Map(), logFactor: 0, factor: 1 };
        this.servers.set(serverId, server);
      }
      const logGap = Math.log(gapMs / getBatchFactor(runningCount));
      const weight = Math.min(MAX_WEIGHT, streamCount);
      const observation = server.observations.get(name);
      if (observation) {
        observation.logGap = logGap;
        observation.weight = weight;
      } else if (server.observations.size < MAX_MODELS_PER_SERVER) {
        const model = this.getOrCreateModel(name, logGap);
        server.observations.set(name, { model, logGap, weight, expectedGapMs: gapMs });
      }
    }
  }

  private getOrCreateModel(name: string, logGap: number): ModelGap {
    let model = this.models.get(name);
    if (!model) {
      model = { logGap, weight: 0, sum: 0 };
      this.models.set(name, model);
    }
    return model;
  }

  private estimateModels(): void {
    for (const model of this.models.values()) {
      model.weight = 0;
      model.sum = 0;
    }
    let totalWeight = 0;
    let totalSum = 0;
    for (const { observations, logFactor } of this.servers.values()) {
      for (const { model, logGap, weight } of observations.values()) {
        model.weight += weight;
        model.sum += weight * (logGap - logFactor);
        totalWeight += weight;
        totalSum += weight * (logGap - logFactor);
      }
    }
    const mean = totalSum / Math.max(MIN_WEIGHT, totalWeight);
    this.meanLogGap = mean;
    for (const model of this.models.values()) {
      if (model.weight > 0) {
        model.logGap = (model.sum + MODEL_PRIOR_WEIGHT * mean) / (model.weight + MODEL_PRIOR_WEIGHT);
      }
    }
  }

  private estimateServers(): void {
    for (const server of this.servers.values()) {
      let weightSum = 0;
      let sum = 0;
      for (const { model, logGap, weight } of server.observations.values()) {
        weightSum += weight;
        sum += weight * (logGap - model.logGap);
      }
      server.logFactor = sum / (weightSum + SERVER_PRIOR_WEIGHT);
      server.factor = Math.exp(server.logFactor);
    }
  }

  /** Sets the expected gaps of observed pairs; a server may be slow on one model alone. */
  private updateExpectedGaps(): void {
    for (const { observations, logFactor } of this.servers.values()) {
      for (const observation of observations.values()) {
        const { model, logGap, weight } = observation;
        const sum = PAIR_PRIOR_WEIGHT * (model.logGap + logFactor) + weight * logGap;
        observation.expectedGapMs = Math.exp(sum / (PAIR_PRIOR_WEIGHT + weight));
      }
    }
  }

  private discardModels(): void {
    for (const [name, { weight }] of this.models) {
      if (this.models.size <= MAX_MODELS) {
        return;
      }
      if (weight === 0) {
        this.models.delete(name);
      }
    }
  }
}
