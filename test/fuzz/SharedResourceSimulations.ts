import fc from 'fast-check';
import { LoadPacer, PERMIT_LEASE_MS, type PacerLimits } from '../../src/home/decisions/index.js';
import { BudgetSlices, RetryBudget } from '../../src/router/decisions/index.js';
import { StateStore, type StateDelta, type StateObject } from '../../src/state/decisions/index.js';
import { commandArb, type FuzzedProperty, type Simulation } from './Simulation.js';

const PATHS = ['state/services/a', 'state/services/b', 'state/drains/c'];

/** Simulates a platform and three routers that watch it or pull the configuration from each other. */
export class StateSimulation implements Simulation {
  readonly stores: StateStore[];
  readonly platform = new Map<string, StateObject>();
  readonly delayedDeltas: { readonly to: number; readonly delta: StateDelta }[] = [];
  private revision = 0;
  private readonly highestVersions = new Map<string, number>();

  constructor(create: () => StateStore) {
    this.stores = [create(), create(), create()];
  }

  assertInvariants(): void {
    for (const [index, store] of this.stores.entries()) {
      for (const path of PATHS) {
        this.assertNotReverted(`${index}:${path}`, store.get(path)?.version);
      }
      for (const object of this.platform.values()) {
        const known = [...store.deltaSince(-1).objects].find((other) => other.path === object.path);
        if (object.revision <= store.revision && (known?.version ?? 0) < object.version) {
          throw new Error(
            `router ${index} reports revision ${store.revision} but lacks ${object.path} in version ${object.version}`,
          );
        }
      }
    }
  }

  write(path: string, isDeletion: boolean, writer: number | undefined): void {
    const version = (this.platform.get(path)?.version ?? 0) + 1;
    const object: StateObject = {
      path,
      value: version,
      version,
      deleted: isDeletion,
      revision: ++this.revision,
    };
    this.platform.set(path, object);
    if (writer !== undefined) {
      this.stores[writer]?.apply({ ...object, revision: 0 });
    }
  }

  watch(index: number, isDelayed: boolean): void {
    const since = this.stores[index]!.revision;
    const objects = [...this.platform.values()].filter((object) => object.revision > since);
    this.deliver(index, { objects, revision: this.revision }, isDelayed);
  }

  pull(from: number, to: number, isDelayed: boolean): void {
    this.deliver(to, this.stores[from]!.deltaSince(this.stores[to]!.revision), isDelayed);
  }

  applyDelayed(): void {
    const next = this.delayedDeltas.shift();
    if (next) {
      this.stores[next.to]?.applyDelta(next.delta);
    }
  }

  private deliver(to: number, delta: StateDelta, isDelayed: boolean): void {
    if (isDelayed) {
      this.delayedDeltas.push({ to, delta });
    } else {
      this.stores[to]?.applyDelta(delta);
    }
  }

  private assertNotReverted(key: string, version: number | undefined): void {
    const before = this.highestVersions.get(key) ?? 0;
    if (version !== undefined && version < before) {
      throw new Error(`${key} reverted from version ${before} to ${version}`);
    }
    this.highestVersions.set(key, Math.max(before, version ?? 0));
  }
}

/** Includes the most recently received objects in its deltas, even if they are outdated. */
class StaleDeltaStore extends StateStore {
  private readonly latest = new Map<string, StateObject>();

  override applyDelta(delta: StateDelta): void {
    for (const object of delta.objects) {
      this.latest.set(object.path, object);
    }
    super.applyDelta(delta);
  }

  override deltaSince(revision: number): StateDelta {
    const delta = super.deltaSince(revision);
    return { ...delta, objects: delta.objects.map((object) => this.latest.get(object.path) ?? object) };
  }
}

/** Omits the first object from each delta but reports the full revision. */
class IncompleteDeltaStore extends StateStore {
  override deltaSince(revision: number): StateDelta {
    const delta = super.deltaSince(revision);
    return revision < 0 ? delta : { ...delta, objects: delta.objects.slice(1) };
  }
}

const routerArb = fc.nat(2);
const pathArb = fc.constantFrom(...PATHS);
const writerArb = fc.option(routerArb, { nil: undefined });

/** Configuration never reverts, and a router has all objects up to the revision that it reports. */
export const stateProperty: FuzzedProperty<StateSimulation> = {
  name: 'an accepted configuration never reverts',
  maxCommands: 80,
  commands: [
    commandArb(
      'write',
      fc.tuple(pathArb, fc.boolean(), writerArb),
      (simulation: StateSimulation, [path, isDeletion, writer]) => simulation.write(path, isDeletion, writer),
    ),
    commandArb(
      'watch',
      fc.tuple(routerArb, fc.boolean()),
      (simulation: StateSimulation, [index, isDelayed]) => simulation.watch(index, isDelayed),
    ),
    commandArb(
      'pull',
      fc.tuple(routerArb, routerArb, fc.boolean()),
      (simulation: StateSimulation, [from, to, isDelayed]) => simulation.pull(from, to, isDelayed),
    ),
    commandArb('takeDelayed', fc.constant(0), (simulation: StateSimulation) => simulation.applyDelayed()),
  ],
  create: () => new StateSimulation(() => new StateStore()),
  mutants: {
    'store includes outdated objects in its deltas': () => new StateSimulation(() => new StaleDeltaStore()),
    'store omits objects from its deltas': () => new StateSimulation(() => new IncompleteDeltaStore()),
  },
};

const LIMIT_TOKENS = 1_000;

/** Simulates three routers that spend the budget of an organisation. */
export class BudgetSimulation implements Simulation {
  readonly routers = [0, 1, 2].map(() => new BudgetSlices(LIMIT_TOKENS));
  takenTokens = 0;
  committedTokens = 0;

  constructor(private readonly countsLostSlices: boolean) {}

  assertInvariants(): void {
    if (this.committedTokens > LIMIT_TOKENS) {
      throw new Error(`${this.committedTokens} tokens of ${LIMIT_TOKENS} were spent`);
    }
  }

  reserve(index: number, tokenCount: number): void {
    if (this.routers[index]!.tryReserve(tokenCount)) {
      this.committedTokens += tokenCount;
    }
  }

  refundTokens(index: number, tokenCount: number): void {
    const amount = Math.min(tokenCount, this.committedTokens);
    this.committedTokens -= amount;
    this.routers[index]!.refund(amount);
  }

  acquireSlice(
    index: number,
    neededTokens: number,
    outcome: 'done' | 'requestLost' | 'answerLost' | 'conflict',
  ): void {
    const slice = this.routers[index]!.nextSliceTokens(this.takenTokens, neededTokens);
    if (outcome === 'done' || outcome === 'answerLost') {
      this.takenTokens += slice;
    }
    if (outcome === 'done' || (this.countsLostSlices && outcome === 'requestLost')) {
      this.routers[index]!.addSlice(slice);
    }
  }
}

/** The routers together never exceed a budget. */
export const budgetProperty: FuzzedProperty<BudgetSimulation> = {
  name: "an organisation's spending stays within its budget over all routers",
  maxCommands: 100,
  commands: [
    commandArb(
      'reserve',
      fc.tuple(routerArb, fc.integer({ min: 1, max: 200 })),
      (simulation: BudgetSimulation, [index, tokenCount]) => simulation.reserve(index, tokenCount),
    ),
    commandArb(
      'giveBack',
      fc.tuple(routerArb, fc.nat(100)),
      (simulation: BudgetSimulation, [index, tokenCount]) => simulation.refundTokens(index, tokenCount),
    ),
    commandArb(
      'takeSlice',
      fc.tuple(
        routerArb,
        fc.integer({ min: 1, max: 300 }),
        fc.constantFrom<'done' | 'requestLost' | 'answerLost' | 'conflict'>(
          'done',
          'done',
          'requestLost',
          'answerLost',
          'conflict',
        ),
      ),
      (simulation: BudgetSimulation, [index, neededTokens, outcome]) =>
        simulation.acquireSlice(index, neededTokens, outcome),
    ),
  ],
  create: () => new BudgetSimulation(false),
  mutants: { 'slice added without a response': () => new BudgetSimulation(true) },
};

const LIMITS: PacerLimits = { loadsPerSecond: 3, concurrentLoads: 4 };

/** Simulates a pacer and loads, some of which never release their permit. */
export class PacerSimulation implements Simulation {
  readonly startedAtMs: number[] = [];
  readonly activeLoads = new Map<string, number>();
  readonly waitingLoads = new Set<string>();
  nowMs = 0;
  private permitCount = 0;

  constructor(private readonly pacer: LoadPacer) {}

  assertInvariants(): void {
    const unexpired = [...this.activeLoads.values()].filter(
      (sinceMs) => this.nowMs - sinceMs < PERMIT_LEASE_MS,
    );
    if (unexpired.length > LIMITS.concurrentLoads) {
      throw new Error(`${unexpired.length} concurrent loads`);
    }
    const lastSecond = this.startedAtMs.filter((atMs) => atMs > this.nowMs - 1_000);
    if (lastSecond.length > LIMITS.loadsPerSecond) {
      throw new Error(`${lastSecond.length} loads started within a second`);
    }
  }

  requestPermit(urgencyMs: number): void {
    const permitId = `p${this.permitCount++}`;
    this.waitingLoads.add(permitId);
    this.pacer.enqueue(permitId, this.nowMs + urgencyMs);
    this.startPermittedLoads();
  }

  finishLoad(index: number): void {
    const permitId = [...this.activeLoads.keys()][index % Math.max(1, this.activeLoads.size)];
    if (permitId !== undefined) {
      this.activeLoads.delete(permitId);
      this.pacer.release(permitId);
      this.startPermittedLoads();
    }
  }

  advance(byMs: number): void {
    this.nowMs += byMs;
    this.startPermittedLoads();
  }

  private startPermittedLoads(): void {
    for (const permitId of this.pacer.takePermitted(this.nowMs)) {
      this.waitingLoads.delete(permitId);
      this.activeLoads.set(permitId, this.nowMs);
      this.startedAtMs.push(this.nowMs);
    }
  }
}

/** Applies no practical limit to the loads per second. */
class UnlimitedRatePacer extends LoadPacer {
  constructor() {
    super({ loadsPerSecond: 1_000, concurrentLoads: LIMITS.concurrentLoads });
  }
}

/** Loads stay within the weight store's limits, and each load receives a permit eventually. */
export const pacerProperty: FuzzedProperty<PacerSimulation> = {
  name: "loads stay within the weight store's limits and none waits for ever",
  maxCommands: 80,
  commands: [
    commandArb('ask', fc.nat(10_000), (simulation: PacerSimulation, urgencyMs) =>
      simulation.requestPermit(urgencyMs),
    ),
    commandArb('done', fc.nat(9), (simulation: PacerSimulation, index) => simulation.finishLoad(index)),
    commandArb('advance', fc.constantFrom(1, 100, 400, 5_000), (simulation: PacerSimulation, byMs) =>
      simulation.advance(byMs),
    ),
  ],
  finish: (simulation) => {
    for (let step = 0; step < 400 && simulation.waitingLoads.size > 0; step++) {
      simulation.advance(PERMIT_LEASE_MS / 4);
    }
    if (simulation.waitingLoads.size > 0) {
      throw new Error(`${simulation.waitingLoads.size} loads never received a permit`);
    }
  },
  create: () => new PacerSimulation(new LoadPacer(LIMITS)),
  mutants: {
    'pacer without a rate limit': () => new PacerSimulation(new UnlimitedRatePacer()),
    'pacer without a limit on concurrent loads': () =>
      new PacerSimulation(new LoadPacer({ ...LIMITS, concurrentLoads: 100 })),
  },
};

/** Simulates successes and failures of a service against its retry budget. */
export class RetrySimulation implements Simulation {
  nowMs = 0;
  retries = 0;
  successes = 0;

  constructor(private readonly budget: { recordSuccess(): void; tryTake(nowMs: number): boolean }) {}

  assertInvariants(): void {
    const allowed = 10 + this.successes * 0.1 + (this.nowMs / 1_000) * 0.5;
    if (this.retries > allowed) {
      throw new Error(`${this.retries} retries, but only ${allowed} are allowed`);
    }
  }

  succeed(): void {
    this.successes++;
    this.budget.recordSuccess();
  }

  fail(): void {
    this.retries += this.budget.tryTake(this.nowMs) ? 1 : 0;
  }
}

/** Retries stay within the retry budget, which grows with successes and time. */
export const retryProperty: FuzzedProperty<RetrySimulation> = {
  name: 'retries stay a share of the successes',
  maxCommands: 200,
  commands: [
    commandArb('succeed', fc.constant(0), (simulation: RetrySimulation) => simulation.succeed()),
    ...[1, 2].map(() =>
      commandArb('fail', fc.constant(0), (simulation: RetrySimulation) => simulation.fail()),
    ),
    commandArb('advance', fc.nat(500), (simulation: RetrySimulation, byMs) => {
      simulation.nowMs += byMs;
    }),
  ],
  create: () => new RetrySimulation(new RetryBudget()),
  mutants: {
    'retries without a budget': () =>
      new RetrySimulation({ recordSuccess: () => undefined, tryTake: () => true }),
  },
};
