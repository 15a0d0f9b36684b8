import {
  FleetView,
  ModelLoader,
  ServerChooser,
  type AgentConnections,
  type ServingConfiguration,
  type WantModelParams,
} from '../../src/direct/index.js';
import { toDataCentreId, type ServerId } from '../../src/domain/index.js';
import { delay, type Clock } from '../../src/kernel/index.js';
import { Log } from '../../src/telemetry/index.js';
import { ENGINES } from './fleetFixtures.js';

/** Delay before a request looks for a server again, in milliseconds. */
const RETRY_DELAY_MS = 50;

/** Request of a simulated caller. */
export interface SimulatedRequest {
  readonly requestId: string;
  readonly model: string;
  readonly isInteractive: boolean;
  /** When the request ends unless an engine has begun to run it. */
  readonly untilMs: number;
}

/** Sends load requests and requests to the simulated engines. */
export interface EngineLinks {
  requestModel(address: string, params: WantModelParams): void;
  /** Starts a request; returns whether the engine holds the model. */
  startRequest(
    router: SimulatedRouter,
    serverId: ServerId,
    address: string,
    request: SimulatedRequest,
  ): boolean;
}

/** Router whose choices of servers and loads are the real ones. */
export class SimulatedRouter {
  readonly view = new FleetView();
  readonly chooser: ServerChooser;
  readonly loader: ModelLoader;

  /**
   * @param clock - Simulated time.
   * @param configuration - Configuration of the service.
   * @param links - Links to the engines.
   * @param drawFraction - Returns a random number in [0, 1).
   */
  constructor(
    private readonly clock: Clock,
    configuration: ServingConfiguration,
    private readonly links: EngineLinks,
    drawFraction: () => number,
  ) {
    this.view.applyConfiguration(configuration);
    this.chooser = new ServerChooser(this.view, toDataCentreId('here'), drawFraction);
    this.loader = new ModelLoader({
      clock,
      view: this.view,
      chooser: this.chooser,
      agentConnections: links as unknown as AgentConnections,
      log: new Log('simulated', () => undefined),
    });
  }

  /**
   * Runs a request; resolves with whether an engine began to run it.
   * @param request - The request.
   */
  async run(request: SimulatedRequest): Promise<boolean> {
    const { clock, chooser, loader } = this;
    const { requestId, model, isInteractive, untilMs } = request;
    loader.recordTraffic();
    chooser.recordArrival({ serviceId: ENGINES, model }, clock.nowMs());
    if (isInteractive) {
      loader.recordInteractiveUse(ENGINES, model);
    }
    const excludedServerIds = new Set<ServerId>();
    while (clock.nowMs() < untilMs) {
      const requirements = { serviceId: ENGINES, model, isInteractive, tokenCount: 800, excludedServerIds };
      const server = chooser.chooseServer(requirements, clock.nowMs());
      if (server) {
        const { serverId, address } = server.entry;
        if (this.links.startRequest(this, serverId, address, request)) {
          chooser.recordSent(serverId, clock.nowMs(), requirements.tokenCount);
          return true;
        }
        this.view.recordModelRefusal(serverId, model, clock.nowMs());
        excludedServerIds.add(serverId);
      } else if (excludedServerIds.size > 0) {
        await delay(clock, RETRY_DELAY_MS);
        excludedServerIds.clear();
      } else {
        const wait = { requestId, serviceId: ENGINES, model, isInteractive, untilMs };
        const result = await loader.waitFor(wait);
        if (result.kind !== 'ready') {
          return false;
        }
      }
    }
    return false;
  }
}
