import { expect } from 'chai';
import { ProcessLifecycle } from '../../src/daemon/ProcessLifecycle.js';
import { StopTimeoutError } from '../../src/kernel/index.js';
import { ManualClock } from '../fakes/ManualClock.js';
import { flushPromises } from '../waiting.js';
import { FakeProcess } from './FakeProcess.js';

/** Time that exceeds the wait for the services after a failed start, in milliseconds. */
const LONG_STOP_MS = 10_000;

/** Part of a log line. */
interface Line {
  readonly message: string;
  readonly context: Readonly<Record<string, unknown>>;
}

describe('ProcessLifecycle', () => {
  let clock: ManualClock;
  let target: FakeProcess;
  let lines: Line[];
  let lifecycle: ProcessLifecycle;

  beforeEach(() => {
    clock = new ManualClock();
    target = new FakeProcess();
    lines = [];
    const writeLine = (line: string) => lines.push(JSON.parse(line) as Line);
    lifecycle = new ProcessLifecycle({
      target: target.asProcess,
      clock,
      output: { writeLine, writeLastLine: writeLine, flush: () => Promise.resolve() },
      canReload: true,
    });
    lifecycle.logStartAndEnd();
  });

  /** Returns the context of the last line with a message. */
  function findContext(message: string): Line['context'] | undefined {
    return lines.findLast((line) => line.message === message)?.context;
  }

  describe('onReload', () => {
    it('reloads once for the signals that were received before', () => {
      target.emit('SIGHUP');
      target.emit('SIGHUP');
      let count = 0;
      lifecycle.onReload(() => count++);
      expect(count).to.equal(1);
      target.emit('SIGHUP');
      expect(count).to.equal(2);
    });

    it('does not reload without a signal', () => {
      let count = 0;
      lifecycle.onReload(() => count++);
      expect(count).to.equal(0);
    });
  });

  describe('onStop', () => {
    it('exits when the stop is complete, and stops once', async () => {
      let count = 0;
      let complete: () => void = () => undefined;
      lifecycle.onStop(() => {
        count++;
        return new Promise<void>((resolve) => (complete = resolve));
      });
      target.emit('SIGTERM');
      target.emit('SIGINT');
      await flushPromises();
      expect(count).to.equal(1);
      expect(target.hasExited).to.equal(false);
      complete();
      await flushPromises();
      expect(target.exitCode).to.equal(0);
      expect(findContext('process ended')).to.deep.include({ cause: 'SIGTERM', code: 0 });
    });

    it('logs the error of a stop and exits', async () => {
      lifecycle.onStop(() => Promise.reject(new Error('not stopped')));
      target.emit('SIGTERM');
      await flushPromises();
      expect(findContext('stop failed')).to.deep.include({ error: 'not stopped' });
      expect(target.exitCode).to.equal(0);
    });

    // Issue 39, FAULT: a stop that a service held up ended by SIGKILL, without a line.
    it('exits with code 3 and the cause when services have not stopped in time', async () => {
      lifecycle.onStop(() => Promise.reject(new StopTimeoutError(['CallerServer'])));
      target.emit('SIGTERM');
      await flushPromises();
      expect(findContext('stop failed')).to.deep.include({ error: 'Not stopped in time: CallerServer.' });
      expect(target.exitCode).to.equal(3);
      expect(findContext('process ended')).to.deep.include({
        cause: 'SIGTERM, stop not complete in time',
        code: 3,
      });
    });
  });

  describe('failStart', () => {
    it('exits with code 2 after the stop', async () => {
      let hasStopped = false;
      lifecycle.onStop(() => {
        hasStopped = true;
        return Promise.resolve();
      });
      await lifecycle.failStart(new Error('port is missing'));
      expect(hasStopped).to.equal(true);
      expect(target.exitCode).to.equal(2);
      expect(findContext('start failed')).to.deep.include({ error: 'port is missing' });
      expect(findContext('process ended')).to.deep.include({ cause: 'start failed', code: 2 });
    });

    it('exits although a service does not stop', async () => {
      lifecycle.onStop(() => new Promise(() => undefined));
      const failed = lifecycle.failStart(new Error('port is missing'));
      await flushPromises();
      expect(target.hasExited).to.equal(false);
      clock.advance(LONG_STOP_MS);
      await failed;
      expect(target.exitCode).to.equal(2);
    });

    it('leaves the exit to a stop in progress', async () => {
      lifecycle.onStop(() => new Promise(() => undefined));
      target.emit('SIGTERM');
      await lifecycle.failStart(new Error('The services are being stopped.'));
      expect(target.hasExited).to.equal(false);
      expect(findContext('start failed')).to.equal(undefined);
    });
  });

  describe('onUncaughtError', () => {
    it('notifies of each error, also of those before', () => {
      target.emit('uncaughtException', new Error('first'), 'uncaughtException');
      let count = 0;
      lifecycle.onUncaughtError(() => count++);
      target.emit('uncaughtException', new Error('second'), 'unhandledRejection');
      expect(count).to.equal(2);
      expect(findContext('uncaught error')).to.deep.include({
        error: 'second',
        origin: 'unhandledRejection',
        count: 2,
      });
      expect(target.hasExited).to.equal(false);
    });

    it('logs any thrown value, with a bounded length', () => {
      const unreadable = Object.assign(new Error(), {
        toString: () => {
          throw new Error('unreadable');
        },
      });
      Object.defineProperty(unreadable, 'message', { value: undefined });
      const values = [
        undefined,
        null,
        'text',
        Symbol('s'),
        unreadable,
        Object.create(null),
        new Error('x'.repeat(9_999)),
      ];
      for (const value of values) {
        target.emit('uncaughtException', value, 'uncaughtException');
      }
      const logged = lines.filter(({ message }) => message === 'uncaught error');
      expect(logged.length).to.equal(values.length);
      for (const { context } of logged) {
        expect(context.error).to.be.a('string');
        expect(JSON.stringify(context).length).to.be.lessThan(3_500);
      }
    });

    it('logs a limited number of errors in a period and counts all', () => {
      let count = 0;
      lifecycle.onUncaughtError(() => count++);
      const emit = () => {
        for (let error = 0; error < 100; error++) {
          target.emit('uncaughtException', new Error('again'), 'uncaughtException');
        }
      };
      emit();
      expect(lines.filter(({ message }) => message === 'uncaught error').length).to.equal(50);
      clock.advance(10_000);
      emit();
      expect(lines.filter(({ message }) => message === 'uncaught error').length).to.equal(100);
      expect(count).to.equal(200);
    });
  });

  describe('logStartAndEnd', () => {
    it('sets an exit code other than 0 when the process has nothing left to do', () => {
      target.emit('exit', 0);
      expect(target.exitCode).to.equal(2);
      expect(findContext('process ended')).to.deep.include({ cause: 'nothing left to do', code: 2 });
    });
  });
});
