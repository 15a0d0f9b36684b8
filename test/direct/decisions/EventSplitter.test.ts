import { expect } from 'chai';
import { EventSplitter } from '../../../src/direct/index.js';

describe('EventSplitter', () => {
  describe('push', () => {
    it('gives whole events only, however the bytes are cut', () => {
      const text = 'id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n: note\n\nid: 3\ndata';
      for (let size = 1; size <= text.length; size++) {
        const cutter = new EventSplitter();
        let out = '';
        let lastEventId: string | undefined;
        for (let at = 0; at < text.length; at += size) {
          const events = cutter.push(Buffer.from(text.slice(at, at + size)));
          out += events.bytes.toString();
          lastEventId = events.lastEventId ?? lastEventId;
        }
        expect(out).to.equal('id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n: note\n\n');
        expect(lastEventId).to.equal('2');
        expect(cutter.hasPartialEvent).to.equal(true);
      }
    });

    it('has nothing left after a whole event', () => {
      const cutter = new EventSplitter();
      expect(cutter.push(Buffer.from('data: x\n\n')).eventCount).to.equal(1);
      expect(cutter.hasPartialEvent).to.equal(false);
    });
  });
});
