import type { EngineReport } from './ServerEntry.js';

/**
 * Age up to which a report shows an engine that is present, in milliseconds, from the start of its reading. A reading takes up
 * to half a second and the next one begins 100 ms later.
 */
const MAX_REPORT_AGE_MS = 1_000;
/**
 * Time for which an accepted order is expected to appear in the reports, in milliseconds. Their values are some hundred
 * milliseconds old; after this time the order count of the reports is taken as it is.
 */
const MAX_REPORT_LAG_MS = 2_000;

/**
 * Time for which reports with the order count that the engine rejected count as outdated, in milliseconds. It is short, since
 * an order is also rejected for reasons that do not change the count.
 */
const REJECTED_COUNT_MS = 100;

/** Outcome of an order that matters for the next one. */
export type OrderOutcome = 'accepted' | 'conflict' | 'other';

/** Reading of an engine's state that is under way. */
export interface EngineReading {
  /** Number in the order in which the readings began. */
  readonly number: number;
  readonly beganAtMs: number;
  /** Number of orders that had begun or ended before. */
  readonly orderEvents: number;
}

/** State that an order is bound to. */
interface OrderedState {
  readonly bornAtMs: number;
  readonly expectedOrderCount: number;
}

/**
 * Decides when the next order to an engine may be decided on: only while no order is under way, and on a report that was
 * requested after the end of the last one, of an engine that is present. Otherwise an order would be repeated on the same
 * report while its outcome is unknown, or sent to an engine that has ended.
 */
export class OrderGate {
  private readingCount = 0;
  private lastNumber = 0;
  private orderEvents = 0;
  private isOrdering = false;
  /** Last reading that succeeded; undefined while the engine does not respond. */
  private base: (EngineReading & Pick<EngineReport, 'bornAtMs' | 'orderCount'>) | undefined;
  /** State of the last order that was accepted or in conflict, and the time until which reports of that state are outdated. */
  private outdated: (OrderedState & { readonly untilMs: number }) | undefined;

  /** Whether the last reading reached the engine. */
  get isEnginePresent(): boolean {
    return this.base !== undefined;
  }

  /**
   * Records the start of a reading.
   * @param nowMs - Current time.
   */
  beginReading(nowMs: number): EngineReading {
    return { number: ++this.readingCount, beganAtMs: nowMs, orderEvents: this.orderEvents };
  }

  /**
   * Records the end of a reading; returns false if a later one has ended before, so that its report must not be applied.
   * @param reading - The reading.
   * @param report - The report; undefined if the engine did not respond.
   */
  endReading(reading: EngineReading, report: EngineReport | undefined): boolean {
    if (reading.number < this.lastNumber) {
      return false;
    }
    this.lastNumber = reading.number;
    this.base = report && { ...reading, bornAtMs: report.bornAtMs, orderCount: report.orderCount };
    return true;
  }

  /**
   * Whether an order may be decided on from the last report.
   * @param nowMs - Current time.
   */
  isOpen(nowMs: number): boolean {
    const { base } = this;
    return (
      base !== undefined &&
      !this.isOrdering &&
      base.orderEvents === this.orderEvents &&
      nowMs - base.beganAtMs <= MAX_REPORT_AGE_MS &&
      !this.isBehind(base, nowMs)
    );
  }

  /** Records that an order is sent. */
  beginOrder(): void {
    this.isOrdering = true;
    this.orderEvents++;
  }

  /**
   * Records the end of the order that was sent last.
   * @param order - State that it was bound to.
   * @param outcome - Its outcome.
   * @param nowMs - Current time.
   */
  endOrder(order: OrderedState, outcome: OrderOutcome, nowMs: number): void {
    this.isOrdering = false;
    this.orderEvents++;
    if (outcome !== 'other') {
      const { bornAtMs, expectedOrderCount } = order;
      const untilMs = nowMs + (outcome === 'accepted' ? MAX_REPORT_LAG_MS : REJECTED_COUNT_MS);
      this.outdated = { bornAtMs, expectedOrderCount, untilMs };
    }
  }

  /** Whether a report does not count an order yet that the engine has accepted. */
  private isBehind(
    { bornAtMs, orderCount }: Pick<EngineReport, 'bornAtMs' | 'orderCount'>,
    nowMs: number,
  ): boolean {
    const { outdated } = this;
    return (
      outdated?.bornAtMs === bornAtMs && orderCount <= outdated.expectedOrderCount && nowMs < outdated.untilMs
    );
  }
}
