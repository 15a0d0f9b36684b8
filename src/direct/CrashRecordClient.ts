import type { AgentConnections } from './AgentConnections.js';
import { isPermitDecision, type PermitDecision } from './decisions/index.js';
import {
  RESIDENCY_METHODS,
  type CrashedParams,
  type RequestCompletedParams,
  type TakeTrialParams,
} from './messages.js';

/**
 * Number of agents that record the crashes of a request, so that the loss of some does not matter, nor that an agent reports
 * nothing while its engine is down.
 */
const RECORD_COUNT = 5;
/** Timeout of a request for a trial, in milliseconds; an agent answers within a few milliseconds. */
const TRIAL_TIMEOUT_MS = 150;
/** Time after which a trial is asked for again if no decision came, in milliseconds. */
const SILENT_RETRY_MS = 1_000;

/**
 * Sends what a router knows of requests that crash servers to a few agents, the same ones for all routers. These pass on which
 * requests are blocked with their reports, and decide when one is tried again.
 */
export class CrashRecordClient {
  /** @param agentConnections - Connections to the agents. */
  constructor(private readonly agentConnections: AgentConnections) {}

  /**
   * Notifies agents of a request that ran on a server when it crashed.
   * @param params - The request and its crashes.
   */
  notifyCrash(params: CrashedParams): void {
    this.notify(params.fingerprint, RESIDENCY_METHODS.crashed, params);
  }

  /**
   * Notifies agents that a request completed of which crashes are known.
   * @param fingerprint - Fingerprint of the request.
   */
  notifyCompleted(fingerprint: string): void {
    const params: RequestCompletedParams = { fingerprint };
    this.notify(fingerprint, RESIDENCY_METHODS.completed, params);
  }

  /**
   * Asks whether a blocked request is tried; resolves with undefined if no agent decides on it.
   * @param params - The request.
   */
  async takeTrial(params: TakeTrialParams): Promise<PermitDecision | undefined> {
    const method = RESIDENCY_METHODS.takeTrial;
    const agents = this.agentConnections.rankAgents(params.fingerprint);
    const decider = agents.find((address) => this.agentConnections.isInTouch(address, method));
    if (decider === undefined) {
      return undefined;
    }
    const result = await this.agentConnections.call(decider, method, params, TRIAL_TIMEOUT_MS);
    switch (result.kind) {
      case 'answered':
        break;
      case 'silent':
        return { isGranted: false, retryInMs: SILENT_RETRY_MS };
      case 'unsupported':
        return this.takeTrial(params);
    }
    if (!isPermitDecision(result.value)) {
      return { isGranted: false, retryInMs: SILENT_RETRY_MS };
    }
    if (result.value.isGranted) {
      // The others decide in its place for routers that have lost it.
      for (const address of agents.slice(0, RECORD_COUNT)) {
        if (address !== decider) {
          this.agentConnections.notify(address, method, params);
        }
      }
    }
    return result.value;
  }

  private notify(fingerprint: string, method: string, params: object): void {
    for (const address of this.agentConnections.rankAgents(fingerprint).slice(0, RECORD_COUNT)) {
      this.agentConnections.notify(address, method, params);
    }
  }
}
