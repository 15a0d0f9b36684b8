/** Where an item is in its life on the backend server. */
export type ItemPhase = 'absent' | 'waitingForMemory' | 'loading' | 'ready' | 'unloading' | 'loadUnknown';

/** A model or adapter that is to be on the backend server. */
export interface ItemRequest {
  readonly itemId: string;
  readonly sizeBytes: number;
  /** Model that an adapter belongs to; absent for a model. */
  readonly baseItemId?: string;
  /** Time that the item stays after its last use, in milliseconds. */
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
  /** Number of the order in flight; 0 when there is none. */
  orderNumber: number;
  /** Number of the last order, answered or not. */
  lastOrderNumber: number;
  /** When the phase last changed. */
  changedAtMs: number;
}

/**
 * Creates an item.
 * @param request - The item as it was asked for.
 * @param phase - Its first phase.
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
 * Whether a request runs on an item, or on one of its adapters, or an adapter is being loaded onto it.
 * @param item - The item.
 * @param all - All items of the server.
 */
export function isInUse(item: ResidentItem, all: Iterable<ResidentItem>): boolean {
  if (item.runningCount > 0) {
    return true;
  }
  for (const other of all) {
    const isComing = other.phase === 'loading' || other.phase === 'waitingForMemory';
    if (other.baseItemId === item.itemId && (other.runningCount > 0 || isComing)) {
      return true;
    }
  }
  return false;
}

/**
 * Gives the idle items that may be evicted for another, the one whose keep-alive ends first coming first.
 * @param wanted - The other item.
 * @param all - All items of the server.
 */
export function rankForEviction(wanted: ItemRequest, all: readonly ResidentItem[]): ResidentItem[] {
  const candidates: ResidentItem[] = [];
  for (const item of all) {
    const isBase = item.itemId === wanted.baseItemId;
    if (item.phase === 'ready' && !isBase && !isInUse(item, all)) {
      candidates.push(item);
    }
  }
  const expiryMs = (item: ResidentItem) => item.lastUsedAtMs + item.keepAliveMs;
  return candidates.sort((left, right) => expiryMs(left) - expiryMs(right));
}

/**
 * Reads the base model off an adapter's id, which is `service/model:adapter`.
 * @param itemId - Id of a model or adapter.
 */
export function baseOf(itemId: string): { readonly baseItemId?: string } {
  const end = itemId.indexOf(':');
  return end < 0 ? {} : { baseItemId: itemId.slice(0, end) };
}
