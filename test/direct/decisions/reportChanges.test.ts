import { expect } from 'chai';
import * as fc from 'fast-check';
import {
  applyReportChanges,
  findReportChanges,
  type AgentReport,
  type ReportChanges,
} from '../../../src/direct/index.js';
import { makeHeldModel, makeEntry, makeReport } from '../fleetFixtures.js';

const ENTRY = makeEntry('x', { heldModels: [makeHeldModel('b')] });

describe('findReportChanges', () => {
  it('returns the complete report when there is no previous one', () => {
    const report = makeReport(ENTRY);
    expect(findReportChanges(undefined, report)).to.deep.equal(report);
  });

  it('omits unchanged fields', () => {
    const changes = findReportChanges(makeReport(ENTRY), makeReport(ENTRY, { runningCount: 3 }));
    expect(changes).to.deep.equal({ address: ENTRY.address, runningCount: 3 });
  });

  it('transfers any series of reports as JSON', () => {
    const report = fc.record({
      isBusy: fc.boolean(),
      runningCount: fc.nat(2),
      queuedModels: fc.subarray(['a', 'd']),
      heldModels: fc.subarray([makeHeldModel('b'), makeHeldModel('c', ['c1'])]),
      loadingModel: fc.option(fc.constantFrom('a', 'd'), { nil: undefined }),
      crashCounts: fc.dictionary(fc.constantFrom('f', 'g'), fc.nat(2)),
    });
    fc.assert(
      fc.property(fc.array(report, { minLength: 1 }), (series) => {
        let sent: AgentReport | undefined;
        let received: AgentReport | undefined;
        for (const overrides of series) {
          const next = makeReport(ENTRY, overrides);
          const wire = JSON.stringify(findReportChanges(sent, next));
          sent = next;
          received = applyReportChanges(received, JSON.parse(wire) as ReportChanges);
          expect(JSON.stringify(received, sortKeys)).to.equal(JSON.stringify(next, sortKeys));
        }
      }),
      { numRuns: 500, seed: 1 },
    );
  });
});

/** Replacer for `JSON.stringify` that sorts the keys of objects, since their order is insignificant. */
function sortKeys(_key: string, value: unknown): unknown {
  return value !== null && typeof value === 'object' && !Array.isArray(value)
    ? Object.fromEntries(Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1)))
    : value;
}
