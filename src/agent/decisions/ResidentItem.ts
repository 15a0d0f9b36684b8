/** Phase of an item's life cycle on the backend server; `loadUnknown` if the result of an order is not known. */
export type ItemPhase = 'absent' | 'waitingForMemory' | 'loading' | 'ready' | 'unloading' | 'loadUnknown';

/** Request to load a model or adapter on the backend server. */
export interface ItemRequest {
  readonly itemId: string;
  readonly sizeBytes: number;
  /** Base model of an adapter; absent for a model. */
  readonly baseItemId?: string;
  /** Time for which the item stays loaded after its last use, in milliseconds. */
  readonly keepAliveMs: number;
}

/** A model or adapter with its state on the backend server. */
export interface ResidentItem {
  readonly itemId: string;
  readonly sizeBytes: number;
  readonly baseItemId?: string;
  keepAliveMs: number;
  phase: ItemPhase;
  runningCount: number;
  lastUsedAtMs: number;
  /** Number of the order in flight; 0 if there is none. */
  orderNumber: number;
  /** Number of the last order, whether its result is known or not. */
  lastOrderNumber: number;
  /** When the phase last changed. */
  changedAtMs: number;
}

/**
 * Creates an item.
 * @param request - The requested item.
 * @param phase - Initial phase.
 * @param nowMs - Time now.
 */
export function createItem(request: ItemRequest, phase: ItemPhase, nowMs: number): ResidentItem {
  return {
    ...request,
    phase,
    runningCount: 0,
    lastUsedAtMs: nowMs,
    orderNumber: 0,
    lastOrderNumber: 0,
    changedAtMs: nowMs,
  };
}

/**
 * Returns whether a request runs on an item or one of its adapters, or one of its adapters is being loaded.
 * @param item - The item.
 * @param items - All items of the server.
 */
export function isInUse(item: ResidentItem, items: Iterable<ResidentItem>): boolean {
  if (item.runningCount > 0) {
    return true;
  }
  for (const other of items) {
    const isPending = other.phase === 'loading' || other.phase === 'waitingForMemory';
    if (other.baseItemId === item.itemId && (other.runningCount > 0 || isPending)) {
      return true;
    }
  }
  return false;
}

/**
 * Returns the idle items that may be evicted for an incoming item, ordered by the end of their keep-alive.
 * @param incoming - The item to load.
 * @param items - All items of the server.
 */
export function rankForEviction(incoming: ItemRequest, items: readonly ResidentItem[]): ResidentItem[] {
  const candidates: ResidentItem[] = [];
  for (const item of items) {
    const isBase = item.itemId === incoming.baseItemId;
    if (item.phase === 'ready' && !isBase && !isInUse(item, items)) {
      candidates.push(item);
    }
  }
  const expiryMs = (item: ResidentItem) => item.lastUsedAtMs + item.keepAliveMs;
  return candidates.sort((left, right) => expiryMs(left) - expiryMs(right));
}

/**
 * Parses the base model from the id of an adapter, which has the form `service/model:adapter`.
 * @param itemId - Id of a model or adapter.
 */
export function parseBaseItem(itemId: string): { readonly baseItemId?: string } {
  const separatorIndex = itemId.indexOf(':');
  return separatorIndex < 0 ? {} : { baseItemId: itemId.slice(0, separatorIndex) };
}
