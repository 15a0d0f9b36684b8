import type { ServerId } from '../../domain/index.js';
import { setNewest } from '../../kernel/setNewest.js';

/** Maximum number of server IDs with a record; the oldest record is discarded first. */
const MAX_RECORDS = 2_000;

/** Start times of the newest incarnations of one server that are known to be leaving or gone. */
interface RetirementRecord {
  /** Start time of the newest incarnation known to be leaving, in milliseconds since the epoch. */
  leavingBornAtMs: number;
  /** Start time of the newest incarnation that was removed, in milliseconds since the epoch. */
  goneBornAtMs: number;
}

/** Server incarnation, as an ID and the start time of its process. */
export interface ServerIncarnation {
  readonly serverId: ServerId;
  readonly bornAtMs: number;
}

/**
 * Remembers which incarnations of servers are leaving or gone, so that outdated information, such as the list of a
 * restored store, does not bring them back. A later start of a server under the same ID is another incarnation.
 */
export class ServerRetirements {
  private readonly records = new Map<ServerId, RetirementRecord>();

  /**
   * Records that an incarnation is leaving, which is final; returns false if that was known.
   * @param server - The incarnation.
   */
  recordLeaving(server: ServerIncarnation): boolean {
    if (this.isLeaving(server)) {
      return false;
    }
    this.getOrCreate(server.serverId).leavingBornAtMs = server.bornAtMs;
    return true;
  }

  /**
   * Records that an incarnation is no longer listed.
   * @param server - The incarnation.
   */
  recordGone(server: ServerIncarnation): void {
    const record = this.getOrCreate(server.serverId);
    record.goneBornAtMs = Math.max(record.goneBornAtMs, server.bornAtMs);
  }

  /**
   * Whether an incarnation is known to be leaving.
   * @param server - The incarnation.
   */
  isLeaving({ serverId, bornAtMs }: ServerIncarnation): boolean {
    return bornAtMs <= (this.records.get(serverId)?.leavingBornAtMs ?? -Infinity);
  }

  /**
   * Whether an incarnation was removed earlier.
   * @param server - The incarnation.
   */
  isGone({ serverId, bornAtMs }: ServerIncarnation): boolean {
    return bornAtMs <= (this.records.get(serverId)?.goneBornAtMs ?? -Infinity);
  }

  private getOrCreate(serverId: ServerId): RetirementRecord {
    const record = this.records.get(serverId) ?? { leavingBornAtMs: -Infinity, goneBornAtMs: -Infinity };
    setNewest(this.records, serverId, record, MAX_RECORDS);
    return record;
  }
}
