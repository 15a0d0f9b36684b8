import { expect } from 'chai';
import { PromptPartSuspects, type PromptPartBlock } from '../../../src/direct/index.js';

describe('PromptPartSuspects', () => {
  let blocks: PromptPartBlock[];
  let suspects: PromptPartSuspects;
  let crashCount: number;

  beforeEach(() => {
    blocks = [];
    suspects = new PromptPartSuspects((block) => blocks.push(block));
    crashCount = 0;
  });

  /** Applies a crash at which one request with each of the parts broke off. */
  function crash(atMs: number, ...promptParts: string[]): readonly string[] {
    const requestCounts = Object.fromEntries(promptParts.map((part) => [part, 1]));
    return suspects.applyCrashes('e', [{ bornAtMs: ++crashCount, ageMs: 0, requestCounts }], atMs);
  }

  function answerOthers(atMs: number): void {
    for (let count = 0; count < 10; count++) {
      suspects.recordSuccess([`other-${count}`], atMs);
    }
  }

  describe('findBlocked', () => {
    it('blocks the part that was found at three crashes and never answered, and no other', () => {
      crash(1_000, 'first', 'guilty', 'x');
      crash(2_000, 'first', 'guilty', 'y');
      suspects.recordSuccess(['first'], 2_500);
      crash(3_000, 'first', 'guilty', 'z');
      answerOthers(3_500);
      expect(suspects.findBlocked(['first', 'guilty'], 3_999)).to.equal(undefined);
      expect(suspects.findBlocked(['first', 'guilty'], 4_000)).to.equal('guilty');
      expect(suspects.findBlocked(['first', 'x'], 4_000)).to.equal(undefined);
      expect(blocks).to.deep.equal([{ promptPart: 'guilty', crashCount: 3 }]);
    });

    // Issue 24: parts of a few streams were taken for answers to many requests.
    it('does not count answers to equal prompts as answers to others', () => {
      [1_000, 2_000, 3_000].forEach((atMs) => crash(atMs, 'first'));
      for (let count = 0; count < 50; count++) {
        suspects.recordSuccess(['other'], 3_500 + count);
      }
      expect(suspects.findBlocked(['first'], 5_000)).to.equal(undefined);
      answerOthers(5_100);
      expect(suspects.findBlocked(['first'], 5_200)).to.equal('first');
    });

    it('counts crashes at the same time as one event', () => {
      for (let index = 0; index < 8; index++) {
        crash(1_000 + index, 'first');
      }
      answerOthers(1_500);
      expect(suspects.findBlocked(['first'], 5_000)).to.equal(undefined);
    });

    it('waits for five crashes while no other request is answered, then prefers the less shared part', () => {
      for (let count = 1; count <= 5; count++) {
        const requestCounts = { first: 9, guilty: 1, [`x${count}`]: 1 };
        suspects.applyCrashes('e', [{ bornAtMs: count, ageMs: 0, requestCounts }], count * 500);
        expect(suspects.findBlocked(['first', 'guilty'], count * 500 + 499)).to.equal(undefined);
      }
      expect(suspects.findBlocked(['first', 'guilty'], 3_500)).to.equal('guilty');
      expect(suspects.findBlocked(['first', 'x1'], 3_500)).to.equal(undefined);
    });

    it('blocks a second part for crashes that the first one does not explain', () => {
      for (const atMs of [1_000, 2_000, 3_000]) {
        crash(atMs, 'one', 'x');
        crash(atMs + 300, 'two');
      }
      answerOthers(3_500);
      crash(4_000, 'one');
      expect(suspects.findBlocked(['one'], 5_000)).to.equal('one');
      expect(suspects.findBlocked(['two'], 5_000)).to.equal('two');
      expect(suspects.findBlocked(['x'], 5_000)).to.equal(undefined);
    });

    it('keeps a part blocked for an hour after the last request with it', () => {
      [1_000, 2_000, 3_000].forEach((atMs) => crash(atMs, 'guilty'));
      answerOthers(3_500);
      expect(suspects.findBlocked(['guilty'], 5_000)).to.equal('guilty');
      expect(suspects.findBlocked(['guilty'], 3_600_000)).to.equal('guilty');
      expect(suspects.findBlocked(['guilty'], 7_000_000)).to.equal('guilty');
      expect(suspects.findBlocked(['guilty'], 10_600_001)).to.equal(undefined);
    });
  });

  describe('recordSuccess', () => {
    it('clears a part and names the engines whose agents must learn of it', () => {
      [1_000, 2_000, 3_000].forEach((atMs) => crash(atMs, 'part'));
      expect(suspects.recordSuccess(['part', 'other'], 3_100)).to.deep.equal(['e']);
      expect(suspects.recordSuccess(['part'], 3_200)).to.deep.equal([]);
      answerOthers(3_500);
      expect(suspects.findBlocked(['part'], 5_000)).to.equal(undefined);
    });
  });

  describe('applyCrashes', () => {
    it('leaves out and returns parts that were answered after the crash', () => {
      suspects.recordSuccess(['part'], 1_000);
      const crashes = [{ bornAtMs: 1, ageMs: 100, requestCounts: { part: 1, x: 1 } }];
      expect(suspects.applyCrashes('e', crashes, 1_050)).to.deep.equal(['part']);
    });

    it('unblocks a part that another router has seen answered', () => {
      [1_000, 2_000, 3_000].forEach((atMs) => crash(atMs, 'part', 'x'));
      suspects.recordSuccess(['x'], 3_100);
      answerOthers(3_500);
      expect(suspects.findBlocked(['part'], 5_000)).to.equal('part');
      const crashes = [1, 2, 3].map((bornAtMs) => ({ bornAtMs, ageMs: 3_000, requestCounts: {} }));
      suspects.applyCrashes('e', crashes, 5_100);
      expect(suspects.findBlocked(['part'], 5_200)).to.equal(undefined);
    });
  });
});
