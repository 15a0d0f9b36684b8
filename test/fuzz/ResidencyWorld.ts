import fc from 'fast-check';
import {
  GrantTable,
  MemoryLedger,
  ORDER_SETTLE_MS,
  ResidencyController,
  type EngineItem,
  type EngineOrder,
  type EngineState,
} from '../../src/agent/decisions/index.js';
import { toServerId, type Placement, type Versioned } from '../../src/domain/index.js';
import { decidePlacement } from '../../src/home/decisions/index.js';
import { action, type FuzzedPromise, type World } from './Action.js';

const SERVER_COUNT = 3;
const DECIDED_REPLICAS = 1;
const LONG_KEEP_ALIVE_MS = 60_000;
const CAPACITY_BYTES = 100;
const SIZE_BYTES: Readonly<Record<string, number>> = { 'svc/a': 60, 'svc/b': 40, 'svc/c': 30 };
const MODELS = Object.keys(SIZE_BYTES);

/** An order on its way to an engine, or its answer on the way back. */
interface Courier {
  readonly order: EngineOrder;
  readonly agentRun: number;
  /** Engine run at the time of sending; an order does not outlive the connection to a crashed engine. */
  readonly sentAtMs: number;
  answer?: 'done' | 'refused';
  agentGaveUp: boolean;
}

/** What really is in the memory of a backend server. */
class FakeEngine {
  readonly items = new Map<string, EngineItem>();
  lastOrderNumber = 0;
  boot = 1;

  constructor(private readonly fencing: boolean) {}

  carryOut(order: EngineOrder): 'done' | 'refused' {
    if (this.fencing && order.orderNumber <= this.lastOrderNumber) {
      return 'refused';
    }
    this.lastOrderNumber = Math.max(this.lastOrderNumber, order.orderNumber);
    if (order.kind === 'load') {
      this.items.set(order.itemId, { itemId: order.itemId, sizeBytes: order.sizeBytes, state: 'loaded' });
    }
    if (order.kind === 'unload') {
      this.items.delete(order.itemId);
    }
    return 'done';
  }

  crash(): void {
    this.items.clear();
    this.lastOrderNumber = 0;
    this.boot++;
  }

  state(): EngineState {
    return {
      bootId: `boot-${this.boot}`,
      capacityBytes: CAPACITY_BYTES,
      slotCount: 4,
      fencing: this.fencing,
      lastOrderNumber: this.lastOrderNumber,
      items: [...this.items.values()],
      memoryCached: [],
      diskCached: [],
    };
  }
}

/** Code under test, replaceable by broken versions. */
export interface ResidencyParts {
  createGrants(serverId: string): GrantTable;
  createController(grants: GrantTable): ResidencyController;
}

class FakeServer {
  readonly id: string;
  readonly engine: FakeEngine;
  readonly couriers: Courier[] = [];
  readonly snapshots: {
    readonly state: EngineState;
    readonly askedAtMs: number;
    readonly agentRun: number;
  }[] = [];
  agentRun = 0;
  gone = false;
  grants!: GrantTable;
  controller!: ResidencyController;

  constructor(
    index: number,
    fencing: boolean,
    private readonly parts: ResidencyParts,
  ) {
    this.id = `s${index}`;
    this.engine = new FakeEngine(fencing);
    this.startAgent();
  }

  startAgent(): void {
    this.agentRun++;
    this.grants = this.parts.createGrants(this.id);
    this.controller = this.parts.createController(this.grants);
    for (const courier of this.couriers) {
      courier.agentGaveUp = true;
    }
  }
}

interface Report {
  readonly serverId: string;
  readonly modelId: string;
  readonly phase: string;
  readonly version: number;
}

/** A home with its own, perhaps old, copy of the placements and reports. */
class FakeHome {
  readonly placements = new Map<string, Versioned<Placement>>();
  readonly reports = new Map<string, Report>();
}

/** Three servers with their agents, two homes that may disagree, and the platform's placements. */
export class ResidencyWorld implements World {
  readonly servers: FakeServer[] = [];
  readonly homes = [new FakeHome(), new FakeHome()];
  readonly platform = new Map<string, Versioned<Placement>>();
  readonly reports: Report[] = [];
  nowMs = 1_000;

  constructor(
    private readonly fencing: boolean,
    parts: ResidencyParts,
  ) {
    for (let index = 0; index < SERVER_COUNT; index++) {
      this.servers.push(new FakeServer(index, fencing, parts));
    }
    for (let round = 0; round < 2; round++) {
      for (const server of this.servers) {
        this.bringUp(server);
      }
      this.advance(ORDER_SETTLE_MS);
    }
  }

  /** Moves a model from one server to another, step by step as a home does when nothing fails. */
  move(home: FakeHome, modelId: string, leaving: readonly number[]): void {
    for (let round = 0; round < 4; round++) {
      for (let index = 0; index < SERVER_COUNT; index++) {
        this.placeAndWake(home, modelId, index, leaving);
      }
      for (const server of this.servers) {
        this.carryOutAll(server);
      }
      this.advance(200);
    }
  }

  /** What an agent does after its start when nothing fails. */
  bringUp(server: FakeServer): void {
    for (let round = 0; round < 3; round++) {
      this.nowMs++;
      server.snapshots.length = 0;
      this.askState(server);
      this.takeState(server);
      this.carryOutAll(server);
    }
    this.confirmGrants(server);
  }

  carryOutAll(server: FakeServer): void {
    for (let round = 0; round < 6; round++) {
      this.deliverOrder(server, 0);
      this.settleOrder(server, 0, true);
    }
  }

  /** What a home does when nothing fails: place the model, tell the servers, wake it. */
  placeAndWake(home: FakeHome, modelId: string, serverIndex: number, leaving: readonly number[]): void {
    this.refresh(home, modelId);
    for (const server of this.servers) {
      this.makeReport(server, modelId);
      const report = this.reports.pop();
      if (report) {
        home.reports.set(`${report.modelId}@${report.serverId}`, report);
      }
    }
    this.review(home, modelId, leaving, false);
    this.push(home, modelId);
    const server = this.servers[serverIndex];
    if (server) {
      this.wake(server, modelId, LONG_KEEP_ALIVE_MS);
    }
  }

  push(home: FakeHome, modelId: string): void {
    const placement = home.placements.get(modelId);
    for (const server of this.servers) {
      if (placement) {
        server.grants.accept(placement);
      }
    }
  }

  refresh(home: FakeHome, modelId: string): void {
    const current = this.platform.get(modelId);
    if (current) {
      home.placements.set(modelId, current);
    }
  }

  assertPromises(): void {
    for (const modelId of MODELS) {
      const holders = this.servers.filter((server) => !server.gone && server.engine.items.has(modelId));
      if (holders.length > DECIDED_REPLICAS) {
        throw new Error(`${modelId} is loaded on ${holders.map((server) => server.id).join(' and ')}`);
      }
    }
    for (const server of this.servers) {
      let totalBytes = 0;
      for (const item of server.engine.items.values()) {
        totalBytes += item.sizeBytes;
      }
      if (totalBytes > CAPACITY_BYTES) {
        throw new Error(`${server.id} holds ${totalBytes} bytes`);
      }
    }
  }

  send(server: FakeServer): void {
    for (const order of server.controller.takeOrders()) {
      server.couriers.push({ order, agentRun: server.agentRun, sentAtMs: this.nowMs, agentGaveUp: false });
    }
  }

  wake(server: FakeServer, modelId: string, keepAliveMs: number): void {
    server.controller.wake({ itemId: modelId, sizeBytes: SIZE_BYTES[modelId] ?? 0, keepAliveMs }, this.nowMs);
    this.send(server);
  }

  deliverOrder(server: FakeServer, index: number): void {
    const waiting = server.couriers.filter((courier) => courier.answer === undefined);
    const courier = waiting[index % Math.max(1, waiting.length)];
    if (courier && !server.gone) {
      courier.answer = server.engine.carryOut(courier.order);
    }
  }

  /** Brings an answer back, or nothing: the agent then knows only that it does not know. */
  settleOrder(server: FakeServer, index: number, answered: boolean): void {
    const open = server.couriers.filter(
      (courier) => !courier.agentGaveUp && (!answered || courier.answer !== undefined),
    );
    const courier = open[index % Math.max(1, open.length)];
    if (!courier) {
      return;
    }
    courier.agentGaveUp = true;
    const outcome = answered ? (courier.answer ?? 'unknown') : 'unknown';
    server.controller.onOrderResult(courier.order, outcome, this.nowMs);
    this.send(server);
  }

  askState(server: FakeServer): void {
    server.snapshots.push({ state: server.engine.state(), askedAtMs: this.nowMs, agentRun: server.agentRun });
  }

  takeState(server: FakeServer): void {
    const snapshot = server.snapshots.shift();
    if (snapshot && snapshot.agentRun === server.agentRun && !server.gone) {
      server.controller.onEngineState(snapshot.state, snapshot.askedAtMs);
      this.send(server);
    }
  }

  crashEngine(server: FakeServer): void {
    server.engine.crash();
    for (const courier of server.couriers) {
      courier.answer ??= 'refused';
    }
    for (const courier of server.couriers.filter((open) => !open.agentGaveUp)) {
      courier.agentGaveUp = true;
      server.controller.onOrderResult(courier.order, 'unknown', this.nowMs);
    }
    this.send(server);
  }

  confirmGrants(server: FakeServer): void {
    server.grants.confirm([...this.platform.values()]);
  }

  review(home: FakeHome, modelId: string, leaving: readonly number[], answerLost: boolean): void {
    const placement = home.placements.get(modelId);
    const acknowledged = new Set<string>();
    for (const report of home.reports.values()) {
      if (
        report.modelId === modelId &&
        report.phase === 'absent' &&
        report.version >= (placement?.version ?? 1)
      ) {
        acknowledged.add(report.serverId);
      }
    }
    const step = decidePlacement({
      modelId,
      placement,
      decidedReplicas: DECIDED_REPLICAS,
      sizeBytes: SIZE_BYTES[modelId] ?? 0,
      pool: this.servers
        .filter((server) => !server.gone)
        .map((server, index) => ({
          serverId: toServerId(server.id),
          dataCentre: 'd',
          leaving: leaving.includes(index),
        })),
      acknowledged,
      offers: this.servers.map((server) => ({
        serverId: toServerId(server.id),
        freeBytes: server.controller.ledger.freeBytes,
        capacityBytes: CAPACITY_BYTES,
        tier: 'remote' as const,
        grantCount: 0,
        leaving: false,
      })),
    });
    const current = this.platform.get(modelId);
    if (step.kind !== 'write' || step.ifVersion !== (current?.version ?? 0)) {
      return;
    }
    const written = { value: step.value, version: (current?.version ?? 0) + 1 };
    this.platform.set(modelId, written);
    if (!answerLost) {
      home.placements.set(modelId, written);
    }
  }

  makeReport(server: FakeServer, modelId: string): void {
    const phase = server.controller.phaseOf(modelId);
    this.reports.push({ serverId: server.id, modelId, phase, version: server.grants.versionOf(modelId) });
  }

  advance(byMs: number): void {
    this.nowMs += byMs;
    for (const server of this.servers) {
      this.dropSettledOrders(server);
      server.controller.tick(this.nowMs);
      this.send(server);
    }
  }

  /** An unanswered order reaches an engine on the same instance soon, or its connection is gone. */
  private dropSettledOrders(server: FakeServer): void {
    for (const courier of server.couriers) {
      const isOld = courier.agentGaveUp && this.nowMs - courier.sentAtMs >= ORDER_SETTLE_MS;
      if (isOld && !this.fencing) {
        courier.answer ??= 'refused';
      }
    }
  }
}

const server = fc.nat(SERVER_COUNT - 1);
const model = fc.constantFrom('svc/a', 'svc/a', ...MODELS);
const home = fc.nat(1);
const serverOf = (world: ResidencyWorld, index: number) => world.servers[index]!;
const homeOf = (world: ResidencyWorld, index: number) => world.homes[index]!;

const actions = [
  action(
    'wake',
    fc.tuple(server, model, fc.constantFrom(100, LONG_KEEP_ALIVE_MS)),
    (world: ResidencyWorld, [index, id, keepAliveMs]) => world.wake(serverOf(world, index), id, keepAliveMs),
  ),
  action('deliverOrder', fc.tuple(server, fc.nat(3)), (world: ResidencyWorld, [index, which]) =>
    world.deliverOrder(serverOf(world, index), which),
  ),
  action(
    'settleOrder',
    fc.tuple(server, fc.nat(3), fc.boolean()),
    (world: ResidencyWorld, [index, which, answered]) =>
      world.settleOrder(serverOf(world, index), which, answered),
  ),
  action('askState', server, (world: ResidencyWorld, index) => world.askState(serverOf(world, index))),
  action('takeState', server, (world: ResidencyWorld, index) => world.takeState(serverOf(world, index))),
  action('readState', server, (world: ResidencyWorld, index) => {
    serverOf(world, index).snapshots.length = 0;
    world.askState(serverOf(world, index));
    world.takeState(serverOf(world, index));
  }),
  action('carryOutAll', server, (world: ResidencyWorld, index) => world.carryOutAll(serverOf(world, index))),
  action('bringUp', server, (world: ResidencyWorld, index) => world.bringUp(serverOf(world, index))),
  ...[1, 2, 3].map(() =>
    action(
      'placeAndWake',
      fc.tuple(home, model, server, fc.subarray([0, 1, 2])),
      (world: ResidencyWorld, [index, id, to, leaving]) =>
        world.placeAndWake(homeOf(world, index), id, to, leaving),
    ),
  ),
  action(
    'move',
    fc.tuple(home, model, fc.subarray([0, 1, 2], { maxLength: 2 })),
    (world: ResidencyWorld, [index, id, leaving]) => world.move(homeOf(world, index), id, leaving),
  ),
  action('readStateAndPush', fc.tuple(home, model, server), (world: ResidencyWorld, [index, id, at]) => {
    world.nowMs++;
    world.askState(serverOf(world, at));
    world.takeState(serverOf(world, at));
    world.carryOutAll(serverOf(world, at));
    world.push(homeOf(world, index), id);
  }),
  action('restartThenWakeFrom', fc.tuple(home, model, server), (world: ResidencyWorld, [index, id, at]) => {
    const restarted = serverOf(world, at);
    restarted.startAgent();
    for (let round = 0; round < 3; round++) {
      world.nowMs += ORDER_SETTLE_MS;
      restarted.snapshots.length = 0;
      world.askState(restarted);
      world.takeState(restarted);
      world.carryOutAll(restarted);
    }
    world.push(homeOf(world, index), id);
    world.wake(restarted, id, LONG_KEEP_ALIVE_MS);
    world.carryOutAll(restarted);
  }),
  action('wakeEverywhere', model, (world: ResidencyWorld, id) => {
    for (const each of world.servers) {
      world.wake(each, id, LONG_KEEP_ALIVE_MS);
    }
  }),
  action('restartAgent', fc.tuple(server, fc.boolean()), (world: ResidencyWorld, [index, waits]) => {
    serverOf(world, index).startAgent();
    if (waits) {
      world.askState(serverOf(world, index));
      world.takeState(serverOf(world, index));
      world.advance(ORDER_SETTLE_MS);
    }
  }),
  action('crashEngine', server, (world: ResidencyWorld, index) => world.crashEngine(serverOf(world, index))),
  action('confirmGrants', server, (world: ResidencyWorld, index) =>
    world.confirmGrants(serverOf(world, index)),
  ),
  action(
    'review',
    fc.tuple(home, model, fc.subarray([0, 1, 2]), fc.boolean()),
    (world: ResidencyWorld, [index, id, leaving, lost]) =>
      world.review(homeOf(world, index), id, leaving, lost),
  ),
  action('refreshHome', fc.tuple(home, model), (world: ResidencyWorld, [index, id]) =>
    world.refresh(homeOf(world, index), id),
  ),
  action('pushEverywhere', fc.tuple(home, model), (world: ResidencyWorld, [index, id]) =>
    world.push(homeOf(world, index), id),
  ),
  action('pushPlacement', fc.tuple(home, server, model), (world: ResidencyWorld, [from, to, id]) => {
    const placement = homeOf(world, from).placements.get(id);
    if (placement) {
      serverOf(world, to).grants.accept(placement);
    }
  }),
  action('makeReport', fc.tuple(server, model), (world: ResidencyWorld, [index, id]) =>
    world.makeReport(serverOf(world, index), id),
  ),
  action('takeReport', home, (world: ResidencyWorld, index) => {
    const report = world.reports.shift();
    if (report) {
      homeOf(world, index).reports.set(`${report.modelId}@${report.serverId}`, report);
    }
  }),
  action('advance', fc.constantFrom(1, 50, 1_000, 6_000), (world: ResidencyWorld, byMs) =>
    world.advance(byMs),
  ),
  action('startRequest', fc.tuple(server, model), (world: ResidencyWorld, [index, id]) => {
    serverOf(world, index).controller.onRequestStarted(id);
  }),
  action('endRequest', fc.tuple(server, model), (world: ResidencyWorld, [index, id]) =>
    serverOf(world, index).controller.onRequestEnded(id, world.nowMs),
  ),
  action('serverGone', fc.constant(SERVER_COUNT - 1), (world: ResidencyWorld, index) => {
    const gone = serverOf(world, index);
    gone.gone = true;
    gone.engine.items.clear();
  }),
];

/** Lets anything in, whatever the memory. */
class BoundlessLedger extends MemoryLedger {
  override get freeBytes(): number {
    return CAPACITY_BYTES;
  }
}

/** Believes a home's placement right after a start. */
class TrustingGrantTable extends GrantTable {
  override mayLoad(modelId: string): boolean {
    return !this.isRevoked(modelId) && this.versionOf(modelId) > 0;
  }
}

/** Takes an order without an answer for one that was not carried out. */
class HopefulController extends ResidencyController {
  override onOrderResult(order: EngineOrder, outcome: 'done' | 'refused' | 'unknown', nowMs: number): void {
    super.onOrderResult(order, outcome === 'unknown' ? 'refused' : outcome, nowMs);
  }
}

const realParts: ResidencyParts = {
  createGrants: (id) => new GrantTable(toServerId(id)),
  createController: (grants) => new ResidencyController(grants),
};

/** Builds the promise for engines that check order numbers, or for those that ignore them. */
export function residencyPromise(fencing: boolean): FuzzedPromise<ResidencyWorld> {
  return {
    name: `replicas loaded never exceed the decided count, nor memory its capacity (${fencing ? 'fencing' : 'not fencing'} engines)`,
    actions,
    maxCommands: 150,
    create: () => new ResidencyWorld(fencing, realParts),
    mutants: {
      'ledger without a limit': () =>
        new ResidencyWorld(fencing, {
          ...realParts,
          createController: (grants) => new ResidencyController(grants, new BoundlessLedger(0)),
        }),
      'grants believed before the platform confirmed them': () =>
        new ResidencyWorld(fencing, {
          ...realParts,
          createGrants: (id) => new TrustingGrantTable(toServerId(id)),
        }),
      'unanswered order taken for not carried out': () =>
        new ResidencyWorld(fencing, {
          ...realParts,
          createController: (grants) => new HopefulController(grants),
        }),
    },
  };
}
