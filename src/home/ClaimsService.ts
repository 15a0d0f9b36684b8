import { runInBackground, type Clock } from '../kernel/index.js';
import {
  AGENT_METHODS,
  CLAIM_PREFIX,
  type AttemptStatusParams,
  type AttemptStatusReply,
  type ClaimParams,
  type ClaimReply,
  type OutcomeParams,
} from '../domain/index.js';
import { updateAndResolve, type ObjectStore } from '../platform/index.js';
import type { PeerDialer } from '../transport/index.js';
import { checkClaimParams, checkOutcomeParams } from './checkClaimParams.js';
import {
  ClaimLog,
  type AttemptStatusResult,
  type ClaimCommand,
  type ClaimSegment,
  type NumberedSegment,
} from './decisions/index.js';

/** Timeout for the status of an attempt from its agent, in milliseconds. */
const STATUS_TIMEOUT_MS = 1_500;

interface Shard {
  readonly log: ClaimLog;
  readonly claimReplies: Map<number, (reply: ClaimReply) => void>;
  readonly outcomeReplies: Map<number, (recorded: boolean) => void>;
}

/** Keeps the claims of the shards that this router owns, and of those that other routers consider it the owner of. */
export class ClaimsService {
  private readonly shards = new Map<string, Shard>();

  /**
   * @param clock - Source of time.
   * @param store - Object store of the platform.
   * @param dialer - Opens connections to agents.
   * @param writerId - Identifies this run of the process.
   */
  constructor(
    private readonly clock: Clock,
    private readonly store: ObjectStore,
    private readonly dialer: PeerDialer,
    private readonly writerId: string,
  ) {}

  /**
   * Requests a claim.
   * @param params - The claim.
   * @throws TypeError when the claim is malformed.
   */
  claim(params: ClaimParams): Promise<ClaimReply> {
    checkClaimParams(params);
    const shard = this.getShard(params.claimShard);
    return new Promise((resolve) => {
      shard.claimReplies.set(shard.log.claim(params, this.clock.nowMs()), resolve);
      this.executeCommands(params.claimShard, shard);
    });
  }

  /**
   * Records an outcome; false when it could not be recorded.
   * @param params - The outcome.
   * @throws TypeError when the outcome is malformed.
   */
  recordOutcome(params: OutcomeParams): Promise<boolean> {
    checkOutcomeParams(params);
    const shard = this.getShard(params.claimShard);
    return new Promise((resolve) => {
      shard.outcomeReplies.set(shard.log.recordOutcome(params, this.clock.nowMs()), resolve);
      this.executeCommands(params.claimShard, shard);
    });
  }

  private getShard(name: string): Shard {
    const existing = this.shards.get(name);
    if (existing) {
      return existing;
    }
    const shard: Shard = {
      log: new ClaimLog(`${this.writerId}-${name}`),
      claimReplies: new Map(),
      outcomeReplies: new Map(),
    };
    this.shards.set(name, shard);
    return shard;
  }

  private executeCommands(name: string, shard: Shard): void {
    for (const command of shard.log.takeCommands()) {
      runInBackground('command of a claim log', async () => {
        await this.executeCommand(name, shard, command);
        this.executeCommands(name, shard);
      });
    }
  }

  private async executeCommand(name: string, shard: Shard, command: ClaimCommand): Promise<void> {
    const getPath = (segmentNumber: number) => `${CLAIM_PREFIX}${name}/${String(segmentNumber)}`;
    switch (command.kind) {
      case 'list':
        shard.log.onSegmentsListed(await this.list(name), this.clock.nowMs());
        return;
      case 'write': {
        const result = await updateAndResolve(
          this.store,
          getPath(command.segmentNumber),
          command.value,
          command.ifVersion,
        );
        shard.log.onSegmentWritten(result, this.clock.nowMs());
        return;
      }
      case 'remove':
        await this.store.remove(getPath(command.segmentNumber), command.ifVersion);
        return;
      case 'ask': {
        const status = await this.queryAttemptStatus(command);
        shard.log.onAttemptStatus(command.key, command.attemptId, status, this.clock.nowMs());
        return;
      }
      case 'replyClaim':
        shard.claimReplies.get(command.operationId)?.(command.reply);
        shard.claimReplies.delete(command.operationId);
        return;
      case 'replyOutcome':
        shard.outcomeReplies.get(command.operationId)?.(command.recorded);
        shard.outcomeReplies.delete(command.operationId);
        return;
    }
  }

  private async list(name: string): Promise<NumberedSegment[] | undefined> {
    const listing = await this.store.list<ClaimSegment>(`${CLAIM_PREFIX}${name}/`);
    return listing?.objects.map((object) => ({
      segmentNumber: Number(object.path.slice(object.path.lastIndexOf('/') + 1)),
      version: object.version,
      value: object.value,
    }));
  }

  private async queryAttemptStatus(command: ClaimCommand & { kind: 'ask' }): Promise<AttemptStatusResult> {
    const params: AttemptStatusParams = {
      attemptId: command.attemptId,
      incarnation: command.target.incarnation,
    };
    const timeout = new Promise<AttemptStatusResult>((resolve) => {
      this.clock.schedule(STATUS_TIMEOUT_MS, () => resolve({ kind: 'unreachable' }));
    });
    const reply = this.dialer
      .connect(command.target.peerAddress)
      .then((connection) => connection.call<AttemptStatusReply>(AGENT_METHODS.ask, params))
      .catch((): AttemptStatusResult => ({ kind: 'unreachable' }));
    return Promise.race([reply, timeout]);
  }
}
