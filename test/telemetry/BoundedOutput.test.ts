import { expect } from 'chai';
import { SystemClock } from '../../src/kernel/index.js';
import { BoundedOutput } from '../../src/telemetry/index.js';
import { ManualClock } from '../fakes/ManualClock.js';

describe('BoundedOutput', () => {
  describe('write', () => {
    it('writes lines together, drops those over the rate and reports their number', () => {
      const clock = new ManualClock();
      const texts: string[] = [];
      const output = new BoundedOutput(clock, (text, done) => {
        texts.push(text);
        done();
      });
      for (let line = 0; line < 700; line++) {
        output.write(`line ${line}`);
      }
      clock.advance(20);
      const lines = texts.join('').trimEnd().split('\n');
      expect(lines.length).to.equal(601);
      expect(lines.at(-1)).to.equal('{"message":"log lines dropped","count":100}');
      expect(output.droppedCount).to.equal(100);
    });

    it('buffers a limited amount while the reader is blocked', () => {
      const clock = new ManualClock();
      const output = new BoundedOutput(clock, () => undefined);
      for (let second = 0; second < 20; second++) {
        clock.advance(1_000);
        for (let line = 0; line < 300; line++) {
          output.write('x'.repeat(200));
        }
      }
      expect(output.droppedCount).to.be.greaterThan(3_000);
    });
  });

  describe('stop', () => {
    it('resolves when the last lines are written, or after a timeout while the reader is blocked', async () => {
      const clock = new SystemClock();
      let text = '';
      const output = new BoundedOutput(clock, (chunk, done) => {
        text += chunk;
        done();
      });
      output.write('last line');
      await output.stop();
      expect(text).to.equal('last line\n');
      const blocked = new BoundedOutput(clock, () => undefined);
      blocked.write('never read');
      const startedAtMs = clock.nowMs();
      await blocked.stop();
      expect(clock.nowMs() - startedAtMs).to.be.lessThan(1_000);
    });
  });
});
