import fc from 'fast-check';
import {
  GrantTable,
  MemoryLedger,
  MAX_ORDER_DELAY_MS,
  ResidencyController,
  type EngineItem,
  type EngineOrder,
  type EngineState,
} from '../../src/agent/decisions/index.js';
import { toServerId, type Placement, type Versioned } from '../../src/domain/index.js';
import { decidePlacement } from '../../src/home/decisions/index.js';
import { commandArb, type FuzzedProperty, type Simulation } from './Simulation.js';

const SERVER_COUNT = 3;
const DECIDED_REPLICAS = 1;
const LONG_KEEP_ALIVE_MS = 60_000;
const CAPACITY_BYTES = 100;
const SIZE_BYTES: Readonly<Record<string, number>> = { 'svc/a': 60, 'svc/b': 40, 'svc/c': 30 };
const MODELS = Object.keys(SIZE_BYTES);

/** Order that an agent sent to its engine, and its result. */
interface SentOrder {
  readonly order: EngineOrder;
  readonly agentRun: number;
  readonly sentAtMs: number;
  result?: 'done' | 'refused';
  /** Whether the agent has processed a result or stopped waiting for one. */
  agentStoppedWaiting: boolean;
}

/** Actual memory content of a backend server. */
class FakeEngine {
  readonly items = new Map<string, EngineItem>();
  lastOrderNumber = 0;
  bootNumber = 1;

  constructor(private readonly fencing: boolean) {}

  execute(order: EngineOrder): 'done' | 'refused' {
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
    this.bootNumber++;
  }

  state(): EngineState {
    return {
      bootId: `boot-${this.bootNumber}`,
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

/** Creates the classes under test; mutants replace them. */
export interface ResidencyFactories {
  createGrants(serverId: string): GrantTable;
  createController(grants: GrantTable): ResidencyController;
}

class FakeServer {
  readonly id: string;
  readonly engine: FakeEngine;
  readonly sentOrders: SentOrder[] = [];
  readonly snapshots: {
    readonly state: EngineState;
    readonly requestedAtMs: number;
    readonly agentRun: number;
  }[] = [];
  agentRun = 0;
  isRemoved = false;
  grants!: GrantTable;
  controller!: ResidencyController;

  constructor(
    index: number,
    fencing: boolean,
    private readonly factories: ResidencyFactories,
  ) {
    this.id = `s${index}`;
    this.engine = new FakeEngine(fencing);
    this.startAgent();
  }

  startAgent(): void {
    this.agentRun++;
    this.grants = this.factories.createGrants(this.id);
    this.controller = this.factories.createController(this.grants);
    for (const sentOrder of this.sentOrders) {
      sentOrder.agentStoppedWaiting = true;
    }
  }
}

interface Report {
  readonly serverId: string;
  readonly modelId: string;
  readonly phase: string;
  readonly version: number;
}

/** Owner router with a possibly outdated copy of the placements and reports. */
class FakeOwner {
  readonly placements = new Map<string, Versioned<Placement>>();
  readonly reports = new Map<string, Report>();
}

/** Simulates three servers with agents, two owner routers that may disagree, and the placements on the platform. */
export class ResidencySimulation implements Simulation {
  readonly servers: FakeServer[] = [];
  readonly owners = [new FakeOwner(), new FakeOwner()];
  readonly platformPlacements = new Map<string, Versioned<Placement>>();
  readonly reports: Report[] = [];
  nowMs = 1_000;

  constructor(
    private readonly fencing: boolean,
    factories: ResidencyFactories,
  ) {
    for (let index = 0; index < SERVER_COUNT; index++) {
      this.servers.push(new FakeServer(index, fencing, factories));
    }
    for (let round = 0; round < 2; round++) {
      for (const server of this.servers) {
        this.finishAgentStart(server);
      }
      this.advance(MAX_ORDER_DELAY_MS);
    }
  }

  /** Moves a model between servers in the steps of an owner router, without faults. */
  moveModel(owner: FakeOwner, modelId: string, leaving: readonly number[]): void {
    for (let round = 0; round < 4; round++) {
      for (let index = 0; index < SERVER_COUNT; index++) {
        this.placeAndLoad(owner, modelId, index, leaving);
      }
      for (const server of this.servers) {
        this.executeAllOrders(server);
      }
      this.advance(200);
    }
  }

  /** Runs the steps of an agent after its start, without faults. */
  finishAgentStart(server: FakeServer): void {
    for (let round = 0; round < 3; round++) {
      this.nowMs++;
      server.snapshots.length = 0;
      this.queryState(server);
      this.applyState(server);
      this.executeAllOrders(server);
    }
    this.confirmGrants(server);
  }

  executeAllOrders(server: FakeServer): void {
    for (let round = 0; round < 6; round++) {
      this.deliverOrder(server, 0);
      this.completeOrder(server, 0, true);
    }
  }

  /** Places a model, sends the placement to the servers and requests a load, without faults. */
  placeAndLoad(owner: FakeOwner, modelId: string, serverIndex: number, leaving: readonly number[]): void {
    this.refreshPlacement(owner, modelId);
    for (const server of this.servers) {
      this.queueReport(server, modelId);
      const report = this.reports.pop();
      if (report) {
        owner.reports.set(`${report.modelId}@${report.serverId}`, report);
      }
    }
    this.reviewPlacement(owner, modelId, leaving, false);
    this.pushPlacement(owner, modelId);
    const server = this.servers[serverIndex];
    if (server) {
      this.requestLoad(server, modelId, LONG_KEEP_ALIVE_MS);
    }
  }

  pushPlacement(owner: FakeOwner, modelId: string): void {
    const placement = owner.placements.get(modelId);
    for (const server of this.servers) {
      if (placement) {
        server.grants.accept(placement);
      }
    }
  }

  refreshPlacement(owner: FakeOwner, modelId: string): void {
    const current = this.platformPlacements.get(modelId);
    if (current) {
      owner.placements.set(modelId, current);
    }
  }

  assertInvariants(): void {
    for (const modelId of MODELS) {
      const holders = this.servers.filter((server) => !server.isRemoved && server.engine.items.has(modelId));
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
        throw new Error(`${server.id} uses ${totalBytes} bytes of memory`);
      }
    }
  }

  sendOrders(server: FakeServer): void {
    for (const order of server.controller.takeOrders()) {
      server.sentOrders.push({
        order,
        agentRun: server.agentRun,
        sentAtMs: this.nowMs,
        agentStoppedWaiting: false,
      });
    }
  }

  requestLoad(server: FakeServer, modelId: string, keepAliveMs: number): void {
    server.controller.wake({ itemId: modelId, sizeBytes: SIZE_BYTES[modelId] ?? 0, keepAliveMs }, this.nowMs);
    this.sendOrders(server);
  }

  deliverOrder(server: FakeServer, index: number): void {
    const undelivered = server.sentOrders.filter((sentOrder) => sentOrder.result === undefined);
    const sentOrder = undelivered[index % Math.max(1, undelivered.length)];
    if (sentOrder && !server.isRemoved) {
      sentOrder.result = server.engine.execute(sentOrder.order);
    }
  }

  /** Delivers the result of an order, or none, in which case the outcome is unknown to the agent. */
  completeOrder(server: FakeServer, index: number, hasResult: boolean): void {
    const candidates = server.sentOrders.filter(
      (sentOrder) => !sentOrder.agentStoppedWaiting && (!hasResult || sentOrder.result !== undefined),
    );
    const sentOrder = candidates[index % Math.max(1, candidates.length)];
    if (!sentOrder) {
      return;
    }
    sentOrder.agentStoppedWaiting = true;
    const outcome = hasResult ? (sentOrder.result ?? 'unknown') : 'unknown';
    server.controller.onOrderResult(sentOrder.order, outcome, this.nowMs);
    this.sendOrders(server);
  }

  queryState(server: FakeServer): void {
    server.snapshots.push({
      state: server.engine.state(),
      requestedAtMs: this.nowMs,
      agentRun: server.agentRun,
    });
  }

  applyState(server: FakeServer): void {
    const snapshot = server.snapshots.shift();
    if (snapshot && snapshot.agentRun === server.agentRun && !server.isRemoved) {
      server.controller.onEngineState(snapshot.state, snapshot.requestedAtMs);
      this.sendOrders(server);
    }
  }

  /** Crashes an engine; undelivered orders are lost, since an order does not outlive the connection to a crashed engine. */
  crashEngine(server: FakeServer): void {
    server.engine.crash();
    for (const sentOrder of server.sentOrders) {
      sentOrder.result ??= 'refused';
    }
    for (const sentOrder of server.sentOrders.filter((other) => !other.agentStoppedWaiting)) {
      sentOrder.agentStoppedWaiting = true;
      server.controller.onOrderResult(sentOrder.order, 'unknown', this.nowMs);
    }
    this.sendOrders(server);
  }

  confirmGrants(server: FakeServer): void {
    server.grants.confirm([...this.platformPlacements.values()]);
  }

  /** Decides the next step of a placement from the owner's copies and writes it to the platform. */
  reviewPlacement(
    owner: FakeOwner,
    modelId: string,
    leaving: readonly number[],
    isResponseLost: boolean,
  ): void {
    const placement = owner.placements.get(modelId);
    const acknowledged = new Set<string>();
    for (const report of owner.reports.values()) {
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
        .filter((server) => !server.isRemoved)
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
    const current = this.platformPlacements.get(modelId);
    if (step.kind !== 'write' || step.ifVersion !== (current?.version ?? 0)) {
      return;
    }
    const written = { value: step.value, version: (current?.version ?? 0) + 1 };
    this.platformPlacements.set(modelId, written);
    if (!isResponseLost) {
      owner.placements.set(modelId, written);
    }
  }

  queueReport(server: FakeServer, modelId: string): void {
    const phase = server.controller.getPhase(modelId);
    this.reports.push({ serverId: server.id, modelId, phase, version: server.grants.getVersion(modelId) });
  }

  advance(byMs: number): void {
    this.nowMs += byMs;
    for (const server of this.servers) {
      this.expireOrders(server);
      server.controller.tick(this.nowMs);
      this.sendOrders(server);
    }
  }

  /** Marks late orders as refused: without fencing, an order reaches the engine on its instance soon or its connection is lost. */
  private expireOrders(server: FakeServer): void {
    for (const sentOrder of server.sentOrders) {
      const isExpired =
        sentOrder.agentStoppedWaiting && this.nowMs - sentOrder.sentAtMs >= MAX_ORDER_DELAY_MS;
      if (isExpired && !this.fencing) {
        sentOrder.result ??= 'refused';
      }
    }
  }
}

const serverArb = fc.nat(SERVER_COUNT - 1);
const modelArb = fc.constantFrom('svc/a', 'svc/a', ...MODELS);
const ownerArb = fc.nat(1);
const getServer = (simulation: ResidencySimulation, index: number) => simulation.servers[index]!;
const getOwner = (simulation: ResidencySimulation, index: number) => simulation.owners[index]!;

const commands = [
  commandArb(
    'wake',
    fc.tuple(serverArb, modelArb, fc.constantFrom(100, LONG_KEEP_ALIVE_MS)),
    (simulation: ResidencySimulation, [index, modelId, keepAliveMs]) =>
      simulation.requestLoad(getServer(simulation, index), modelId, keepAliveMs),
  ),
  commandArb(
    'deliverOrder',
    fc.tuple(serverArb, fc.nat(3)),
    (simulation: ResidencySimulation, [index, orderIndex]) =>
      simulation.deliverOrder(getServer(simulation, index), orderIndex),
  ),
  commandArb(
    'settleOrder',
    fc.tuple(serverArb, fc.nat(3), fc.boolean()),
    (simulation: ResidencySimulation, [index, orderIndex, hasResult]) =>
      simulation.completeOrder(getServer(simulation, index), orderIndex, hasResult),
  ),
  commandArb('askState', serverArb, (simulation: ResidencySimulation, index) =>
    simulation.queryState(getServer(simulation, index)),
  ),
  commandArb('takeState', serverArb, (simulation: ResidencySimulation, index) =>
    simulation.applyState(getServer(simulation, index)),
  ),
  commandArb('readState', serverArb, (simulation: ResidencySimulation, index) => {
    getServer(simulation, index).snapshots.length = 0;
    simulation.queryState(getServer(simulation, index));
    simulation.applyState(getServer(simulation, index));
  }),
  commandArb('carryOutAll', serverArb, (simulation: ResidencySimulation, index) =>
    simulation.executeAllOrders(getServer(simulation, index)),
  ),
  commandArb('bringUp', serverArb, (simulation: ResidencySimulation, index) =>
    simulation.finishAgentStart(getServer(simulation, index)),
  ),
  ...[1, 2, 3].map(() =>
    commandArb(
      'placeAndWake',
      fc.tuple(ownerArb, modelArb, serverArb, fc.subarray([0, 1, 2])),
      (simulation: ResidencySimulation, [index, modelId, serverIndex, leaving]) =>
        simulation.placeAndLoad(getOwner(simulation, index), modelId, serverIndex, leaving),
    ),
  ),
  commandArb(
    'move',
    fc.tuple(ownerArb, modelArb, fc.subarray([0, 1, 2], { maxLength: 2 })),
    (simulation: ResidencySimulation, [index, modelId, leaving]) =>
      simulation.moveModel(getOwner(simulation, index), modelId, leaving),
  ),
  commandArb(
    'readStateAndPush',
    fc.tuple(ownerArb, modelArb, serverArb),
    (simulation: ResidencySimulation, [index, modelId, serverIndex]) => {
      simulation.nowMs++;
      simulation.queryState(getServer(simulation, serverIndex));
      simulation.applyState(getServer(simulation, serverIndex));
      simulation.executeAllOrders(getServer(simulation, serverIndex));
      simulation.pushPlacement(getOwner(simulation, index), modelId);
    },
  ),
  commandArb(
    'restartThenWakeFrom',
    fc.tuple(ownerArb, modelArb, serverArb),
    (simulation: ResidencySimulation, [index, modelId, serverIndex]) => {
      const restarted = getServer(simulation, serverIndex);
      restarted.startAgent();
      for (let round = 0; round < 3; round++) {
        simulation.nowMs += MAX_ORDER_DELAY_MS;
        restarted.snapshots.length = 0;
        simulation.queryState(restarted);
        simulation.applyState(restarted);
        simulation.executeAllOrders(restarted);
      }
      simulation.pushPlacement(getOwner(simulation, index), modelId);
      simulation.requestLoad(restarted, modelId, LONG_KEEP_ALIVE_MS);
      simulation.executeAllOrders(restarted);
    },
  ),
  commandArb('wakeEverywhere', modelArb, (simulation: ResidencySimulation, modelId) => {
    for (const server of simulation.servers) {
      simulation.requestLoad(server, modelId, LONG_KEEP_ALIVE_MS);
    }
  }),
  commandArb(
    'restartAgent',
    fc.tuple(serverArb, fc.boolean()),
    (simulation: ResidencySimulation, [index, waitsForSettle]) => {
      getServer(simulation, index).startAgent();
      if (waitsForSettle) {
        simulation.queryState(getServer(simulation, index));
        simulation.applyState(getServer(simulation, index));
        simulation.advance(MAX_ORDER_DELAY_MS);
      }
    },
  ),
  commandArb('crashEngine', serverArb, (simulation: ResidencySimulation, index) =>
    simulation.crashEngine(getServer(simulation, index)),
  ),
  commandArb('confirmGrants', serverArb, (simulation: ResidencySimulation, index) =>
    simulation.confirmGrants(getServer(simulation, index)),
  ),
  commandArb(
    'review',
    fc.tuple(ownerArb, modelArb, fc.subarray([0, 1, 2]), fc.boolean()),
    (simulation: ResidencySimulation, [index, modelId, leaving, isResponseLost]) =>
      simulation.reviewPlacement(getOwner(simulation, index), modelId, leaving, isResponseLost),
  ),
  commandArb(
    'refreshHome',
    fc.tuple(ownerArb, modelArb),
    (simulation: ResidencySimulation, [index, modelId]) =>
      simulation.refreshPlacement(getOwner(simulation, index), modelId),
  ),
  commandArb(
    'pushEverywhere',
    fc.tuple(ownerArb, modelArb),
    (simulation: ResidencySimulation, [index, modelId]) =>
      simulation.pushPlacement(getOwner(simulation, index), modelId),
  ),
  commandArb(
    'pushPlacement',
    fc.tuple(ownerArb, serverArb, modelArb),
    (simulation: ResidencySimulation, [ownerIndex, serverIndex, modelId]) => {
      const placement = getOwner(simulation, ownerIndex).placements.get(modelId);
      if (placement) {
        getServer(simulation, serverIndex).grants.accept(placement);
      }
    },
  ),
  commandArb(
    'makeReport',
    fc.tuple(serverArb, modelArb),
    (simulation: ResidencySimulation, [index, modelId]) =>
      simulation.queueReport(getServer(simulation, index), modelId),
  ),
  commandArb('takeReport', ownerArb, (simulation: ResidencySimulation, index) => {
    const report = simulation.reports.shift();
    if (report) {
      getOwner(simulation, index).reports.set(`${report.modelId}@${report.serverId}`, report);
    }
  }),
  commandArb('advance', fc.constantFrom(1, 50, 1_000, 6_000), (simulation: ResidencySimulation, byMs) =>
    simulation.advance(byMs),
  ),
  commandArb(
    'startRequest',
    fc.tuple(serverArb, modelArb),
    (simulation: ResidencySimulation, [index, modelId]) => {
      getServer(simulation, index).controller.onRequestStarted(modelId);
    },
  ),
  commandArb(
    'endRequest',
    fc.tuple(serverArb, modelArb),
    (simulation: ResidencySimulation, [index, modelId]) =>
      getServer(simulation, index).controller.onRequestEnded(modelId, simulation.nowMs),
  ),
  commandArb('serverGone', fc.constant(SERVER_COUNT - 1), (simulation: ResidencySimulation, index) => {
    const removed = getServer(simulation, index);
    removed.isRemoved = true;
    removed.engine.items.clear();
  }),
];

/** Reports all memory as free, whatever is reserved. */
class UnlimitedLedger extends MemoryLedger {
  override get freeBytes(): number {
    return CAPACITY_BYTES;
  }
}

/** Allows loads before the platform has confirmed the grants after a start. */
class UnconfirmedGrantTable extends GrantTable {
  override mayLoad(modelId: string): boolean {
    return !this.isRevoked(modelId) && this.getVersion(modelId) > 0;
  }
}

/** Treats an order with an unknown outcome as refused. */
class UnknownAsRefusedController extends ResidencyController {
  override onOrderResult(order: EngineOrder, outcome: 'done' | 'refused' | 'unknown', nowMs: number): void {
    super.onOrderResult(order, outcome === 'unknown' ? 'refused' : outcome, nowMs);
  }
}

const productionFactories: ResidencyFactories = {
  createGrants: (id) => new GrantTable(toServerId(id)),
  createController: (grants) => new ResidencyController(grants),
};

/**
 * Creates the property that replicas and memory stay within their limits.
 * @param fencing - Whether the engines check order numbers or ignore them.
 */
export function residencyProperty(fencing: boolean): FuzzedProperty<ResidencySimulation> {
  return {
    name: `replicas loaded never exceed the decided count, nor memory its capacity (${fencing ? 'fencing' : 'not fencing'} engines)`,
    commands,
    maxCommands: 150,
    create: () => new ResidencySimulation(fencing, productionFactories),
    mutants: {
      'ledger without a limit': () =>
        new ResidencySimulation(fencing, {
          ...productionFactories,
          createController: (grants) => new ResidencyController(grants, new UnlimitedLedger(0)),
        }),
      'grants used before the platform confirmed them': () =>
        new ResidencySimulation(fencing, {
          ...productionFactories,
          createGrants: (id) => new UnconfirmedGrantTable(toServerId(id)),
        }),
      'order with an unknown outcome treated as refused': () =>
        new ResidencySimulation(fencing, {
          ...productionFactories,
          createController: (grants) => new UnknownAsRefusedController(grants),
        }),
    },
  };
}
