/** Lowest fencing number of an order. */
const MIN_FENCE_NUMBER = 1;
/** Times that the ID of one incarnation is asked for, in case answers get lost. */
const MAX_ASK_COUNT = 3;
/** Time between the end of a request for the ID and the next one, in milliseconds. */
const ASK_INTERVAL_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Conditions under which an engine carries out an order. */
export interface IncarnationConditions {
  /** ID of the incarnation that the order is for; undefined while it is not known. */
  readonly instanceId: string | undefined;
  /** Number below which the engine rejects orders once it has received one with it. */
  readonly fenceNumber: number;
}

/**
 * Knows for which incarnation of an engine orders are: its ID, and a fencing number, since an engine may start again under the
 * ID that it had. An order that is carried out late is so rejected by a later incarnation that has received an order.
 */
export class EngineIdentity {
  private bornAtMs: number | undefined;
  private instanceId: string | undefined;
  private askCount = 0;
  /** Number of orders that this incarnation has rejected as meant for another one. */
  private rejectionCount = 0;
  private isAsking = false;
  private askAgainAtMs = -Infinity;

  /**
   * Records a report of the engine.
   * @param bornAtMs - When the engine's process started, in milliseconds since the epoch.
   */
  applyReport(bornAtMs: number): void {
    if (bornAtMs !== this.bornAtMs) {
      this.bornAtMs = bornAtMs;
      this.instanceId = undefined;
      this.askCount = 0;
      this.rejectionCount = 0;
      this.askAgainAtMs = -Infinity;
    }
  }

  /**
   * Whether the engine should be asked for its ID.
   * @param nowMs - Current time.
   */
  shouldAsk(nowMs: number): boolean {
    return (
      this.bornAtMs !== undefined &&
      this.instanceId === undefined &&
      !this.isAsking &&
      this.askCount < MAX_ASK_COUNT &&
      nowMs >= this.askAgainAtMs
    );
  }

  /** Whether orders wait for the answer: the first one of an incarnation, and one after the last ID was wrong. */
  get isAwaited(): boolean {
    return this.isAsking && this.askCount <= 1;
  }

  /** Records that the engine is asked for its ID; returns the start time of the incarnation that is asked. */
  beginAsking(): number | undefined {
    this.isAsking = true;
    this.askCount++;
    return this.bornAtMs;
  }

  /**
   * Records the end of the request for the ID.
   * @param bornAtMs - Start time of the process that a report after the answer shows; undefined without such a report.
   * @param instanceId - ID that the engine has stated; undefined if it did not.
   * @param askedBornAtMs - Start time of the incarnation that was asked.
   * @param nowMs - Current time.
   */
  endAsking(
    bornAtMs: number | undefined,
    instanceId: string | undefined,
    askedBornAtMs: number | undefined,
    nowMs: number,
  ): void {
    this.isAsking = false;
    this.askAgainAtMs = nowMs + ASK_INTERVAL_MS;
    // A process that was asked before the report and is shown by it has given the answer itself.
    if (instanceId === undefined || bornAtMs !== askedBornAtMs || bornAtMs !== this.bornAtMs) {
      return;
    }
    this.instanceId = instanceId;
  }

  /**
   * Returns the conditions of orders that are based on a state of an incarnation.
   * @param bornAtMs - Start time of the incarnation.
   */
  getConditions(bornAtMs: number): IncarnationConditions {
    return {
      instanceId: bornAtMs === this.bornAtMs ? this.instanceId : undefined,
      fenceNumber: getFenceNumber(bornAtMs),
    };
  }

  /** Records that the engine has rejected an order as meant for another incarnation, so that it is asked again. */
  onOtherInstance(): void {
    this.instanceId = undefined;
    this.rejectionCount++;
    // An engine that rejects the ID that it states itself gets orders without one.
    this.askCount = this.rejectionCount < MAX_ASK_COUNT ? 0 : MAX_ASK_COUNT;
    this.askAgainAtMs = -Infinity;
  }
}

/**
 * Returns the fencing number of the orders to an incarnation. It depends on nothing but the start of the incarnation, which
 * each agent reads, so that an agent that starts again continues with the number of the one before it. No sender has to be
 * fenced off: an engine receives orders only from the agent on its machine. Two starts within one second share a number.
 * @param bornAtMs - Start time of the incarnation.
 */
function getFenceNumber(bornAtMs: number): number {
  return Math.max(MIN_FENCE_NUMBER, Math.floor(bornAtMs / MS_PER_SECOND));
}
