import { expect } from 'chai';
import * as fc from 'fast-check';
import { toServerId, type ServerId } from '../../../src/domain/index.js';
import {
  EventSplitter,
  FleetView,
  SharedRetryBudget,
  type CompleteEvents,
  type ServerEntry,
  type ServingConfiguration,
} from '../../../src/direct/index.js';
import { ENGINES, makeConfiguration, makeEntry } from '../fleetFixtures.js';

const BOUND = { ratio: 0.2, slack: 56, windowMs: 10_000 };

/** Draws loads on five routers and checks every window of the bound. */
function checkAllowance(make: () => SharedRetryBudget): void {
  const step = fc.record({
    router: fc.nat(4),
    gapMs: fc.nat(400),
    requests: fc.nat(8),
    repeats: fc.nat(12),
  });
  fc.assert(
    fc.property(fc.array(step, { minLength: 50, maxLength: 200, size: 'max' }), (steps) => {
      const routers = Array.from({ length: 5 }, make);
      const events: { atMs: number; isRepeat: boolean }[] = [];
      let nowMs = 0;
      for (const { router, gapMs, requests, repeats } of steps) {
        nowMs += gapMs;
        const allowance = routers[router];
        for (let count = 0; count < requests; count++) {
          allowance?.recordRequest(nowMs);
          events.push({ atMs: nowMs, isRepeat: false });
        }
        for (let count = 0; count < repeats; count++) {
          if (allowance?.tryTake(nowMs, 5) === true) {
            events.push({ atMs: nowMs, isRepeat: true });
          }
        }
      }
      checkWindows(events);
    }),
    { numRuns: 60, seed: 1 },
  );
}

function checkWindows(events: readonly { atMs: number; isRepeat: boolean }[]): void {
  for (const { atMs } of events) {
    // The requests of the window before count too where it had more.
    const inWindow = events.filter((event) => event.atMs > atMs - BOUND.windowMs && event.atMs <= atMs);
    const before = events.filter(
      (event) => event.atMs > atMs - 2 * BOUND.windowMs && event.atMs <= atMs - BOUND.windowMs,
    );
    const half = events.filter(
      (event) => event.atMs > atMs - 1.5 * BOUND.windowMs && event.atMs <= atMs - BOUND.windowMs / 2,
    );
    const countRequests = (some: typeof events) => some.filter(({ isRepeat }) => !isRepeat).length;
    const requests = Math.max(countRequests(inWindow), countRequests(before), countRequests(half));
    const repeats = inWindow.length - countRequests(inWindow);
    expect(repeats).to.be.at.most(BOUND.ratio * requests + BOUND.slack);
  }
}

/** Gives each router the whole slack. */
class SlackForEach extends SharedRetryBudget {
  override tryTake(nowMs: number): boolean {
    return super.tryTake(nowMs, 1);
  }
}

/** Counts a repeated send as a request of its own. */
class RepeatsEarnRepeats extends SharedRetryBudget {
  override tryTake(nowMs: number, routerCount: number): boolean {
    const isTaken = super.tryTake(nowMs, routerCount);
    for (let count = 0; isTaken && count < 10; count++) {
      this.recordRequest(nowMs);
    }
    return isTaken;
  }
}

describe('SharedRetryBudget under any load', () => {
  it('keeps five routers within the bound in every window', () => {
    checkAllowance(() => new SharedRetryBudget(() => BOUND));
  });

  for (const Broken of [SlackForEach, RepeatsEarnRepeats]) {
    it(`is caught as ${Broken.name}`, () => {
      expect(() => checkAllowance(() => new Broken(() => BOUND))).to.throw();
    });
  }
});

/** Draws news of servers, the store and the configuration and checks what a view makes of them. */
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

/** Believes whichever configuration came last. */
class LastConfigurationWins extends FleetView {
  private last: ServingConfiguration | undefined;

  override get configuration(): ServingConfiguration | undefined {
    return this.last;
  }

  override applyConfiguration(configuration: ServingConfiguration): boolean {
    this.last = configuration;
    return super.applyConfiguration(configuration);
  }
}

/** Does not see that a server leaves. */
class BlindToLeaving extends FleetView {
  override applyEntry(entry: ServerEntry): void {
    super.applyEntry({ ...entry, isLeaving: false });
  }
}

/** Never gives a lapsed server up. */
class KeepsLapsed extends FleetView {
  override expire(): ServerId[] {
    return [];
  }
}

describe('FleetView under any news', () => {
  it('never goes back to an older configuration and never uses a server that leaves or is gone for long', () => {
    checkView(() => new FleetView());
  });

  for (const Broken of [LastConfigurationWins, BlindToLeaving, KeepsLapsed]) {
    it(`is caught as ${Broken.name}`, () => {
      expect(() => checkView(() => new Broken())).to.throw();
    });
  }
});

/** Cuts streams at any places and checks that whole events come out. */
function checkCutter(make: () => EventSplitter): void {
  const event = fc.tuple(fc.nat(99), fc.string({ maxLength: 20 })).map(([id, text]) => {
    const line = text.replace(/[\r\n]/g, ' ');
    return `id: ${id}\ndata: ${line}\n\n`;
  });
  fc.assert(
    fc.property(fc.array(event, { maxLength: 8 }), fc.array(fc.nat(30)), (events, cuts) => {
      const whole = Buffer.from(`${events.join('')}data: rest`);
      const cutter = make();
      let out = '';
      let at = 0;
      for (const cut of [...cuts, whole.length]) {
        out += cutter.push(whole.subarray(at, at + cut)).bytes.toString();
        at = Math.min(whole.length, at + cut);
      }
      expect(out).to.equal(events.join(''));
      expect(cutter.hasPartialEvent).to.equal(true);
    }),
    { numRuns: 1_000, seed: 1 },
  );
}

/** Passes bytes on as they come. */
class PassesBytesOn extends EventSplitter {
  override push(chunk: Buffer): CompleteEvents {
    return { ...super.push(chunk), bytes: chunk };
  }
}

/** Forgets the beginning of an event when its bytes come apart. */
class ForgetsBeginnings extends EventSplitter {
  override push(chunk: Buffer): CompleteEvents {
    return new EventSplitter().push(chunk);
  }
}

describe('EventSplitter under any cuts', () => {
  it('gives the same whole events however the bytes arrive', () => {
    checkCutter(() => new EventSplitter());
  });

  for (const Broken of [PassesBytesOn, ForgetsBeginnings]) {
    it(`is caught as ${Broken.name}`, () => {
      expect(() => checkCutter(() => new Broken())).to.throw();
    });
  }
});
