import { expect } from 'chai';
import { toOrganisationId, toRequestId, type RequestClass } from '../../../src/domain/index.js';
import { RequestQueue, type WaitingRequest } from '../../../src/home/decisions/index.js';

function waiting(
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
      running: Readonly<Record<string, number>>,
      expected: readonly string[],
    ): void {
      const line = new RequestQueue();
      requests.forEach((request) => line.add(request));
      const counts = new Map(Object.entries(running));
      const served: string[] = [];
      for (
        let next = line.next(
          (id) => counts.get(id) ?? 0,
          () => true,
        );
        next;
      ) {
        served.push(next.requestId);
        line.remove(next.requestId);
        counts.set(next.organisationId, (counts.get(next.organisationId) ?? 0) + 1);
        next = line.next(
          (id) => counts.get(id) ?? 0,
          () => true,
        );
      }
      expect(served).to.deep.equal(expected);
    }

    it('serves the earliest deadline first', () =>
      doTest([waiting('late', 'a', 30), waiting('early', 'a', 10), waiting('middle', 'a', 20)], {}, [
        'early',
        'middle',
        'late',
      ]));

    it('serves interactive before batch', () =>
      doTest([waiting('batch', 'a', 1, 'batch'), waiting('desk', 'a', 99)], {}, ['desk', 'batch']));

    it('serves organisations by turns, whatever one of them sends', () =>
      doTest(
        [waiting('a1', 'a', 1), waiting('a2', 'a', 2), waiting('a3', 'a', 3), waiting('b1', 'b', 9)],
        {},
        ['a1', 'b1', 'a2', 'a3'],
      ));

    it('serves the organisation with the fewest running requests', () =>
      doTest([waiting('a1', 'a', 1), waiting('b1', 'b', 9)], { a: 2 }, ['b1', 'a1']));
  });
});
