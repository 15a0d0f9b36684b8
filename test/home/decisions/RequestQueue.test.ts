import { expect } from 'chai';
import { toOrganisationId, toRequestId, type RequestClass } from '../../../src/domain/index.js';
import { RequestQueue, type WaitingRequest } from '../../../src/home/decisions/index.js';

function createRequest(
  id: string,
  organisation: string,
  deadlineAtMs: number,
  requestClass: RequestClass = 'interactive',
): WaitingRequest {
  return {
    requestId: toRequestId(id),
    organisationId: toOrganisationId(organisation),
    requestClass,
    deadlineAtMs,
    arrivedAtMs: 0,
    fingerprint: id,
    idempotent: true,
    excludedServerIds: [],
    arrivedCold: false,
  };
}

describe('RequestQueue', () => {
  describe('next', () => {
    function doTest(
      requests: readonly WaitingRequest[],
      runningCounts: Readonly<Record<string, number>>,
      expected: readonly string[],
    ): void {
      const queue = new RequestQueue();
      requests.forEach((request) => queue.add(request));
      const counts = new Map(Object.entries(runningCounts));
      const dispatched: string[] = [];
      for (
        let next = queue.next(
          (id) => counts.get(id) ?? 0,
          () => true,
        );
        next;
      ) {
        dispatched.push(next.requestId);
        queue.remove(next.requestId);
        counts.set(next.organisationId, (counts.get(next.organisationId) ?? 0) + 1);
        next = queue.next(
          (id) => counts.get(id) ?? 0,
          () => true,
        );
      }
      expect(dispatched).to.deep.equal(expected);
    }

    it('returns the earliest deadline first', () =>
      doTest(
        [createRequest('late', 'a', 30), createRequest('early', 'a', 10), createRequest('middle', 'a', 20)],
        {},
        ['early', 'middle', 'late'],
      ));

    it('returns interactive requests before batch requests', () =>
      doTest([createRequest('batch', 'a', 1, 'batch'), createRequest('desk', 'a', 99)], {}, [
        'desk',
        'batch',
      ]));

    it('alternates between organisations, however many requests one of them sends', () =>
      doTest(
        [
          createRequest('a1', 'a', 1),
          createRequest('a2', 'a', 2),
          createRequest('a3', 'a', 3),
          createRequest('b1', 'b', 9),
        ],
        {},
        ['a1', 'b1', 'a2', 'a3'],
      ));

    it('prefers the organisation with the fewest running requests', () =>
      doTest([createRequest('a1', 'a', 1), createRequest('b1', 'b', 9)], { a: 2 }, ['b1', 'a1']));
  });
});
