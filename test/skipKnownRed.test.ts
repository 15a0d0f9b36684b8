import { expect } from 'chai';
import { parseKnownRed } from './skipKnownRed.js';

describe('skipKnownRed', () => {
  describe('parseKnownRed', () => {
    it('returns the titles of tests and ignores everything else', () => {
      const text = 'Known failures.\n\ntest: router refuses early\ncommand: npm test\nSeen once: test: no.\n';
      expect([...parseKnownRed(text)]).to.deep.equal(['router refuses early']);
    });
  });
});
