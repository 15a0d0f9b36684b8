/** Time for which a connection has been quiet before it is closed for a new one, in milliseconds. */
const MIN_QUIET_MS = 1_000;
/** Time that counts for a head which has just begun, in milliseconds. */
const FRESH_HEAD_MS = 100;

/** What an open connection is waiting for. */
export type ConnectionStage =
  /** No complete head of a request was received on it. */
  | 'unused'
  /** The body of a request is incomplete. */
  | 'receiving'
  /** All requests are answered. */
  | 'idle'
  /** A request is being served, or another protocol is spoken. */
  | 'serving';

/** Facts of a connection that decide on its end. */
export interface ConnectionUse {
  readonly stage: ConnectionStage;
  /** When bytes were last received on it, in milliseconds. */
  readonly quietSinceMs: number;
  /** Bytes of a head, trailer or framing that have been received without their end. */
  readonly unfinishedBytes: number;
  /** Bytes of a complete head that the parser still holds, as it arrived in parts. */
  readonly keptHeadBytes: number;
  /** When the first of them was received, in milliseconds. */
  readonly unfinishedSinceMs: number;
  /** Memory of received bytes that wait for processor time, in bytes. */
  readonly waitingBytes: number;
  /**
   * Returns the processor time that it has used lately beyond a small share, in milliseconds.
   * @param nowMs - Current time, in milliseconds.
   */
  getDebtMs(nowMs: number): number;
}

const STAGE_ORDER: Readonly<Record<ConnectionStage, number>> = {
  unused: 3,
  receiving: 2,
  idle: 1,
  serving: 0,
};

/**
 * Returns the connection that is closed so that a new one has a place; undefined if none may be closed. Connections without any
 * request come first, then those with an incomplete body, then idle ones, and of these the one that is quiet for longest.
 * @param connections - Open connections.
 * @param nowMs - Current time, in milliseconds.
 */
export function chooseQuietest<T extends ConnectionUse>(
  connections: Iterable<T>,
  nowMs: number,
): T | undefined {
  let chosen: T | undefined;
  for (const connection of connections) {
    const { stage, quietSinceMs } = connection;
    if (stage === 'serving' || nowMs - quietSinceMs < MIN_QUIET_MS) {
      continue;
    }
    const difference = chosen ? STAGE_ORDER[stage] - STAGE_ORDER[chosen.stage] : 1;
    if (!chosen || difference > 0 || (difference === 0 && quietSinceMs < chosen.quietSinceMs)) {
      chosen = connection;
    }
  }
  return chosen;
}

/**
 * Returns the connection that is closed as heads take too much memory: the one whose bytes, times their age, are most.
 * @param connections - Open connections.
 * @param nowMs - Current time, in milliseconds.
 */
export function chooseLargestHead<T extends ConnectionUse>(
  connections: Iterable<T>,
  nowMs: number,
): T | undefined {
  let chosen: T | undefined;
  let chosenWeight = 0;
  for (const connection of connections) {
    const { unfinishedBytes, unfinishedSinceMs } = connection;
    const keptHeadBytes = connection.stage === 'serving' ? 0 : connection.keptHeadBytes;
    const weight = (unfinishedBytes + keptHeadBytes) * (nowMs - unfinishedSinceMs + FRESH_HEAD_MS);
    if (weight > chosenWeight) {
      chosen = connection;
      chosenWeight = weight;
    }
  }
  return chosen;
}

/**
 * Returns the connection that is closed as waiting bytes take too much memory: of those with waiting bytes, the one that has used
 * most processor time, and of equal ones the one with most bytes.
 * @param connections - Open connections.
 * @param nowMs - Current time, in milliseconds.
 */
export function chooseCostliest<T extends ConnectionUse>(
  connections: Iterable<T>,
  nowMs: number,
): T | undefined {
  let chosen: T | undefined;
  let chosenDebtMs = 0;
  for (const connection of connections) {
    const { waitingBytes } = connection;
    if (waitingBytes === 0) {
      continue;
    }
    const debtMs = connection.getDebtMs(nowMs);
    if (!chosen || debtMs > chosenDebtMs || (debtMs === chosenDebtMs && waitingBytes > chosen.waitingBytes)) {
      chosen = connection;
      chosenDebtMs = debtMs;
    }
  }
  return chosen;
}
