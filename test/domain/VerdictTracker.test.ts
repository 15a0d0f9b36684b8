import { expect } from 'chai';
import { VerdictTracker } from '../../src/domain/index.js';

describe('VerdictTracker', () => {
  describe('verdict', () => {
    it('is didNotRun until an attempt may have been sent', () => {
      const tracker = new VerdictTracker();
      expect(tracker.verdict).to.equal('didNotRun');
      tracker.markPossiblySent('a.1');
      expect(tracker.verdict).to.equal('mayHaveRun');
    });

    it('returns to didNotRun only with a proof for every open attempt', () => {
      const tracker = new VerdictTracker();
      tracker.markPossiblySent('a.1');
      tracker.markPossiblySent('a.2');
      tracker.proveDidNotRun({ attemptId: 'a.2', source: 'agentRefusal' });
      expect(tracker.verdict).to.equal('mayHaveRun');
      tracker.proveDidNotRun({ attemptId: 'a.1', source: 'agentTombstone' });
      expect(tracker.verdict).to.equal('didNotRun');
    });
  });
});
