import type { OrganisationId, RequestId } from '../../domain/index.js';
import type { ReplicaView, RunningRequest } from './ReplicaView.js';

/** Keeps which request runs on which replica. */
export class SlotTable {
  private readonly replicaByRequest = new Map<string, ReplicaView>();
  private readonly countByOrganisation = new Map<string, number>();

  /** Requests that run now. */
  get size(): number {
    return this.replicaByRequest.size;
  }

  /** @param organisationId - Organisation whose running requests are counted. */
  countOf(organisationId: OrganisationId): number {
    return this.countByOrganisation.get(organisationId) ?? 0;
  }

  /** @param requestId - Request whose replica is wanted. */
  getReplica(requestId: string): ReplicaView | undefined {
    return this.replicaByRequest.get(requestId);
  }

  /** @param fingerprint - Fingerprint of the request to look for. */
  isRunning(fingerprint: string): boolean {
    for (const [requestId, replica] of this.replicaByRequest) {
      if (replica.running.get(requestId)?.fingerprint === fingerprint) {
        return true;
      }
    }
    return false;
  }

  /**
   * Occupies a slot.
   * @param request - Request that runs from now on.
   * @param replica - Where it runs.
   */
  occupy(request: RunningRequest, replica: ReplicaView): void {
    replica.running.set(request.requestId, request);
    this.replicaByRequest.set(request.requestId, replica);
    this.countByOrganisation.set(request.organisationId, this.countOf(request.organisationId) + 1);
  }

  /**
   * Frees the slot of a request that runs no more; undefined when it has none.
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
    this.countDown(request.organisationId);
    return request;
  }

  /** @param atMs - Requests whose deadline lies before are given. */
  *overdueAt(atMs: number): IterableIterator<RequestId> {
    for (const [requestId, replica] of [...this.replicaByRequest]) {
      const request = replica.running.get(requestId);
      if (request && request.deadlineAtMs < atMs) {
        yield request.requestId;
      }
    }
  }

  private countDown(organisationId: OrganisationId): void {
    const left = this.countOf(organisationId) - 1;
    if (left > 0) {
      this.countByOrganisation.set(organisationId, left);
    } else {
      this.countByOrganisation.delete(organisationId);
    }
  }
}
