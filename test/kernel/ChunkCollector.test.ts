import { expect } from 'chai';
import { ChunkCollector } from '../../src/kernel/index.js';

const CHUNK_SIZES = [
  [],
  [7],
  [1, 1, 1],
  [50_000],
  [5_000, 1, 5_000, 1, 1, 5_000],
  Array<number>(40_000).fill(1),
  Array<number>(100).fill(4_095),
  [1, 16_384, 4_096, 4_095, 4_095, 4_095, 4_095, 4_095],
];
const MIB = 1024 * 1024;

describe('ChunkCollector', () => {
  describe('take', () => {
    for (const [index, sizes] of CHUNK_SIZES.entries()) {
      it(`returns all bytes in their order, case ${index}`, () => {
        const chunks = sizes.map((size, position) => Buffer.alloc(size, position % 251));
        const collector = new ChunkCollector();
        for (const chunk of chunks) {
          collector.push(Buffer.from(chunk));
        }
        expect(collector.take().equals(Buffer.concat(chunks))).to.equal(true);
        expect(collector.take().length).to.equal(0);
      });
    }
  });

  describe('push', () => {
    // Issue 42, FAULT: a body in chunks of one byte took some 200 bytes of the heap for each.
    it('keeps few pieces of many small chunks', () => {
      const collector = new ChunkCollector();
      for (let count = 0; count < MIB; count++) {
        collector.push(Buffer.from([count % 251]));
      }
      const { pieces } = collector as unknown as { pieces: Buffer[] };
      expect(pieces.length).to.be.below(100);
      expect(collector.take().length).to.equal(MIB);
    });
  });
});
