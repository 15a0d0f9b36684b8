import { expect } from 'chai';
import * as fc from 'fast-check';
import {
  EngineIdentity,
  OrderGate,
  ResidencyPlanner,
  type EngineReport,
  type HeldModel,
  type OrderOutcome,
  type PlannedOrder,
  type ResidencyOrder,
} from '../../../src/direct/index.js';
import { makeHeldModel, makeProfile } from '../fleetFixtures.js';

const PROFILE = makeProfile();
const CAPACITY = { ...PROFILE, configurationVersion: 1 };
/** State that orders of a planner of {@link makePlanner} are bound to. */
const STATE = { bornAtMs: 1, expectedOrderCount: 0 };

/** Conditions of orders, each of which an engine or its agent can omit, to show that the fuzz test finds the fault. */
interface Safeguards {
  /** Whether the engine accepts orders only in the state that they were planned for. */
  readonly checksOrderCount: boolean;
  /** Whether the engine tells its ID, so that orders name the incarnation. */
  readonly tellsId: boolean;
  /** Whether the engine rejects orders with a lower fencing number than it has received. */
  readonly checksFence: boolean;
  /** Whether the agent orders once on a report, and reads the engine's state after each order. */
  readonly ordersOnce: boolean;
}

const ALL_SAFEGUARDS: Safeguards = {
  checksOrderCount: true,
  tellsId: true,
  checksFence: true,
  ordersOnce: true,
};

/** Time between the starts of two incarnations, in milliseconds; the fencing number is in seconds. */
const INCARNATION_MS = 5_000;

/** Simulated engine that executes orders under their conditions, can receive orders late, and can start again. */
class ModelEngine {
  heldModels: HeldModel[] = [];
  orderCount = 0;
  orderInProgress: PlannedOrder | undefined;
  isUp = true;
  /** Whether an order that was decided on for this incarnation has reached it. */
  hasOwnOrder = false;
  /** Orders without a result that may still arrive, also at a later incarnation. */
  readonly delayedOrders: ResidencyOrder[] = [];
  private bornAtMs = 1;
  private id = 1;
  private highestFence = 0;

  /** @param safeguards - Conditions that the engine checks. */
  constructor(private readonly safeguards: Safeguards = ALL_SAFEGUARDS) {}

  get instanceId(): string | undefined {
    return this.safeguards.tellsId ? `i-${this.id}` : undefined;
  }

  /** Starts again with empty state, under another ID or the same one. */
  restart(keepsId: boolean): void {
    this.heldModels = [];
    this.orderCount = 0;
    this.orderInProgress = undefined;
    this.isUp = true;
    this.hasOwnOrder = false;
    this.bornAtMs += INCARNATION_MS;
    this.id += keepsId ? 0 : 1;
    this.highestFence = 0;
  }

  /** Removes the oldest delayed order, or the oldest one that meets the order count. */
  takeDelayedOrder(isMatching: boolean): ResidencyOrder | undefined {
    const index = this.delayedOrders.findIndex(
      ({ expectedOrderCount }) => !isMatching || expectedOrderCount === this.orderCount,
    );
    return index < 0 ? undefined : this.delayedOrders.splice(index, 1)[0];
  }

  accept(order: ResidencyOrder): OrderOutcome {
    if (order.instanceId !== undefined && order.instanceId !== this.instanceId) {
      return 'other';
    }
    if (this.safeguards.checksFence && order.fenceNumber < this.highestFence) {
      return 'other';
    }
    this.highestFence = order.fenceNumber;
    this.hasOwnOrder ||= order.bornAtMs === this.bornAtMs;
    const isOtherState = order.expectedOrderCount !== this.orderCount;
    if ((this.safeguards.checksOrderCount && isOtherState) || this.orderInProgress) {
      return 'conflict';
    }
    this.orderCount++;
    if (order.adapter === undefined) {
      this.orderInProgress = order;
    } else {
      this.execute(order);
    }
    return 'accepted';
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
      bornAtMs: this.bornAtMs,
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

/** Agent's decisions on the orders to one engine, with readings that take no time. */
class OrderingAgent {
  readonly planner = new ResidencyPlanner();
  /** Number of orders since the last reading that reached the engine. */
  ordersSinceReading = 0;
  private readonly gate = new OrderGate();
  private readonly identity = new EngineIdentity();

  constructor(
    private readonly engine: ModelEngine,
    private readonly ordersOnce: boolean,
  ) {
    this.planner.setCapacity(CAPACITY);
    this.read(0);
  }

  read(nowMs: number): void {
    const { engine, gate, identity, planner } = this;
    const report = engine.isUp ? engine.report() : undefined;
    gate.endReading(gate.beginReading(nowMs), report);
    if (!report) {
      return;
    }
    this.ordersSinceReading = 0;
    planner.applyReport(report, nowMs);
    identity.applyReport(report.bornAtMs);
    if (identity.shouldAsk(nowMs)) {
      identity.endAsking(report.bornAtMs, engine.instanceId, identity.beginAsking(), nowMs);
    }
  }

  /** Sends an order if one may be decided on; a lost one may arrive later. */
  order(plan: () => PlannedOrder | undefined, isLost: boolean, nowMs: number): void {
    const { engine, gate, identity } = this;
    const planned = gate.isOpen(nowMs) || !this.ordersOnce ? plan() : undefined;
    if (!planned) {
      return;
    }
    this.ordersSinceReading++;
    const order = { ...planned, ...identity.getConditions(planned.bornAtMs) };
    gate.beginOrder();
    let outcome: OrderOutcome = 'other';
    if (isLost || !engine.isUp) {
      engine.delayedOrders.push(order);
    } else {
      outcome = engine.accept(order);
    }
    gate.endOrder(order, outcome, nowMs);
    if (this.ordersOnce) {
      expect(this.ordersSinceReading).to.equal(1);
      this.read(nowMs);
    }
  }
}

/**
 * Runs random steps on an agent and an engine and checks the engine's memory and adapter slots, and that the agent sends at
 * most one order on a report, after each step. Orders that are late reach an incarnation with the ID of an earlier one only
 * once an order that was meant for it has: before, nothing tells the engine that they are outdated.
 */
function checkCapacity(safeguards: Safeguards, keepsId: boolean): void {
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
    fc.record({
      kind: fc.constant('order' as const),
      wantedModel: fc.constantFrom(undefined, ...models),
      isLost: fc.boolean(),
    }),
    fc.record({ kind: fc.constant('late' as const), isMatching: fc.boolean() }),
    fc.record({ kind: fc.constantFrom('finish' as const, 'report' as const) }),
    fc.record({
      kind: fc.constantFrom('finish' as const, 'finish' as const, 'restart' as const, 'down' as const),
    }),
  );
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 120, size: 'max' }), (steps) => {
      const engine = new ModelEngine(safeguards);
      const agent = new OrderingAgent(engine, safeguards.ordersOnce);
      const { planner } = agent;
      let nowMs = 0;
      for (const next of steps) {
        nowMs += 100;
        switch (next.kind) {
          case 'want':
            planner.requestModel(next.model, next.isInteractive, nowMs);
            break;
          case 'adapter':
            agent.order(
              () => planner.getAdapterOrder(next.model, `a${next.index}`, nowMs),
              next.isLost,
              nowMs,
            );
            break;
          case 'order':
            if (next.wantedModel !== undefined) {
              planner.requestModel(next.wantedModel, false, nowMs);
            }
            agent.order(() => planner.getNextOrder(nowMs), next.isLost, nowMs);
            break;
          case 'late': {
            const isKnownOutdated = engine.hasOwnOrder || !keepsId;
            const delayed =
              engine.isUp && isKnownOutdated ? engine.takeDelayedOrder(next.isMatching) : undefined;
            if (delayed) {
              engine.accept(delayed);
            }
            break;
          }
          case 'finish':
            engine.finish();
            agent.read(nowMs);
            break;
          case 'report':
            agent.read(nowMs);
            break;
          case 'down':
            engine.isUp = false;
            break;
          case 'restart':
            engine.restart(keepsId);
            agent.read(nowMs);
            break;
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

  for (const keepsId of [false, true]) {
    const which = keepsId ? 'that keeps its ID' : 'with another ID each time';

    describe(`with an engine that ends and starts again, ${which}`, () => {
      it('never exceeds its capacity when orders are delayed or lost, and orders once on a report', () => {
        checkCapacity(ALL_SAFEGUARDS, keepsId);
      }).timeout(60_000);

      it('never exceeds its capacity when orders are repeated on outdated reports as well', () => {
        checkCapacity({ ...ALL_SAFEGUARDS, ordersOnce: false }, keepsId);
      }).timeout(60_000);

      it('exceeds the capacity if the engine does not check the expected order count', () => {
        expect(() => checkCapacity({ ...ALL_SAFEGUARDS, checksOrderCount: false }, keepsId)).to.throw(
          'Property failed',
        );
      }).timeout(60_000);

      it('exceeds the capacity if neither the ID nor the fencing number tells the incarnation of orders', () => {
        const omitted = keepsId ? { checksFence: false } : { tellsId: false, checksFence: false };
        expect(() => checkCapacity({ ...ALL_SAFEGUARDS, ...omitted }, keepsId)).to.throw('Property failed');
      }).timeout(60_000);

      it('never exceeds its capacity if one of the two does', () => {
        const omitted = keepsId ? { tellsId: false } : { checksFence: false };
        checkCapacity({ ...ALL_SAFEGUARDS, ...omitted }, keepsId);
      }).timeout(60_000);
    });
  }
});
