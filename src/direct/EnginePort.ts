import type { EngineReport, PlannedOrder } from './decisions/index.js';

/** Order to an engine; carried out only if the engine has accepted exactly `expectedOrderCount` orders before. */
export type ResidencyOrder = PlannedOrder;

/** Result of an order. */
export type OrderResult =
  | 'accepted'
  | 'alreadyDone'
  /** Another order is in progress, or the count differs. */
  | 'conflict'
  | 'refused'
  /** No response arrived; the order may still be carried out, unless another one is accepted first. */
  | 'unknown';

/** Interface to the engine on the agent's machine. */
export abstract class EnginePort {
  /** Reads the engine's state; resolves with undefined if the engine does not respond. */
  abstract readReport(): Promise<EngineReport | undefined>;

  /**
   * Sends an order to the engine.
   * @param order - Order to send.
   */
  abstract sendOrder(order: ResidencyOrder): Promise<OrderResult>;
}
