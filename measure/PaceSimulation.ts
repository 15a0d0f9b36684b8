import { FleetView, ServerChooser, type ServerEntry } from '../src/direct/index.js';
import { toDataCentreId, type ServerId } from '../src/domain/index.js';
import { Random } from '../src/kernel/index.js';
import { getBatchFactor, ModelPaceAverages, StreamPace } from '../src/pace/index.js';
import { ENGINE_SERVICE, makeEngineReport } from './engineFleet.js';

const STEP_MS = 10;
const REPORT_INTERVAL_MS = 500;
/** Age of the engine's state when a report of it arrives, in milliseconds. */
const REPORT_LAG_MS = 200;
/** What the routes allow. */
const MAX_GAP_MS = 200;
const LIVE_TARGET_MS = 300;
const BATCH_TARGET_MS = 3_000;
const EVENT_COUNT = 25;
const TOKEN_COUNT = 300;
const CACHE_TOKENS = 100_000;
const FIRST_EVENT_MS = 20;
/** Time before the streams are counted, in milliseconds. */
const WARM_UP_MS = 8_000;
const DEFAULT_DURATION_MS = 40_000;
const DEFAULT_ROUTER_COUNT = 6;
/** Slow periods of a server: length, share of the time and how much slower it is. */
const SLOW_MS = 600;
const SLOW_SHARE = 0.15;
const SLOW_FACTOR = 2.5;

/** Traffic on one model. */
export interface SimulatedTraffic {
  readonly model: string;
  readonly perSecond: number;
  readonly isInteractive: boolean;
}

/** Options of {@link PaceSimulation}. */
export interface PaceSimulationOptions {
  readonly entries: readonly ServerEntry[];
  readonly traffic: readonly SimulatedTraffic[];
  /** Returns the time between two events in a usual batch outside of slow periods, in milliseconds. */
  readonly getGapMs: (server: ServerEntry, model: string, nowMs: number) => number;
  /** Whether servers are chosen by their pace. */
  readonly usesPace: boolean;
  readonly routerCount?: number;
  readonly durationMs?: number;
}

/** Outcome of the streams of one model after the warm-up. */
export interface SimulatedOutcome {
  count: number;
  lateCount: number;
  readonly countByServer: Map<ServerId, number>;
}

interface SimulatedServer {
  readonly entry: ServerEntry;
  readonly averages: ModelPaceAverages;
  /** Number of running requests at each step. */
  readonly history: number[];
  runningCount: number;
  slowUntilMs: number;
}

interface SimulatedStream {
  readonly traffic: SimulatedTraffic;
  readonly server: SimulatedServer;
  readonly chooser: ServerChooser;
  readonly startedAtMs: number;
  readonly pace: StreamPace;
  lastAtMs: number;
  nextAtMs: number;
  eventCount: number;
  isLate: boolean;
}

/** Simulates engines that differ in speed, their agents, and routers that choose among them by reports that lag. */
export class PaceSimulation {
  private readonly random = new Random(1);
  private readonly routers: { readonly view: FleetView; readonly chooser: ServerChooser }[] = [];
  private readonly servers = new Map<ServerId, SimulatedServer>();
  private readonly outcomes = new Map<string, SimulatedOutcome>();
  private streams: SimulatedStream[] = [];

  /** @param options - The engines, their speeds and the traffic. */
  constructor(private readonly options: PaceSimulationOptions) {
    const { entries, usesPace, routerCount = DEFAULT_ROUTER_COUNT } = options;
    for (let index = 0; index < routerCount; index++) {
      const view = new FleetView();
      view.applyList(entries, 0);
      const drawFraction = () => this.random.nextFraction();
      const chooser = new ServerChooser(view, toDataCentreId('d0'), drawFraction, () => usesPace);
      this.routers.push({ view, chooser });
    }
    for (const entry of entries) {
      const averages = new ModelPaceAverages();
      this.servers.set(entry.serverId, { entry, averages, history: [], runningCount: 0, slowUntilMs: 0 });
    }
  }

  /** Runs the simulation and returns the outcome by model. */
  run(): ReadonlyMap<string, SimulatedOutcome> {
    const { durationMs = DEFAULT_DURATION_MS, traffic } = this.options;
    for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
      this.runServers(nowMs);
      for (const stream of this.streams) {
        this.runStream(stream, nowMs);
      }
      this.streams = this.streams.filter(({ eventCount }) => eventCount < EVENT_COUNT);
      for (const kind of traffic) {
        for (let left = (kind.perSecond * STEP_MS) / 1_000; left > this.random.nextFraction(); left--) {
          this.startStream(kind, nowMs);
        }
      }
    }
    return this.outcomes;
  }

  /**
   * Returns the pace factor of a server as the first router knows it.
   * @param serverId - The server.
   */
  getPaceFactor(serverId: ServerId): number {
    return this.routers[0]?.view.pace.getPaceFactor(serverId) ?? 1;
  }

  private runServers(nowMs: number): void {
    let phaseMs = 0;
    for (const server of this.servers.values()) {
      if (nowMs >= server.slowUntilMs && this.random.nextFraction() < (SLOW_SHARE * STEP_MS) / SLOW_MS) {
        server.slowUntilMs = nowMs + SLOW_MS;
      }
      server.history.push(server.runningCount);
      phaseMs += 70;
      if ((nowMs + phaseMs) % REPORT_INTERVAL_MS < STEP_MS) {
        const runningCount = server.history.at(-1 - REPORT_LAG_MS / STEP_MS) ?? 0;
        const report = makeEngineReport(server.entry, {
          runningCount,
          usedCacheTokens: runningCount * TOKEN_COUNT,
          cacheTokens: CACHE_TOKENS,
          routerCount: this.routers.length,
          paces: server.averages.getPaces(nowMs),
        });
        for (const { view } of this.routers) {
          view.applyReport(report, nowMs);
        }
      }
    }
  }

  private runStream(stream: SimulatedStream, nowMs: number): void {
    if (stream.nextAtMs > nowMs) {
      return;
    }
    const { server, traffic, pace } = stream;
    const limitMs = stream.eventCount === 0 ? getTargetMs(traffic) : MAX_GAP_MS;
    stream.isLate ||= nowMs - stream.lastAtMs > limitMs;
    stream.lastAtMs = nowMs;
    stream.eventCount++;
    pace.record(stream, 1, nowMs);
    const slowFactor = nowMs < server.slowUntilMs ? SLOW_FACTOR : 1;
    const gapMs = this.options.getGapMs(server.entry, traffic.model, nowMs);
    stream.nextAtMs = nowMs + gapMs * getBatchFactor(server.runningCount) * slowFactor;
    if (stream.eventCount === EVENT_COUNT) {
      const meanGapMs = pace.getMeanGapMs(stream, nowMs);
      server.averages.record(traffic.model, meanGapMs, server.runningCount, nowMs);
      server.runningCount--;
      stream.chooser.recordEnded(server.entry.serverId, false, nowMs);
      this.countStream(stream);
    }
  }

  private countStream({ traffic, server, startedAtMs, isLate }: SimulatedStream): void {
    if (startedAtMs < WARM_UP_MS) {
      return;
    }
    const { serverId } = server.entry;
    const outcome = this.outcomes.get(traffic.model) ?? { count: 0, lateCount: 0, countByServer: new Map() };
    this.outcomes.set(traffic.model, outcome);
    outcome.count++;
    outcome.lateCount += isLate ? 1 : 0;
    outcome.countByServer.set(serverId, (outcome.countByServer.get(serverId) ?? 0) + 1);
  }

  private startStream(traffic: SimulatedTraffic, nowMs: number): void {
    const { model, isInteractive } = traffic;
    const chooser = this.routers[this.random.nextInt(this.routers.length)]?.chooser;
    chooser?.recordArrival({ serviceId: ENGINE_SERVICE, model }, nowMs);
    const requirements = {
      serviceId: ENGINE_SERVICE,
      model,
      isInteractive,
      tokenCount: TOKEN_COUNT,
      promptTokens: TOKEN_COUNT / 2,
      maxGapMs: MAX_GAP_MS,
      latencyTargetMs: getTargetMs(traffic),
      excludedServerIds: new Set<ServerId>(),
    };
    const chosen = chooser?.chooseServer(requirements, nowMs);
    const server = chosen && this.servers.get(chosen.entry.serverId);
    if (!chooser || !server) {
      return;
    }
    chooser.recordSent(server.entry.serverId, nowMs, TOKEN_COUNT);
    server.runningCount++;
    this.streams.push({
      traffic,
      server,
      chooser,
      startedAtMs: nowMs,
      pace: new StreamPace(),
      lastAtMs: nowMs,
      nextAtMs: nowMs + FIRST_EVENT_MS,
      eventCount: 0,
      isLate: false,
    });
  }
}

function getTargetMs({ isInteractive }: SimulatedTraffic): number {
  return isInteractive ? LIVE_TARGET_MS : BATCH_TARGET_MS;
}
