import type { Log, Metrics } from '../telemetry/index.js';
import type { AgentConnections } from './AgentConnections.js';
import { isStreamOrigin, StreamOrigins, type StreamOrigin } from './decisions/index.js';
import { STREAM_METHODS, type FindOriginReply } from './messages.js';

/** Timeout of the question to an agent, in milliseconds; it answers within a few milliseconds. */
const FIND_TIMEOUT_MS = 200;

/** Dependencies of {@link StreamOriginClient}. */
export interface StreamOriginClientDependencies {
  readonly agentConnections: AgentConnections;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Records at which software version streams begin, at this router and at a few agents that all routers choose in the same
 * way, and finds it for a stream that its caller takes up at any router.
 */
export class StreamOriginClient {
  private readonly ownOrigins = new StreamOrigins();

  /** @param deps - Dependencies. */
  constructor(private readonly deps: StreamOriginClientDependencies) {}

  /**
   * Records the version at which a stream began.
   * @param origin - The stream and the version.
   */
  record(origin: StreamOrigin): void {
    this.ownOrigins.record(origin);
    const { agentConnections } = this.deps;
    for (const address of agentConnections.chooseKeepers(origin.requestId)) {
      agentConnections.notify(address, STREAM_METHODS.began, origin);
    }
  }

  /**
   * Finds the version at which a stream began; resolves with undefined if nobody knows it.
   * @param requestId - ID of the request whose response brought the first event.
   */
  async find(requestId: string): Promise<string | undefined> {
    const { log, metrics } = this.deps;
    const ownVersion = this.ownOrigins.getVersion(requestId);
    const softwareVersion = ownVersion ?? (await this.askKeepers(requestId));
    const source = ownVersion === undefined ? 'agents' : 'router';
    metrics.count(softwareVersion === undefined ? 'stream_origins_unknown' : 'stream_origins_found');
    log.decision('origin of a stream', {
      requestId,
      softwareVersion: softwareVersion ?? '',
      source: softwareVersion === undefined ? 'none' : source,
    });
    return softwareVersion;
  }

  /** Asks all keepers; resolves with the first version that one of them knows. */
  private async askKeepers(requestId: string): Promise<string | undefined> {
    const answers = this.deps.agentConnections.chooseKeepers(requestId).map(async (address) => {
      const softwareVersion = await this.ask(address, requestId);
      return softwareVersion ?? Promise.reject(new Error('The agent does not know the stream.'));
    });
    return Promise.any(answers).catch(() => undefined);
  }

  private async ask(address: string, requestId: string): Promise<string | undefined> {
    const result = await this.deps.agentConnections.call<FindOriginReply>(
      address,
      STREAM_METHODS.findOrigin,
      { requestId },
      FIND_TIMEOUT_MS,
    );
    const softwareVersion = result.kind === 'answered' ? result.value.softwareVersion : undefined;
    return isStreamOrigin({ requestId, softwareVersion }) ? (softwareVersion ?? undefined) : undefined;
  }
}
