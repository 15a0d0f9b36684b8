/** A model or adapter as reported by a backend server. */
export interface EngineItem {
  readonly itemId: string;
  readonly sizeBytes: number;
  readonly state: 'loading' | 'loaded' | 'unloading';
}

/** State as reported by a model engine. */
export interface EngineState {
  /** Changes whenever the engine has lost the items it had loaded. */
  readonly bootId: string;
  readonly capacityBytes: number;
  readonly slotCount: number;
  /** Whether the engine refuses orders with a number below that of the last fence. */
  readonly fencing: boolean;
  readonly lastOrderNumber: number;
  readonly items: readonly EngineItem[];
  readonly memoryCached: readonly string[];
  readonly diskCached: readonly string[];
}

/** Order to a model engine. */
export interface EngineOrder {
  readonly orderNumber: number;
  /** `fence` loads and unloads nothing; it makes the engine refuse orders with lower numbers. */
  readonly kind: 'load' | 'unload' | 'fence';
  readonly itemId: string;
  readonly sizeBytes: number;
  readonly isAdapter: boolean;
}

/** Result of an order; `unknown` if no response was received. */
export type EngineOrderResult = 'done' | 'refused' | 'unknown';

/** Storage tier of a checkpoint; the fastest tier that holds a copy. */
export type CacheTier = 'memory' | 'disk' | 'remote';
