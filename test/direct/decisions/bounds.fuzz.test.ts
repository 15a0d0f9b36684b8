import { expect } from 'chai';
import * as fc from 'fast-check';
import { toServerId, type ServerId } from '../../../src/domain/index.js';
import {
  EventSplitter,
  FleetView,
  SharedRetryBudget,
  type CompleteEvents,
  type ServerEntry,
} from '../../../src/direct/index.js';
import { AppliesAnyConfiguration } from '../AppliesAnyConfiguration.js';
import { ENGINES, makeConfiguration, makeEntry } from '../fleetFixtures.js';

const LIMITS = { ratio: 0.2, slack: 56, windowMs: 10_000 };

/** Runs random loads on five routers and checks the retry limits in every window. */
function checkRetryBudget(make: () => SharedRetryBudget): void {
  const step = fc.record({
    router: fc.nat(4),
    gapMs: fc.nat(400),
    requests: fc.nat(8),
    retries: fc.nat(12),
  });
  fc.assert(
    fc.property(fc.array(step, { minLength: 50, maxLength: 200, size: 'max' }), (steps) => {
      const routers = Array.from({ length: 5 }, make);
      const events: { atMs: number; isRetry: boolean }[] = [];
      let nowMs = 0;
      for (const { router, gapMs, requests, retries } of steps) {
        nowMs += gapMs;
        const budget = routers[router];
        for (let count = 0; count < requests; count++) {
          budget?.recordRequest(nowMs);
          events.push({ atMs: nowMs, isRetry: false });
        }
        for (let count = 0; count < retries; count++) {
          if (budget?.tryTake(nowMs, 5) === true) {
            events.push({ atMs: nowMs, isRetry: true });
          }
        }
      }
      checkWindows(events);
    }),
    { numRuns: 60, seed: 1 },
  );
}

function checkWindows(events: readonly { atMs: number; isRetry: boolean }[]): void {
  for (const { atMs } of events) {
    // The limit follows the largest number of requests in this window, the previous one and the one halfway between.
    const inWindow = events.filter((event) => event.atMs > atMs - LIMITS.windowMs && event.atMs <= atMs);
    const before = events.filter(
      (event) => event.atMs > atMs - 2 * LIMITS.windowMs && event.atMs <= atMs - LIMITS.windowMs,
    );
    const half = events.filter(
      (event) => event.atMs > atMs - 1.5 * LIMITS.windowMs && event.atMs <= atMs - LIMITS.windowMs / 2,
    );
    const countRequests = (some: typeof events) => some.filter(({ isRetry }) => !isRetry).length;
    const requests = Math.max(countRequests(inWindow), countRequests(before), countRequests(half));
    const retries = inWindow.length - countRequests(inWindow);
    expect(retries).to.be.at.most(LIMITS.ratio * requests + LIMITS.slack);
  }
}

/** Faulty budget that grants each router the full slack. */
class FullSlackPerRouter extends SharedRetryBudget {
  override tryTake(nowMs: number): boolean {
    return super.tryTake(nowMs, 1);
  }
}

/** Faulty budget that counts a retry as ten requests. */
class CountsRetriesAsRequests extends SharedRetryBudget {
  override tryTake(nowMs: number, routerCount: number): boolean {
    const isTaken = super.tryTake(nowMs, routerCount);
    for (let count = 0; isTaken && count < 10; count++) {
      this.recordRequest(nowMs);
    }
    return isTaken;
  }
}

describe('SharedRetryBudget under random load', () => {
  it('keeps five routers within the retry limits in every window', () => {
    checkRetryBudget(() => new SharedRetryBudget(() => LIMITS, -Infinity));
  });

  for (const Broken of [FullSlackPerRouter, CountsRetriesAsRequests]) {
    it(`detects the fault of ${Broken.name}`, () => {
      expect(() => checkRetryBudget(() => new Broken(() => LIMITS, -Infinity))).to.throw();
    });
  }
});

/** Applies random updates of servers, the store and the configuration and checks the view after each. */
function checkView(make: () => FleetView): void {
  const step = fc.oneof(
    fc.record({ kind: fc.constant('configuration' as const), version: fc.nat(20) }),
    fc.record({
      kind: fc.constantFrom('ready' as const, 'leaving' as const, 'gone' as const),
      id: fc.nat(2),
    }),
    fc.record({ kind: fc.constantFrom('lost' as const, 'back' as const, 'tick' as const) }),
  );
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 60, size: 'max' }), (steps) => {
      const view = make();
      const goneSinceMs = new Map<string, number>();
      const leaving = new Set<string>();
      let highest = -1;
      let nowMs = 0;
      for (const next of steps) {
        nowMs += 300;
        if (next.kind === 'configuration') {
          view.applyConfiguration(makeConfiguration(next.version));
          highest = Math.max(highest, next.version);
        } else if (next.kind === 'ready' || next.kind === 'leaving') {
          const id = `s${next.id}`;
          view.applyEntry(makeEntry(id, { isLeaving: next.kind === 'leaving' }));
          goneSinceMs.delete(id);
          leaving[next.kind === 'leaving' ? 'add' : 'delete'](id);
        } else if (next.kind === 'gone') {
          const id = `s${next.id}`;
          view.removeEntry(toServerId(id), nowMs);
          goneSinceMs.set(id, goneSinceMs.get(id) ?? nowMs);
        } else if (next.kind === 'lost') {
          view.markStoreUnavailable(nowMs);
        } else if (next.kind === 'back') {
          view.markStoreAvailable(nowMs);
        }
        view.expire(nowMs);
        expect(view.configuration?.version ?? -1).to.equal(highest);
        for (const { entry } of view.getReadyServers(ENGINES, nowMs)) {
          expect(leaving.has(entry.serverId)).to.equal(false);
          expect(nowMs - (goneSinceMs.get(entry.serverId) ?? nowMs)).to.be.lessThan(2_300);
        }
      }
    }),
    { numRuns: 2_000, seed: 1 },
  );
}

/** Faulty view that ignores that a server is leaving. */
class IgnoresLeaving extends FleetView {
  override applyEntry(entry: ServerEntry): void {
    super.applyEntry({ ...entry, isLeaving: false });
  }
}

/** Faulty view that never ends the grace period of a server. */
class NeverExpires extends FleetView {
  override expire(): ServerId[] {
    return [];
  }
}

describe('FleetView under random updates', () => {
  it('never applies an older configuration and never returns a server that is leaving or past its grace period', () => {
    checkView(() => new FleetView());
  });

  for (const Broken of [AppliesAnyConfiguration, IgnoresLeaving, NeverExpires]) {
    it(`detects the fault of ${Broken.name}`, () => {
      expect(() => checkView(() => new Broken())).to.throw();
    });
  }
});

/** Divides streams into random chunks and checks that complete events are returned. */
function checkSplitter(make: () => EventSplitter): void {
  const event = fc.tuple(fc.nat(99), fc.string({ maxLength: 20 })).map(([id, text]) => {
    const line = text.replace(/[\r\n]/g, ' ');
    return `id: ${id}\ndata: ${line}\n\n`;
  });
  fc.assert(
    fc.property(fc.array(event, { maxLength: 8 }), fc.array(fc.nat(30)), (events, chunkSizes) => {
      const stream = Buffer.from(`${events.join('')}data: rest`);
      const splitter = make();
      let out = '';
      let at = 0;
      for (const chunkSize of [...chunkSizes, stream.length]) {
        out += splitter.push(stream.subarray(at, at + chunkSize)).bytes.toString();
        at = Math.min(stream.length, at + chunkSize);
      }
      expect(out).to.equal(events.join(''));
      expect(splitter.hasPartialEvent).to.equal(true);
    }),
    { numRuns: 1_000, seed: 1 },
  );
}

/** Faulty splitter that returns each chunk unchanged. */
class PassesPartialEvents extends EventSplitter {
  override push(chunk: Buffer): CompleteEvents {
    return { ...super.push(chunk), bytes: chunk };
  }
}

/** Faulty splitter that drops the beginning of an event that is divided into several chunks. */
class DropsPendingBytes extends EventSplitter {
  override push(chunk: Buffer): CompleteEvents {
    return new EventSplitter().push(chunk);
  }
}

describe('EventSplitter with random chunks', () => {
  it('returns the same complete events however the bytes are divided', () => {
    checkSplitter(() => new EventSplitter());
  });

  for (const Broken of [PassesPartialEvents, DropsPendingBytes]) {
    it(`detects the fault of ${Broken.name}`, () => {
      expect(() => checkSplitter(() => new Broken())).to.throw();
    });
  }
});
