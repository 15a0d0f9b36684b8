import { expect } from 'chai';
import { SoakRecorder, type SoakRequest } from './SoakRecorder.js';

/** Time after which the request's answer is observed, in milliseconds; over the timeout of its route and the slack. */
const HELD_MS = 4_000;

const heldRequest: SoakRequest = {
  requestId: 'q1',
  kind: 'read',
  router: 'router-1',
  sentAtMs: 10_000,
  writtenAtMs: 10_001,
  endedAtMs: 10_000 + HELD_MS,
  status: 504,
  text: '',
  isComplete: true,
  isRouterStable: true,
  wasDisturbed: false,
  isSent: true,
};

describe('SoakRecorder', () => {
  function findViolations(
    delays: readonly (readonly [fromMs: number, toMs: number])[],
    changes: Partial<SoakRequest> = {},
  ): string[] {
    const recorder = new SoakRecorder();
    recorder.requests.push({ ...heldRequest, ...changes });
    for (const [fromMs, toMs] of delays) {
      recorder.ownDelays.push({ fromMs, toMs, processorMs: 0 });
    }
    return recorder.findViolations().map((violation) => violation.slice(0, violation.indexOf(':')));
  }

  it('reports a request that a router held', () => {
    expect(findViolations([])).to.deep.equal(['held']);
  });

  // Soak seed 3: routers answered in time, and the soak, which had no processor, read the answers 1.4 s later.
  it('does not report a request whose answer may have arrived while the soak itself was delayed', () => {
    expect(findViolations([[12_500, 14_100]])).to.deep.equal([]);
    const adjacentDelays = [
      [12_500, 13_000],
      [13_000, 13_950],
    ] as const;
    expect(findViolations(adjacentDelays)).to.deep.equal([]);
    expect(findViolations([[10_000, 10_900]], { writtenAtMs: 10_900 })).to.deep.equal([]);
  });

  it('reports a held request although the soak was delayed at another time, or too briefly to explain it', () => {
    expect(findViolations([[11_000, 13_000]])).to.deep.equal(['held']);
    expect(findViolations([[12_500, 13_800]])).to.deep.equal(['held']);
    expect(findViolations([[13_600, 14_100]])).to.deep.equal(['held']);
    expect(findViolations([[10_000, 10_900]])).to.deep.equal(['held']);
    expect(findViolations([], { writtenAtMs: 10_900 })).to.deep.equal(['held']);
  });
});
