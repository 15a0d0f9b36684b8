import type { OrganisationId, RequestId } from '../../domain/index.js';
import type { ReplicaView, RunningRequest } from './ReplicaView.js';

/** Maps running requests to the replicas whose slots they occupy. */
export class SlotTable {
  private readonly replicaByRequest = new Map<string, ReplicaView>();
  private readonly countByOrganisation = new Map<string, number>();

  /** Number of running requests. */
  get size(): number {
    return this.replicaByRequest.size;
  }

  /** @param organisationId - Organisation whose running requests to count. */
  getRunningCount(organisationId: OrganisationId): number {
    return this.countByOrganisation.get(organisationId) ?? 0;
  }

  /** @param requestId - Request whose replica to return. */
  getReplica(requestId: string): ReplicaView | undefined {
    return this.replicaByRequest.get(requestId);
  }

  /** @param fingerprint - Fingerprint of the request to find. */
  isFingerprintRunning(fingerprint: string): boolean {
    for (const [requestId, replica] of this.replicaByRequest) {
      if (replica.running.get(requestId)?.fingerprint === fingerprint) {
        return true;
      }
    }
    return false;
  }

  /**
   * Occupies a slot.
   * @param request - Request that starts to run.
   * @param replica - Replica that it runs on.
   */
  occupy(request: RunningRequest, replica: ReplicaView): void {
    replica.running.set(request.requestId, request);
    this.replicaByRequest.set(request.requestId, replica);
    this.countByOrganisation.set(request.organisationId, this.getRunningCount(request.organisationId) + 1);
  }

  /**
   * Frees the slot of a request and returns the request; undefined when it has no slot.
   * @param requestId - The request.
   */
  free(requestId: string): RunningRequest | undefined {
    const replica = this.replicaByRequest.get(requestId);
    const request = replica?.running.get(requestId);
    if (!replica || !request) {
      return undefined;
    }
    replica.running.delete(requestId);
    this.replicaByRequest.delete(requestId);
    this.decrementCount(request.organisationId);
    return request;
  }

  /** @param atMs - Time; requests with an earlier deadline are returned. */
  *findOverdue(atMs: number): IterableIterator<RequestId> {
    for (const [requestId, replica] of [...this.replicaByRequest]) {
      const request = replica.running.get(requestId);
      if (request && request.deadlineAtMs < atMs) {
        yield request.requestId;
      }
    }
  }

  private decrementCount(organisationId: OrganisationId): void {
    const remainingCount = this.getRunningCount(organisationId) - 1;
    if (remainingCount > 0) {
      this.countByOrganisation.set(organisationId, remainingCount);
    } else {
      this.countByOrganisation.delete(organisationId);
    }
  }
}
