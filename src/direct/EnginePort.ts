import type { EngineReport } from './decisions/index.js';

/** Order to an engine; it is carried out only while the engine has accepted exactly so many orders before. */
export interface ResidencyOrder {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  /** Set when the order concerns an adapter of the model. */
  readonly adapter?: string;
  readonly expectedOrderCount: number;
}

/** How an order was answered. */
export type OrderResult =
  | 'accepted'
  | 'alreadyDone'
  /** Another order is under way, or the count differs. */
  | 'conflict'
  | 'refused'
  /** No answer came; the order may still be carried out, unless another one is accepted first. */
  | 'unknown';

/** The engine beside an agent. */
export abstract class EnginePort {
  /** Reads the engine's state; undefined when it does not answer. */
  abstract readReport(): Promise<EngineReport | undefined>;

  /**
   * Sends an order.
   * @param order - The order.
   */
  abstract sendOrder(order: ResidencyOrder): Promise<OrderResult>;
}
