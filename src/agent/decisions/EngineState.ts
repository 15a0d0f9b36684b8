/** One model or adapter as a backend server reports it. */
export interface EngineItem {
  readonly itemId: string;
  readonly sizeBytes: number;
  readonly state: 'loading' | 'loaded' | 'unloading';
}

/** State that a model engine reports. */
export interface EngineState {
  /** Changes whenever the engine lost what it had loaded. */
  readonly bootId: string;
  readonly capacityBytes: number;
  readonly slotCount: number;
  /** Whether the engine refuses orders with an old number. */
  readonly fencing: boolean;
  readonly lastOrderNumber: number;
  readonly items: readonly EngineItem[];
  readonly memoryCached: readonly string[];
  readonly diskCached: readonly string[];
}

/** Order to a model engine. */
export interface EngineOrder {
  readonly orderNumber: number;
  /** `fence` changes nothing but makes the engine refuse lower numbers. */
  readonly kind: 'load' | 'unload' | 'fence';
  readonly itemId: string;
  readonly sizeBytes: number;
  readonly isAdapter: boolean;
}

/** How an order ended; `unknown` when no answer came. */
export type OrderOutcome = 'done' | 'refused' | 'unknown';

/** Where a checkpoint lies; the nearest copy counts. */
export type CacheTier = 'memory' | 'disk' | 'remote';
