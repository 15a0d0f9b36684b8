import { expect } from 'chai';
import * as fc from 'fast-check';
import {
  ResidencyPlanner,
  type PlannedOrder,
  type EngineReport,
  type HeldModel,
} from '../../../src/direct/index.js';
import { makeHeldModel, makeProfile } from '../fleetFixtures.js';

const PROFILE = makeProfile();
const CAPACITY = { ...PROFILE, configurationVersion: 1 };
/** State that orders of a planner of {@link makePlanner} are bound to. */
const STATE = { bornAtMs: 1, expectedOrderCount: 0 };

/** Simulated engine that executes orders bound to its state and can receive orders late. */
class ModelEngine {
  heldModels: HeldModel[] = [];
  orderCount = 0;
  orderInProgress: PlannedOrder | undefined;
  /** Orders without a result that may still arrive. */
  readonly delayedOrders: PlannedOrder[] = [];

  /** @param checksOrderCount - Whether orders are accepted only in the state that they were planned for. */
  constructor(private readonly checksOrderCount = true) {}

  accept(order: PlannedOrder): void {
    if ((this.checksOrderCount && order.expectedOrderCount !== this.orderCount) || this.orderInProgress) {
      return;
    }
    this.orderCount++;
    if (order.adapter === undefined) {
      this.orderInProgress = order;
    } else {
      this.execute(order);
    }
  }

  finish(): void {
    if (this.orderInProgress) {
      this.execute(this.orderInProgress);
      this.orderInProgress = undefined;
    }
  }

  /** Memory in use, including the model that is being loaded. */
  get usedMb(): number {
    let used = this.orderInProgress?.kind === 'load' ? 100 : 0;
    for (const model of this.heldModels) {
      used += 100 + model.adapters.length;
    }
    return used;
  }

  get adapterCount(): number {
    return this.heldModels.reduce((count, model) => count + model.adapters.length, 0);
  }

  report(): EngineReport {
    return {
      bornAtMs: 1,
      heldModels: this.heldModels,
      comingAdapters: [],
      isBusy: this.orderInProgress !== undefined,
      orderCount: this.orderCount,
      waitingCount: 0,
      runningCount: 0,
      usedCacheTokens: 0,
      cacheTokens: 1,
      modelsInMemory: [],
      modelsOnDisk: [],
    };
  }

  private execute({ kind, model, adapter }: PlannedOrder): void {
    const others = this.heldModels.filter(({ name }) => name !== model);
    const existing = this.heldModels.find(({ name }) => name === model);
    if (adapter === undefined) {
      this.heldModels = kind === 'load' ? [...others, makeHeldModel(model)] : others;
    } else if (existing) {
      const adapters = existing.adapters.filter((name) => name !== adapter);
      this.heldModels = [
        ...others,
        makeHeldModel(model, kind === 'load' ? [...adapters, adapter] : adapters),
      ];
    }
  }
}

function makePlanner(heldModels: readonly HeldModel[], nowMs = 0): ResidencyPlanner {
  const planner = new ResidencyPlanner();
  planner.setCapacity(CAPACITY);
  planner.applyReport({ ...new ModelEngine().report(), heldModels }, nowMs);
  return planner;
}

/** Runs random steps on a planner and an engine and checks the engine's memory and adapter slots after each step. */
function checkCapacity(checksOrderCount: boolean): void {
  const models = ['a', 'b', 'c', 'd'];
  const step = fc.oneof(
    fc.record({
      kind: fc.constant('want' as const),
      model: fc.constantFrom(...models),
      isInteractive: fc.boolean(),
    }),
    fc.record({
      kind: fc.constant('adapter' as const),
      model: fc.constantFrom(...models),
      index: fc.nat(3),
      isLost: fc.boolean(),
    }),
    fc.record({ kind: fc.constant('order' as const), isLost: fc.boolean() }),
    fc.record({ kind: fc.constantFrom('late' as const, 'finish' as const, 'report' as const) }),
  );
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 120, size: 'max' }), (steps) => {
      const engine = new ModelEngine(checksOrderCount);
      const planner = new ResidencyPlanner();
      planner.setCapacity(CAPACITY);
      planner.applyReport(engine.report(), 0);
      let nowMs = 0;
      const send = (order: PlannedOrder | undefined, isLost: boolean) => {
        if (order && isLost) {
          engine.delayedOrders.push(order);
        } else if (order) {
          engine.accept(order);
        }
      };
      for (const next of steps) {
        nowMs += 100;
        if (next.kind === 'want') {
          planner.requestModel(next.model, next.isInteractive, nowMs);
        } else if (next.kind === 'adapter') {
          send(planner.getAdapterOrder(next.model, `a${next.index}`, nowMs), next.isLost);
        } else if (next.kind === 'order') {
          send(planner.getNextOrder(nowMs), next.isLost);
        } else if (next.kind === 'late') {
          const delayed = engine.delayedOrders.shift();
          if (delayed) {
            engine.accept(delayed);
          }
        } else if (next.kind === 'finish') {
          engine.finish();
          planner.applyReport(engine.report(), nowMs);
        } else {
          planner.applyReport(engine.report(), nowMs);
        }
        expect(engine.usedMb).to.be.at.most(CAPACITY.weightsMb);
        expect(engine.adapterCount).to.be.at.most(CAPACITY.adapterSlotCount);
      }
    }),
    { numRuns: 2_000, seed: 1 },
  );
}

describe('ResidencyPlanner', () => {
  describe('getNextOrder', () => {
    it('loads a requested model when enough memory is free', () => {
      const planner = makePlanner([makeHeldModel('b')]);
      planner.requestModel('a', false, 0);
      expect(planner.getNextOrder(1)).to.deep.equal({ ...STATE, kind: 'load', model: 'a' });
    });

    it('drains a model before its unload, so that routers are notified first', () => {
      const planner = makePlanner([makeHeldModel('b'), makeHeldModel('c')]);
      planner.requestModel('a', false, 1_000);
      expect(planner.getNextOrder(1_000)).to.equal(undefined);
      expect(planner.acceptsRequests('b') && planner.acceptsRequests('c')).to.equal(false);
      expect(planner.getNextOrder(1_050)?.kind).to.equal('unload');
    });

    it('waits for the requests on a draining model, up to a timeout', () => {
      const planner = makePlanner([makeHeldModel('b')]);
      const profile = makeProfile(['a', 'b']);
      planner.setCapacity({ ...profile, weightsMb: 150, configurationVersion: 2 });
      planner.onRequestStarted('b', false, 1_000);
      planner.requestModel('a', false, 1_000);
      planner.getNextOrder(1_000);
      planner.requestModel('a', false, 2_400);
      expect(planner.getNextOrder(2_400)).to.equal(undefined);
      planner.requestModel('a', false, 3_800);
      expect(planner.getNextOrder(3_800)).to.deep.equal({ ...STATE, kind: 'unload', model: 'b' });
    });

    it('does not evict models in interactive use for batch work', () => {
      const planner = makePlanner([makeHeldModel('b'), makeHeldModel('c')]);
      planner.onRequestStarted('b', true, 1_000);
      planner.onRequestStarted('c', true, 1_000);
      planner.requestModel('a', false, 1_000);
      planner.getNextOrder(1_000);
      planner.getNextOrder(1_100);
      expect(planner.getNextOrder(1_400)).to.equal(undefined);
      expect(planner.queuedModels).to.deep.equal([]);
    });

    it('does not evict a model that must be kept', () => {
      const planner = makePlanner([makeHeldModel('b'), makeHeldModel('c')]);
      planner.requestModel('a', false, 1_000, { keptModels: ['b'] });
      planner.getNextOrder(1_000);
      expect(planner.getNextOrder(1_050)).to.deep.equal({ ...STATE, kind: 'unload', model: 'c' });
    });

    it('plans interactive load requests first and removes those that are not renewed', () => {
      const planner = makePlanner([]);
      planner.requestModel('a', false, 0);
      planner.requestModel('b', true, 10);
      expect(planner.queuedModels).to.deep.equal(['b', 'a']);
      planner.expire(1_505);
      expect(planner.queuedModels).to.deep.equal(['b']);
    });

    it('returns no order while the engine is busy, and none for a model of unknown size', () => {
      const planner = makePlanner([makeHeldModel('b')]);
      planner.requestModel('unknown', false, 0);
      expect(planner.getNextOrder(0)).to.equal(undefined);
      planner.requestModel('a', false, 0);
      planner.applyReport({ ...new ModelEngine().report(), isBusy: true }, 0);
      expect(planner.getNextOrder(0)).to.equal(undefined);
    });
  });

  describe('getAdapterOrder', () => {
    it('unloads the least recently used adapter', () => {
      const planner = makePlanner([makeHeldModel('a', ['a1', 'a2'])]);
      planner.recordAdapterUse('a', 'a1', 10);
      planner.recordAdapterUse('a', 'a2', 5);
      expect(planner.getAdapterOrder('a', 'a3', 200)).to.deep.equal({
        ...STATE,
        kind: 'unload',
        model: 'a',
        adapter: 'a2',
      });
    });

    // A request that was told that the adapter is ready would reach the engine after its unload.
    it('does not unload an adapter that a request was sent to just now', () => {
      const planner = makePlanner([makeHeldModel('a', ['a1', 'a2'])]);
      planner.recordAdapterUse('a', 'a1', 190);
      planner.recordAdapterUse('a', 'a2', 185);
      expect(planner.getAdapterOrder('a', 'a3', 200)).to.equal(undefined);
      expect(planner.getAdapterOrder('a', 'a3', 216)?.adapter).to.equal('a2');
    });

    it('orders no second unload, and sends no requests to an adapter, while one is being unloaded', () => {
      const planner = makePlanner([makeHeldModel('a', ['a1', 'a2'])]);
      planner.markAdapterUnloading('a', 'a1', 100);
      expect(planner.getAdapterState('a', 'a1')).to.equal('coming');
      expect(planner.getAdapterOrder('a', 'a3', 110)).to.equal(undefined);
      planner.applyReport({ ...new ModelEngine().report(), heldModels: [makeHeldModel('a', ['a2'])] }, 200);
      expect(planner.getAdapterState('a', 'a1')).to.equal('absent');
      expect(planner.getAdapterOrder('a', 'a3', 210)).to.include({ kind: 'load', adapter: 'a3' });
    });

    it('returns undefined while the engine is busy or four adapters are on their way', () => {
      const planner = makePlanner([]);
      planner.setCapacity({ ...CAPACITY, adapterSlotCount: 8 });
      const report = { ...new ModelEngine().report(), heldModels: [makeHeldModel('a')] };
      planner.applyReport({ ...report, isBusy: true }, 0);
      expect(planner.getAdapterOrder('a', 'a1', 0)).to.equal(undefined);
      const comingAdapters = ['a/1', 'a/2', 'a/3', 'a/4'];
      planner.applyReport({ ...report, comingAdapters: comingAdapters.slice(1) }, 0);
      expect(planner.getAdapterOrder('a', 'a5', 0)).to.include({ kind: 'load', adapter: 'a5' });
      planner.applyReport({ ...report, comingAdapters }, 0);
      expect(planner.getAdapterOrder('a', 'a5', 0)).to.equal(undefined);
    });

    it('returns undefined for a model that is not loaded', () => {
      expect(makePlanner([]).getAdapterOrder('a', 'a1', 0)).to.equal(undefined);
    });
  });

  it('never exceeds the capacity of the engine when orders are delayed or lost', () => {
    checkCapacity(true);
  });

  it('exceeds the capacity of an engine that does not check the expected order count', () => {
    expect(() => checkCapacity(false)).to.throw('Property failed');
  });
});
