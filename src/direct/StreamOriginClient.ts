import { delay, PeriodicTask, type Clock, type Service, findFirstForKey } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import type { AgentConnections } from './AgentConnections.js';
import {
  isStreamOrigin,
  ORIGIN_REPLICA_COUNT,
  OriginReplicas,
  StreamOrigins,
  type FleetView,
  type OriginCopy,
  type StreamOrigin,
} from './decisions/index.js';
import { getEngineEntries } from './engineEntries.js';
import { STREAM_METHODS, type FindOriginReply } from './messages.js';

/** Interval at which lost agents are replaced, in milliseconds; an engine that leaves is known to for some seconds. */
const UPDATE_INTERVAL_MS = 200;
/** Maximum number of agents that are asked for one stream; more than store it, since the order changes with the list. */
const MAX_ASKED_COUNT = 12;
/** Time after which the next agents are asked too, in milliseconds; an agent answers within a few milliseconds. */
const NEXT_AGENTS_MS = 100;
/** Time in which an agent must have answered, in milliseconds; the connection to it may still have to be opened. */
const FIND_TIMEOUT_MS = 400;

/** Dependencies of {@link StreamOriginClient}. */
export interface StreamOriginClientDependencies {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly agentConnections: AgentConnections;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Records at which software version streams begin, at this router and at a few agents that all routers choose in the same
 * way, and finds it for a stream that its caller takes up at any router.
 */
export class StreamOriginClient implements Service {
  private readonly ownOrigins = new StreamOrigins();
  private readonly replicas = new OriginReplicas();
  private readonly updateTask: PeriodicTask;
  /** Number of changes of the view and of the connections when the agents were last read. */
  private readChangeCount = -1;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: StreamOriginClientDependencies) {
    this.updateTask = new PeriodicTask(deps.clock, UPDATE_INTERVAL_MS, () => this.updateAgents());
  }

  start(): Promise<void> {
    this.updateTask.start();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.updateTask.stop();
    return Promise.resolve();
  }

  /**
   * Records the version at which a stream began.
   * @param origin - The stream and the version.
   */
  record(origin: StreamOrigin): void {
    this.ownOrigins.record(origin);
    this.send(this.replicas.record(origin, this.deps.clock.nowMs()));
  }

  /**
   * Finds the version at which a stream began; resolves with undefined if nobody knows it.
   * @param requestId - ID of the request whose response brought the first event.
   */
  async find(requestId: string): Promise<string | undefined> {
    const { log, metrics } = this.deps;
    const ownVersion = this.ownOrigins.getVersion(requestId);
    const asked: string[] = [];
    const softwareVersion = ownVersion ?? (await this.askAgents(requestId, asked));
    const source = ownVersion === undefined ? 'agents' : 'router';
    metrics.count(softwareVersion === undefined ? 'stream_origins_unknown' : 'stream_origins_found');
    log.decision('origin of a stream', {
      requestId,
      softwareVersion: softwareVersion ?? '',
      source: softwareVersion === undefined ? 'none' : source,
      askedCount: asked.length,
    });
    return softwareVersion;
  }

  /** Sends copies of the latest origins to agents that take the place of others. */
  private updateAgents(): void {
    const { clock, view, agentConnections } = this.deps;
    const changeCount = view.changeCount + agentConnections.changeCount;
    if (changeCount === this.readChangeCount) {
      this.send(this.replicas.placePending(clock.nowMs()));
      return;
    }
    this.readChangeCount = changeCount;
    const agents = new Map<string, object>();
    for (const { entry } of getEngineEntries(view)) {
      const connection = agentConnections.getConnection(entry.address, STREAM_METHODS.findOrigin);
      if (connection && view.isStaying(entry)) {
        agents.set(entry.address, connection);
      }
    }
    this.send(this.replicas.updateAgents(agents, clock.nowMs()));
  }

  private send(copies: readonly OriginCopy[]): void {
    for (const { address, origin } of copies) {
      this.deps.agentConnections.notify(address, STREAM_METHODS.began, origin);
    }
  }

  /**
   * Asks agents in their order, a few at a time; resolves with the first version that one of them knows. Leaving engines
   * and those that are still being connected are among them, since the order must not depend on this router's state.
   */
  private async askAgents(requestId: string, asked: string[]): Promise<string | undefined> {
    const { clock, view } = this.deps;
    const untilMs = clock.nowMs() + FIND_TIMEOUT_MS;
    const listed = new Set<string>();
    for (const { entry } of getEngineEntries(view)) {
      listed.add(entry.address);
    }
    const ranked = findFirstForKey(requestId, listed, MAX_ASKED_COUNT);
    const answers: Promise<string>[] = [];
    while (asked.length < ranked.length) {
      for (const address of ranked.slice(asked.length, asked.length + ORIGIN_REPLICA_COUNT)) {
        asked.push(address);
        answers.push(this.ask(address, requestId));
      }
      const isLast = asked.length === ranked.length;
      const softwareVersion = await Promise.race([
        Promise.any(answers).catch(() => undefined),
        delay(clock, isLast ? untilMs - clock.nowMs() : NEXT_AGENTS_MS),
      ]);
      if (softwareVersion !== undefined) {
        return softwareVersion;
      }
    }
    return undefined;
  }

  /**
   * Asks an agent, after its connection is open if it is being opened.
   * @throws Error when the agent does not know the stream.
   */
  private async ask(address: string, requestId: string): Promise<string> {
    const { agentConnections } = this.deps;
    await agentConnections.waitUntilDialled(address);
    const result = await agentConnections.call<FindOriginReply>(
      address,
      STREAM_METHODS.findOrigin,
      { requestId },
      FIND_TIMEOUT_MS,
    );
    const origin = {
      requestId,
      softwareVersion: result.kind === 'answered' ? result.value.softwareVersion : undefined,
    };
    if (!isStreamOrigin(origin)) {
      throw new Error('The agent does not know the stream.');
    }
    return origin.softwareVersion;
  }
}
