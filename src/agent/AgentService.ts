import type { Clock, Service } from '../kernel/index.js';
import { delay, PeriodicTask } from '../kernel/index.js';
import {
  AGENT_METHODS,
  PLACEMENT_PREFIX,
  ROUTER_METHODS,
  toModelId,
  type AgentHello,
  type AttemptStatusParams,
  type AttemptStatusReply,
  type FollowParams,
  type Placement,
  type PlacementOffer,
  type ReplicaReport,
  type RunParams,
  type RunReply,
  type ServerId,
  type WakeParams,
  type WakeReply,
} from '../domain/index.js';
import type { ObjectStore } from '../platform/index.js';
import type { Log } from '../telemetry/index.js';
import type { PeerConnection, PeerMethods } from '../transport/index.js';
import type { AttemptRunner } from './AttemptRunner.js';
import type { PermitSource } from './LoadLimiter.js';
import type { GrantTable, ItemPhase } from './decisions/index.js';
import type { ResidencyService } from './ResidencyService.js';

/** Time between two attempts to confirm the grants. */
const GRANT_CONFIRMATION_INTERVAL_MS = 1_000;
/** Time after which the report of an unchanged model is sent again. */
const REPORT_REFRESH_INTERVAL_MS = 10_000;

/** Maximum time for which a stopping agent waits until its responses are acknowledged. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 3_000;
/** Time between two checks for unacknowledged responses. */
const ACKNOWLEDGEMENT_POLL_INTERVAL_MS = 50;

/** Dependencies of `AgentService`. */
export interface AgentServiceDependencies {
  readonly serverId: ServerId;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly grants: GrantTable;
  readonly residency: ResidencyService;
  readonly runner: AttemptRunner;
  readonly isPlain: boolean;
  readonly log: Log;
}

/** Controls one backend server: the only sender of its orders, and the only entrance for its requests. */
export class AgentService implements Service {
  /** Connections of the routers that receive reports, by model. */
  private readonly followers = new Map<string, Set<PeerConnection>>();
  private readonly lastReportJson = new Map<string, string>();
  private readonly confirmationTask: PeriodicTask;
  private readonly refreshTask: PeriodicTask;
  private leavingSinceMs: number | undefined;
  private wasReachable = false;

  /** @param deps - Dependencies of the agent. */
  constructor(private readonly deps: AgentServiceDependencies) {
    this.confirmationTask = new PeriodicTask(
      deps.clock,
      GRANT_CONFIRMATION_INTERVAL_MS,
      () => void this.confirmGrants(),
    );
    this.refreshTask = new PeriodicTask(deps.clock, REPORT_REFRESH_INTERVAL_MS, () => this.refresh());
    deps.residency.onChange(() => this.reportChanges());
  }

  /** Whether the server is leaving and refuses new requests. */
  get isLeaving(): boolean {
    return this.leavingSinceMs !== undefined;
  }

  async start(): Promise<void> {
    await this.deps.residency.start();
    await this.confirmGrants();
    this.confirmationTask.start();
    this.refreshTask.start();
  }

  /** Refuses new requests, waits until the running ones have ended, and stops. */
  async stop(): Promise<void> {
    this.leave();
    await this.deps.runner.waitUntilIdle();
    await this.waitForAcknowledgements();
    this.confirmationTask.stop();
    this.refreshTask.stop();
    this.deps.residency.stop();
  }

  private async waitForAcknowledgements(): Promise<void> {
    const { clock, runner } = this.deps;
    const endAtMs = clock.nowMs() + ACKNOWLEDGEMENT_TIMEOUT_MS;
    while (runner.attempts.hasUnacknowledged && clock.nowMs() < endAtMs) {
      await delay(clock, ACKNOWLEDGEMENT_POLL_INTERVAL_MS);
    }
  }

  /** Marks the server as leaving and refuses new requests from now on. */
  leave(): void {
    if (this.isLeaving) {
      return;
    }
    this.leavingSinceMs = this.deps.clock.nowMs();
    this.deps.residency.controller.leave();
    this.deps.log.info('server leaving');
    this.reportChanges();
  }

  /** Returns the methods that routers call. */
  getMethods(): PeerMethods {
    return {
      [AGENT_METHODS.hello]: () => this.createHello(),
      [AGENT_METHODS.follow]: (params: FollowParams, connection) => this.follow(params, connection),
      [AGENT_METHODS.wake]: (params: WakeParams, connection) => this.wake(params, connection),
      [AGENT_METHODS.offer]: (params: { modelId: string }) => this.createOffer(params.modelId),
      [AGENT_METHODS.run]: (params: RunParams, connection) => this.run(params, connection),
      [AGENT_METHODS.ask]: (params: AttemptStatusParams) => this.queryAttemptStatus(params),
      [AGENT_METHODS.resume]: (params: AttemptStatusParams, connection) => this.resume(params, connection),
      [AGENT_METHODS.acknowledge]: (params: AttemptStatusParams) =>
        this.deps.runner.attempts.acknowledge(params.attemptId),
      [AGENT_METHODS.cancel]: (params: AttemptStatusParams) => this.deps.runner.cancel(params.attemptId),
      [AGENT_METHODS.drain]: () => this.leave(),
    };
  }

  private createHello(): AgentHello {
    const { serverId, incarnation, residency } = this.deps;
    return { serverId, incarnation, slotCount: residency.slotCount, leaving: this.isLeaving };
  }

  private follow(params: FollowParams, connection: PeerConnection): ReplicaReport {
    const followers = this.followers.get(params.modelId) ?? new Set();
    this.followers.set(params.modelId, followers);
    if (!followers.has(connection)) {
      followers.add(connection);
      connection.onClose(() => followers.delete(connection));
    }
    if (params.placement && this.deps.grants.accept(params.placement)) {
      this.deps.residency.controller.tick(this.deps.clock.nowMs());
      this.deps.residency.sendOrdersAndNotify();
    }
    return this.createReport(params.modelId);
  }

  private wake(params: WakeParams, connection: PeerConnection): WakeReply {
    this.follow(params, connection);
    const item = { itemId: params.modelId, sizeBytes: params.sizeBytes, keepAliveMs: params.keepAliveMs };
    const result = this.deps.residency.wake(item, createPermitSource(connection));
    const report = this.createReport(params.modelId);
    return result.kind === 'refused' ? { refusedBecause: result.reason, report } : { report };
  }

  private createOffer(modelId: string): PlacementOffer {
    return this.deps.residency.createOffer(this.deps.serverId, modelId, this.isLeaving);
  }

  private run(params: RunParams, connection: PeerConnection): RunReply {
    if (params.incarnation !== this.deps.incarnation) {
      return this.deps.runner.refuse(
        params,
        'serverFailed',
        'The agent restarted before the request arrived.',
      );
    }
    if (this.isLeaving) {
      return this.deps.runner.refuse(params, 'serverLeaving', 'The server is leaving and takes no new work.');
    }
    return this.deps.runner.run(params, connection);
  }

  private queryAttemptStatus(params: AttemptStatusParams): AttemptStatusReply {
    if (params.incarnation !== this.deps.incarnation) {
      return { kind: 'otherIncarnation' };
    }
    const { attempts } = this.deps.runner;
    const status = attempts.resolveStatus(params.attemptId, this.deps.clock.nowMs());
    const outcome = attempts.getOutcome(params.attemptId);
    return status.kind === 'finished' && outcome ? { ...status, outcome } : status;
  }

  private resume(params: AttemptStatusParams, connection: PeerConnection): AttemptStatusReply {
    if (params.incarnation !== this.deps.incarnation) {
      return { kind: 'otherIncarnation' };
    }
    return this.deps.runner.resume(params.attemptId, params.fromOrdinal ?? 0, connection);
  }

  private createReport(modelId: string): ReplicaReport {
    const { serverId, incarnation, residency, grants } = this.deps;
    return {
      serverId,
      incarnation,
      modelId: toModelId(modelId),
      phase: this.deps.isPlain ? 'ready' : toReportedPhase(residency.controller.getPhase(modelId)),
      placementVersion: grants.getVersion(modelId),
      slotCount: residency.slotCount,
      leaving: this.isLeaving,
      reachable: residency.isReachable,
    };
  }

  private reportChanges(): void {
    this.logReachability();
    for (const [modelId, followers] of this.followers) {
      const report = this.createReport(modelId);
      const reportJson = JSON.stringify(report);
      if (this.lastReportJson.get(modelId) === reportJson) {
        continue;
      }
      this.lastReportJson.set(modelId, reportJson);
      for (const follower of followers) {
        follower.notify(ROUTER_METHODS.report, report);
      }
    }
  }

  /** Clears the last reports, so that every model is reported again, and removes expired attempts. */
  private refresh(): void {
    this.lastReportJson.clear();
    this.deps.runner.attempts.removeExpired(this.deps.clock.nowMs());
  }

  private logReachability(): void {
    const isReachable = this.deps.residency.isReachable;
    if (isReachable !== this.wasReachable) {
      this.wasReachable = isReachable;
      this.deps.log.info(isReachable ? 'backend server reachable' : 'backend server unreachable');
    }
  }

  private async confirmGrants(): Promise<void> {
    if (this.deps.grants.isConfirmed || this.deps.isPlain) {
      return;
    }
    const listing = await this.deps.store.list<Placement>(PLACEMENT_PREFIX);
    if (listing && !this.deps.grants.isConfirmed) {
      this.deps.grants.confirm(listing.objects);
      this.deps.log.info('grants confirmed', { placementCount: listing.objects.length });
    }
  }
}

/** Creates a source that acquires permits over the connection on which the load was requested. */
function createPermitSource(connection: PeerConnection): PermitSource {
  return {
    acquire: (itemId) => connection.call<string | undefined>(ROUTER_METHODS.loadPermit, { itemId }),
    release: (permitId) => connection.notify(ROUTER_METHODS.permitDone, { permitId }),
  };
}

/** Maps an item's phase to the phases that are reported to the scheduler. */
function toReportedPhase(phase: ItemPhase): ReplicaReport['phase'] {
  switch (phase) {
    case 'waitingForMemory':
    case 'loading':
      return 'loading';
    case 'loadUnknown':
      return 'unloading';
    case 'absent':
    case 'ready':
    case 'unloading':
      return phase;
  }
}
