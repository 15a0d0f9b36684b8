import { expect } from 'chai';
import {
  delay,
  ServiceContainer,
  ServicesStoppedError,
  StopTimeoutError,
  type Service,
} from '../../src/kernel/index.js';
import { ManualClock } from '../fakes/ManualClock.js';
import { flushPromises } from '../waiting.js';

/** Time that exceeds the wait of a stop for a start, in milliseconds. */
const LONG_START_MS = 1_000;
/** Time from the stop signal until a process is killed, in milliseconds. */
const GRACE_MS = 8_000;
/** Part of the grace in which a router may still be completing requests, in milliseconds. */
const SERVING_MS = 7_600;
/** Step of the time, in milliseconds. */
const STEP_MS = 10;

describe('ServiceContainer', () => {
  let clock: ManualClock;
  let events: string[];
  let errors: unknown[];
  let services: ServiceContainer;

  beforeEach(() => {
    clock = new ManualClock();
    events = [];
    errors = [];
    services = new ServiceContainer((error) => errors.push(error), clock);
  });

  /** Returns a service that records its starts and stops and completes them when the promises do. */
  function makeService(name: string, started = Promise.resolve(), stopped = Promise.resolve()): Service {
    return {
      start: () => {
        events.push(`start ${name}`);
        return started;
      },
      stop: async () => {
        events.push(`stop ${name}`);
        await stopped;
        events.push(`stopped ${name}`);
      },
    };
  }

  describe('stop', () => {
    it('stops the services one after the other in reverse order', async () => {
      await services.start(makeService('a'));
      await services.start(makeService('b'));
      await services.stop();
      expect(events).to.deep.equal(['start a', 'start b', 'stop b', 'stopped b', 'stop a', 'stopped a']);
    });

    // Issue 39, FAULT: a second SIGTERM stopped the other services and ended the process while requests were running.
    it('waits for the services that an earlier call is stopping', async () => {
      let complete: () => void = () => undefined;
      const stopped = new Promise<void>((resolve) => (complete = resolve));
      await services.start(makeService('a'));
      await services.start(makeService('b', undefined, stopped));
      const first = services.stop();
      await flushPromises();
      let hasEnded = false;
      const second = services.stop().then(() => (hasEnded = true));
      await flushPromises();
      expect(hasEnded).to.equal(false);
      expect(events).to.not.contain('stop a');
      complete();
      await Promise.all([first, second]);
      expect(events.slice(2)).to.deep.equal(['stop b', 'stopped b', 'stop a', 'stopped a']);
    });

    it('reports the error of a service and stops the others', async () => {
      const error = new Error('not stopped');
      await services.start(makeService('a'));
      await services.start(makeService('b', undefined, Promise.reject(error)));
      await services.stop();
      expect(errors).to.deep.equal([error]);
      expect(events).to.contain('stopped a');
    });

    it('stops a service whose start fails', async () => {
      const error = new Error('not started');
      const failed = { ...makeService('a'), start: () => Promise.reject(error) };
      const thrown: unknown = await services.start(failed).catch((reason: unknown) => reason);
      expect(thrown).to.equal(error);
      await services.stop();
      expect(events).to.deep.equal(['stop a', 'stopped a']);
    });

    it('waits for a service that is starting before it stops the service', async () => {
      let complete: () => void = () => undefined;
      const started = new Promise<void>((resolve) => (complete = resolve));
      const start = services.start(makeService('a', started)).catch((reason: unknown) => reason);
      const stop = services.stop();
      await flushPromises();
      expect(events).to.deep.equal(['start a']);
      complete();
      await stop;
      expect(await start).to.be.instanceOf(ServicesStoppedError);
      expect(events).to.deep.equal(['start a', 'stop a', 'stopped a']);
    });

    // Issue 39, FAULT: a service that waited for its port delayed the stop of a process, which then exceeded its grace.
    it('cancels a start in progress and stops the service once', async () => {
      let complete: () => void = () => undefined;
      const started = new Promise<void>((resolve) => (complete = resolve));
      const cancelStart = () => {
        events.push('cancel a');
        complete();
      };
      const start = services
        .start({ ...makeService('a', started), cancelStart })
        .catch((reason: unknown) => reason);
      let hasEnded = false;
      const stop = services.stop().then(() => (hasEnded = true));
      await flushPromises();
      expect(hasEnded).to.equal(true);
      await stop;
      expect(await start).to.be.instanceOf(ServicesStoppedError);
      expect(events).to.deep.equal(['start a', 'cancel a', 'stop a', 'stopped a']);
    });

    it('cancels no start that has completed', async () => {
      const cancelStart = () => events.push('cancel a');
      await services.start({ ...makeService('a'), cancelStart });
      await services.stop();
      expect(events).to.deep.equal(['start a', 'stop a', 'stopped a']);
    });

    it('stops a service again whose start completes after the stop', async () => {
      let complete: () => void = () => undefined;
      const started = new Promise<void>((resolve) => (complete = resolve));
      const start = services.start(makeService('a', started)).catch((reason: unknown) => reason);
      const stop = services.stop();
      await flushPromises();
      clock.advance(LONG_START_MS);
      await stop;
      expect(events).to.deep.equal(['start a', 'stop a', 'stopped a']);
      complete();
      expect(await start).to.be.instanceOf(ServicesStoppedError);
      expect(events.slice(3)).to.deep.equal(['stop a', 'stopped a']);
    });
  });

  describe('limitStop', () => {
    /** Service whose stop never completes. */
    class EndlessService implements Service {
      start(): Promise<void> {
        return Promise.resolve();
      }

      stop(): Promise<void> {
        return new Promise(() => undefined);
      }
    }

    /** Lets time pass; returns when the stop ended, in milliseconds, or undefined. */
    async function advance(stop: Promise<unknown>, durationMs: number): Promise<number | undefined> {
      let endedAtMs: number | undefined;
      void stop.finally(() => (endedAtMs = clock.nowMs()));
      for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
        await flushPromises();
        clock.advance(STEP_MS);
      }
      await flushPromises();
      return endedAtMs;
    }

    // Issue 39, FAULT: a service that never stopped kept the ones before it running until the process was killed.
    it('stops the other services and reports the one that does not stop, within the grace', async () => {
      services.limitStop(() => GRACE_MS);
      await services.start(makeService('a'));
      await services.start(new EndlessService());
      await services.start(makeService('c'));
      const stop = services.stop().catch((reason: unknown) => reason);
      const endedAtMs = await advance(stop, GRACE_MS);
      expect(endedAtMs).to.be.within(SERVING_MS, GRACE_MS - STEP_MS);
      const error = (await stop) as StopTimeoutError;
      expect(error).to.be.instanceOf(StopTimeoutError);
      expect(error.serviceNames).to.deep.equal(['EndlessService']);
      expect(errors.map(String)).to.deep.equal(['Error: Not stopped in time: EndlessService.']);
      expect(events.slice(2)).to.deep.equal(['stop c', 'stopped c', 'stop a', 'stopped a']);
    });

    it('ends within the grace when several services do not stop', async () => {
      services.limitStop(() => GRACE_MS);
      await services.start(makeService('a'));
      for (let count = 0; count < 6; count++) {
        await services.start(new EndlessService());
      }
      const stop = services.stop().catch((reason: unknown) => reason);
      expect(await advance(stop, GRACE_MS)).to.be.at.most(GRACE_MS - 100);
      expect(errors).to.have.length(6);
      expect(events).to.contain('stopped a');
    });

    it('waits for a service that stops within the grace', async () => {
      services.limitStop(() => GRACE_MS);
      await services.start(makeService('a'));
      const { start, stop: record } = makeService('b');
      const stopSlowly = async () => {
        await delay(clock, SERVING_MS);
        await record();
      };
      await services.start({ start, stop: stopSlowly });
      const stop = services.stop();
      expect(await advance(stop, GRACE_MS)).to.be.within(SERVING_MS, SERVING_MS + STEP_MS);
      expect(events.slice(2)).to.deep.equal(['stop b', 'stopped b', 'stop a', 'stopped a']);
      expect(errors).to.deep.equal([]);
    });

    it('waits while a router still accepts callers, however short the grace is', async () => {
      services.limitStop(() => 0);
      await services.start(new EndlessService());
      const stop = services.stop().catch((reason: unknown) => reason);
      expect(await advance(stop, GRACE_MS)).to.be.within(3_000, 3_500);
    });

    it('reads the grace when the stop begins', async () => {
      let graceMs = Infinity;
      services.limitStop(() => graceMs);
      await services.start(new EndlessService());
      graceMs = 4_000;
      const stop = services.stop().catch((reason: unknown) => reason);
      expect(await advance(stop, graceMs)).to.be.below(graceMs);
    });
  });

  describe('start', () => {
    it('starts no service once the services are being stopped', async () => {
      await services.start(makeService('a'));
      const stop = services.stop();
      const thrown: unknown = await services.start(makeService('b')).catch((reason: unknown) => reason);
      expect(thrown).to.be.instanceOf(ServicesStoppedError);
      await stop;
      expect(events).to.deep.equal(['start a', 'stop a', 'stopped a']);
    });
  });
});
