import { expect } from 'chai';
import { AdapterUsage } from '../../../src/direct/decisions/AdapterUsage.js';
import type { EngineReport } from '../../../src/direct/index.js';

const MODEL = 'a';
const makeReport = (adapters: readonly string[]) =>
  ({ heldModels: [{ name: MODEL, adapters }], comingAdapters: [] }) as unknown as EngineReport;

describe('AdapterUsage', () => {
  describe('getLeastRecentlyUsed', () => {
    it('returns the adapter whose last use is the longest ago', () => {
      const usage = new AdapterUsage();
      usage.recordUse(MODEL, 'first', 1);
      usage.recordUse(MODEL, 'second', 2);
      usage.recordUse(MODEL, 'first', 3);
      const found = usage.getLeastRecentlyUsed(makeReport(['first', 'second']), MODEL, 'new', 100);
      expect(found).to.deep.equal({ model: MODEL, adapter: 'second' });
    });
  });

  describe('recordUse', () => {
    // Issue 39, FAULT: every adapter name that a caller ever sent was kept.
    it('discards the least recently used of more than 1,000 adapters', () => {
      const usage = new AdapterUsage();
      usage.recordUse(MODEL, 'discarded', 1);
      usage.recordUse(MODEL, 'kept', 2);
      for (let index = 0; index < 999; index++) {
        usage.recordUse(MODEL, `unknown-${index}`, 3);
      }
      // An adapter without a record counts as never used; the first one of several is returned.
      const getFirst = (adapters: readonly string[]) =>
        usage.getLeastRecentlyUsed(makeReport(adapters), MODEL, 'new', 100)?.adapter;
      expect(getFirst(['discarded', 'never used'])).to.equal('discarded');
      expect(getFirst(['kept', 'never used'])).to.equal('never used');
    });
  });
});
