import { expect } from 'chai';
import { keepRunning, onBackgroundError, runInBackground, SystemClock } from '../../src/kernel/index.js';
import { ManualClock } from '../fakes/ManualClock.js';
import { flushPromises, sleepMs } from '../waiting.js';

describe('runInBackground', () => {
  let errors: string[];

  beforeEach(() => {
    errors = [];
    onBackgroundError((error, task) => errors.push(`${task}: ${String(error)}`));
  });

  afterEach(() => onBackgroundError(undefined));

  it('passes thrown errors and rejections to the listener', async () => {
    runInBackground('thrower', () => {
      throw new Error('a');
    });
    runInBackground('rejecter', () => Promise.reject(new Error('b')));
    await flushPromises();
    expect(errors).to.deep.equal(['thrower: Error: a', 'rejecter: Error: b']);
  });

  it('throws without a listener', () => {
    onBackgroundError(undefined);
    const run = () => {
      throw new Error('a');
    };
    expect(() => runInBackground('thrower', run)).to.throw('a');
  });

  // Issue 39, FAULT: an exception in a timer ended the process.
  it('receives the exceptions of timers of the system clock', async () => {
    new SystemClock().schedule(0, () => {
      throw new Error('a');
    });
    await sleepMs(20);
    expect(errors).to.deep.equal(['timer: Error: a']);
  });

  describe('keepRunning', () => {
    it('runs a loop again after an error, and not after its end', async () => {
      const clock = new ManualClock();
      let runCount = 0;
      keepRunning('loop', clock, () => {
        runCount++;
        return runCount < 3 ? Promise.reject(new Error(`run ${runCount}`)) : Promise.resolve();
      });
      for (let second = 0; second < 5; second++) {
        await flushPromises();
        clock.advance(1_000);
      }
      expect(runCount).to.equal(3);
      expect(errors).to.deep.equal(['loop: Error: run 1', 'loop: Error: run 2']);
    });
  });
});
