import { expect } from 'chai';
import { EventSplitter } from '../../../src/direct/index.js';

describe('EventSplitter', () => {
  describe('push', () => {
    it('returns only complete events, however the bytes are divided into chunks', () => {
      const text = 'id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n: note\n\nid: 3\ndata';
      for (let size = 1; size <= text.length; size++) {
        const splitter = new EventSplitter();
        let out = '';
        let lastEventId: string | undefined;
        for (let at = 0; at < text.length; at += size) {
          const events = splitter.push(Buffer.from(text.slice(at, at + size)));
          out += events.bytes.toString();
          lastEventId = events.lastEventId ?? lastEventId;
        }
        expect(out).to.equal('id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n: note\n\n');
        expect(lastEventId).to.equal('2');
        expect(splitter.hasPartialEvent).to.equal(true);
      }
    });

    it('has no partial event after a complete one', () => {
      const splitter = new EventSplitter();
      expect(splitter.push(Buffer.from('data: x\n\n')).eventCount).to.equal(1);
      expect(splitter.hasPartialEvent).to.equal(false);
    });
  });
});
