import { runInBackground, type Clock } from '../kernel/index.js';
import type { AgentCallResult } from './AgentConnections.js';
import type { EngineProfile } from './decisions/index.js';
import { getProfileDigest } from './getProfileDigest.js';
import {
  RESIDENCY_METHODS,
  toFollowParams,
  type SubscribeEngineParams,
  type SubscribeEngineReply,
} from './messages.js';

/** Timeout of a subscription, in milliseconds. */
const SUBSCRIBE_TIMEOUT_MS = 1_000;
/** Time until the next subscription where the agent waits for the profile from another router, or did not answer, in milliseconds. */
const RETRY_INTERVAL_MS = 500;

/** Connection to the agent that a subscription uses. */
export interface SubscriptionLink {
  /** Calls a method of the agent. */
  call<T>(method: string, params: object, timeoutMs: number): Promise<AgentCallResult<T>>;
  /** Sends the agent a notification. */
  notify(method: string, params: object): void;
}

/**
 * Subscription of a router to the reports of one agent, with each version of the configuration.
 *
 * The profile of an engine service is large, the same for all its engines, and seldom differs between versions. A version is
 * therefore announced by the digest of the profile, and the profile itself is sent only to an agent that asks for it.
 */
export class EngineSubscription {
  private subscribedVersion = -Infinity;
  private isSubscribing = false;
  private retryAtMs = -Infinity;

  /**
   * @param clock - Source of time.
   * @param link - Connection to the agent.
   * @param onLateSubscription - Called after a subscription at an agent of an older version, which has ignored what was sent before.
   */
  constructor(
    private readonly clock: Clock,
    private readonly link: SubscriptionLink,
    private readonly onLateSubscription: () => void,
  ) {}

  /**
   * Announces a version of the configuration, unless the agent has it or an announcement is in progress.
   * @param profile - Profile of the agent's engine in that version.
   * @param configurationVersion - The version.
   */
  update(profile: EngineProfile, configurationVersion: number): void {
    const isDue = !this.isSubscribing && this.clock.nowMs() >= this.retryAtMs;
    if (this.subscribedVersion !== configurationVersion && isDue) {
      this.isSubscribing = true;
      runInBackground('subscription to an agent', () => this.subscribe(profile, configurationVersion));
    }
  }

  private async subscribe(profile: EngineProfile, configurationVersion: number): Promise<void> {
    const params: SubscribeEngineParams = { configurationVersion, profileDigest: getProfileDigest(profile) };
    try {
      const result = await this.link.call<SubscribeEngineReply | undefined>(
        RESIDENCY_METHODS.subscribe,
        params,
        SUBSCRIBE_TIMEOUT_MS,
      );
      if (result.kind === 'unsupported') {
        this.sendProfile(profile, configurationVersion);
        this.onLateSubscription();
        return;
      }
      switch (result.kind === 'answered' ? result.value?.profileState : undefined) {
        case 'known':
          this.subscribedVersion = configurationVersion;
          return;
        case 'wanted':
          this.sendProfile(profile, configurationVersion);
          return;
        case 'pending':
        case undefined:
          this.retryAtMs = this.clock.nowMs() + RETRY_INTERVAL_MS;
      }
    } finally {
      this.isSubscribing = false;
    }
  }

  private sendProfile(profile: EngineProfile, configurationVersion: number): void {
    this.subscribedVersion = configurationVersion;
    this.link.notify(RESIDENCY_METHODS.follow, toFollowParams(profile, configurationVersion));
  }
}
