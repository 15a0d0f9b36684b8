import { expect } from 'chai';
import { runSoak, type SoakResult } from './soak.js';

const LOST = 'accepted request got no whole answer';
const TRUNCATED = 'a truncated response ended as complete';

describe('soak', function () {
  this.timeout(60_000);

  describe('under random faults, seed 5', () => {
    let result: SoakResult;

    before(async () => {
      result = await runSoak({ seed: 5, durationMs: 5_000 });
    });

    const expectNoViolation = (isConcerned: (violation: string) => boolean) => {
      expect(result.violations.filter(isConcerned), result.faults.join('\n')).to.deep.equal([]);
    };

    // Sound workers that fall silent for a second and continue: their running answers were cut, or refused with 502.
    it('gives the whole answer of each request that sound workers accepted', () => {
      expectNoViolation((violation) => violation.startsWith(LOST));
    });

    // Streams without length and chunks: cut by the router between two events, they looked complete to callers.
    it('ends no truncated response as complete', () => {
      expectNoViolation((violation) => violation.startsWith(TRUNCATED));
    });

    it('violates no other invariant', () => {
      expectNoViolation((violation) => !violation.startsWith(LOST) && !violation.startsWith(TRUNCATED));
      expect(result.completedCount).to.be.greaterThan(100);
    });
  });

  for (const [injectedViolation, violation] of [
    ['half', TRUNCATED],
    ['accepted', LOST],
  ] as const) {
    it(`detects the planted violation "${injectedViolation}"`, async () => {
      const { violations } = await runSoak({ seed: 1, durationMs: 1_000, injectedViolation });
      expect(violations.join('\n')).to.contain(violation);
    });
  }
});
