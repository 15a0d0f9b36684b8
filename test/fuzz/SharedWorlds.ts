import fc from 'fast-check';
import { LoadPacer, PERMIT_LEASE_MS, type PacerLimits } from '../../src/home/decisions/index.js';
import { BudgetSlices, RetryBudget } from '../../src/router/decisions/index.js';
import { StateStore, type StateDelta, type StateObject } from '../../src/state/decisions/index.js';
import { action, type FuzzedPromise, type World } from './Action.js';

const PATHS = ['state/services/a', 'state/services/b', 'state/drains/c'];

/** A platform and three routers that watch it or ask each other. */
export class StateWorld implements World {
  readonly stores: StateStore[];
  readonly platform = new Map<string, StateObject>();
  readonly delayed: { readonly to: number; readonly delta: StateDelta }[] = [];
  private revision = 0;
  private readonly seen = new Map<string, number>();

  constructor(create: () => StateStore) {
    this.stores = [create(), create(), create()];
  }

  assertPromises(): void {
    for (const [index, store] of this.stores.entries()) {
      for (const path of PATHS) {
        this.assertNotBack(`${index}:${path}`, store.get(path)?.version);
      }
      for (const object of this.platform.values()) {
        const held = [...store.deltaSince(-1).objects].find((other) => other.path === object.path);
        if (object.revision <= store.revision && (held?.version ?? 0) < object.version) {
          throw new Error(
            `router ${index} holds everything to ${store.revision} but not ${object.path} ${object.version}`,
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
    this.hand(index, { objects, revision: this.revision }, isDelayed);
  }

  pull(from: number, to: number, isDelayed: boolean): void {
    this.hand(to, this.stores[from]!.deltaSince(this.stores[to]!.revision), isDelayed);
  }

  takeDelayed(): void {
    const next = this.delayed.shift();
    if (next) {
      this.stores[next.to]?.applyDelta(next.delta);
    }
  }

  private hand(to: number, delta: StateDelta, isDelayed: boolean): void {
    if (isDelayed) {
      this.delayed.push({ to, delta });
    } else {
      this.stores[to]?.applyDelta(delta);
    }
  }

  private assertNotBack(key: string, version: number | undefined): void {
    const before = this.seen.get(key) ?? 0;
    if (version !== undefined && version < before) {
      throw new Error(`${key} went back from ${before} to ${version}`);
    }
    this.seen.set(key, Math.max(before, version ?? 0));
  }
}

/** Hands on whatever came last, however old. */
class GullibleStore extends StateStore {
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

/** Calls itself complete without handing on what it holds. */
class StingyStore extends StateStore {
  override deltaSince(revision: number): StateDelta {
    const delta = super.deltaSince(revision);
    return revision < 0 ? delta : { ...delta, objects: delta.objects.slice(1) };
  }
}

const router = fc.nat(2);
const path = fc.constantFrom(...PATHS);
const writer = fc.option(router, { nil: undefined });

/** Configuration never reverts, and a router that calls itself complete is. */
export const statePromise: FuzzedPromise<StateWorld> = {
  name: 'an accepted configuration never reverts',
  maxCommands: 80,
  actions: [
    action('write', fc.tuple(path, fc.boolean(), writer), (world: StateWorld, [where, isDeletion, by]) =>
      world.write(where, isDeletion, by),
    ),
    action('watch', fc.tuple(router, fc.boolean()), (world: StateWorld, [index, isDelayed]) =>
      world.watch(index, isDelayed),
    ),
    action('pull', fc.tuple(router, router, fc.boolean()), (world: StateWorld, [from, to, isDelayed]) =>
      world.pull(from, to, isDelayed),
    ),
    action('takeDelayed', fc.constant(0), (world: StateWorld) => world.takeDelayed()),
  ],
  create: () => new StateWorld(() => new StateStore()),
  mutants: {
    'store that hands on what came last': () => new StateWorld(() => new GullibleStore()),
    'store that keeps changes to itself': () => new StateWorld(() => new StingyStore()),
  },
};

const LIMIT_TOKENS = 1_000;

/** Three routers that spend one organisation's budget. */
export class BudgetWorld implements World {
  readonly routers = [0, 1, 2].map(() => new BudgetSlices(LIMIT_TOKENS));
  takenTokens = 0;
  committedTokens = 0;

  constructor(private readonly countsLostSlices: boolean) {}

  assertPromises(): void {
    if (this.committedTokens > LIMIT_TOKENS) {
      throw new Error(`${this.committedTokens} tokens of ${LIMIT_TOKENS} were spent`);
    }
  }

  reserve(index: number, tokenCount: number): void {
    if (this.routers[index]!.tryReserve(tokenCount)) {
      this.committedTokens += tokenCount;
    }
  }

  giveBack(index: number, tokenCount: number): void {
    const amount = Math.min(tokenCount, this.committedTokens);
    this.committedTokens -= amount;
    this.routers[index]!.refund(amount);
  }

  takeSlice(
    index: number,
    neededTokens: number,
    fate: 'done' | 'requestLost' | 'answerLost' | 'conflict',
  ): void {
    const slice = this.routers[index]!.nextSliceTokens(this.takenTokens, neededTokens);
    if (fate === 'done' || fate === 'answerLost') {
      this.takenTokens += slice;
    }
    if (fate === 'done' || (this.countsLostSlices && fate === 'requestLost')) {
      this.routers[index]!.addSlice(slice);
    }
  }
}

/** Many routers together never overspend a budget. */
export const budgetPromise: FuzzedPromise<BudgetWorld> = {
  name: "an organisation's spending stays within its budget over all routers",
  maxCommands: 100,
  actions: [
    action(
      'reserve',
      fc.tuple(router, fc.integer({ min: 1, max: 200 })),
      (world: BudgetWorld, [index, count]) => world.reserve(index, count),
    ),
    action('giveBack', fc.tuple(router, fc.nat(100)), (world: BudgetWorld, [index, count]) =>
      world.giveBack(index, count),
    ),
    action(
      'takeSlice',
      fc.tuple(
        router,
        fc.integer({ min: 1, max: 300 }),
        fc.constantFrom<'done' | 'requestLost' | 'answerLost' | 'conflict'>(
          'done',
          'done',
          'requestLost',
          'answerLost',
          'conflict',
        ),
      ),
      (world: BudgetWorld, [index, needed, fate]) => world.takeSlice(index, needed, fate),
    ),
  ],
  create: () => new BudgetWorld(false),
  mutants: { 'slice counted without an answer': () => new BudgetWorld(true) },
};

const LIMITS: PacerLimits = { loadsPerSecond: 3, concurrentLoads: 4 };

/** One pacer and loads that come, end, and sometimes never give their permit back. */
export class PacerWorld implements World {
  readonly startedAtMs: number[] = [];
  readonly active = new Map<string, number>();
  readonly waiting = new Set<string>();
  nowMs = 0;
  private asked = 0;

  constructor(private readonly pacer: LoadPacer) {}

  assertPromises(): void {
    const live = [...this.active.values()].filter((sinceMs) => this.nowMs - sinceMs < PERMIT_LEASE_MS);
    if (live.length > LIMITS.concurrentLoads) {
      throw new Error(`${live.length} loads at once`);
    }
    const lastSecond = this.startedAtMs.filter((atMs) => atMs > this.nowMs - 1_000);
    if (lastSecond.length > LIMITS.loadsPerSecond) {
      throw new Error(`${lastSecond.length} loads started within a second`);
    }
  }

  ask(urgencyMs: number): void {
    const permitId = `p${this.asked++}`;
    this.waiting.add(permitId);
    this.pacer.enqueue(permitId, this.nowMs + urgencyMs);
    this.takePermitted();
  }

  done(index: number): void {
    const permitId = [...this.active.keys()][index % Math.max(1, this.active.size)];
    if (permitId !== undefined) {
      this.active.delete(permitId);
      this.pacer.release(permitId);
      this.takePermitted();
    }
  }

  advance(byMs: number): void {
    this.nowMs += byMs;
    this.takePermitted();
  }

  private takePermitted(): void {
    for (const permitId of this.pacer.takePermitted(this.nowMs)) {
      this.waiting.delete(permitId);
      this.active.set(permitId, this.nowMs);
      this.startedAtMs.push(this.nowMs);
    }
  }
}

class HurriedPacer extends LoadPacer {
  constructor() {
    super({ loadsPerSecond: 1_000, concurrentLoads: LIMITS.concurrentLoads });
  }
}

/** The weight store's limits are kept, and no load waits for ever. */
export const pacerPromise: FuzzedPromise<PacerWorld> = {
  name: "loads stay within the weight store's limits and none waits for ever",
  maxCommands: 80,
  actions: [
    action('ask', fc.nat(10_000), (world: PacerWorld, urgencyMs) => world.ask(urgencyMs)),
    action('done', fc.nat(9), (world: PacerWorld, index) => world.done(index)),
    action('advance', fc.constantFrom(1, 100, 400, 5_000), (world: PacerWorld, byMs) => world.advance(byMs)),
  ],
  finish: (world) => {
    for (let step = 0; step < 400 && world.waiting.size > 0; step++) {
      world.advance(PERMIT_LEASE_MS / 4);
    }
    if (world.waiting.size > 0) {
      throw new Error(`${world.waiting.size} loads wait for ever`);
    }
  },
  create: () => new PacerWorld(new LoadPacer(LIMITS)),
  mutants: {
    'pacer without a rate': () => new PacerWorld(new HurriedPacer()),
    'pacer without a limit of loads at once': () =>
      new PacerWorld(new LoadPacer({ ...LIMITS, concurrentLoads: 100 })),
  },
};

/** A service's retry budget under successes and failures. */
export class RetryWorld implements World {
  nowMs = 0;
  retries = 0;
  successes = 0;

  constructor(private readonly budget: { succeeded(): void; tryTake(nowMs: number): boolean }) {}

  assertPromises(): void {
    const allowed = 10 + this.successes * 0.1 + (this.nowMs / 1_000) * 0.5;
    if (this.retries > allowed) {
      throw new Error(`${this.retries} retries where ${allowed} are allowed`);
    }
  }

  succeed(): void {
    this.successes++;
    this.budget.succeeded();
  }

  fail(): void {
    this.retries += this.budget.tryTake(this.nowMs) ? 1 : 0;
  }
}

/** Retries stay a share of the successes. */
export const retryPromise: FuzzedPromise<RetryWorld> = {
  name: 'retries stay a share of the successes',
  maxCommands: 200,
  actions: [
    action('succeed', fc.constant(0), (world: RetryWorld) => world.succeed()),
    ...[1, 2].map(() => action('fail', fc.constant(0), (world: RetryWorld) => world.fail())),
    action('advance', fc.nat(500), (world: RetryWorld, byMs) => {
      world.nowMs += byMs;
    }),
  ],
  create: () => new RetryWorld(new RetryBudget()),
  mutants: {
    'retries without a budget': () => new RetryWorld({ succeeded: () => undefined, tryTake: () => true }),
  },
};
