import type { EngineReport, IncarnationConditions, PlannedOrder } from './decisions/index.js';

/**
 * Order to an engine, with its conditions: the engine has accepted exactly `expectedOrderCount` orders before, is the expected
 * incarnation if one is named, and has received no higher fencing number.
 */
export interface ResidencyOrder extends PlannedOrder, IncarnationConditions {}

/** Result of an order. */
export type OrderResult =
  | 'accepted'
  | 'alreadyDone'
  /** Another order is in progress, or the count differs. */
  | 'conflict'
  | 'refused'
  /** The engine is another incarnation than the one that the order names. */
  | 'otherInstance'
  /** The engine has received a higher fencing number. */
  | 'fenced'
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

  /**
   * Asks the engine for the ID of its incarnation; resolves with undefined if it does not tell, which is the default.
   * @param _healthPath - Path of health checks of its service.
   */
  readInstanceId(_healthPath: string): Promise<string | undefined> {
    return Promise.resolve(undefined);
  }
}
