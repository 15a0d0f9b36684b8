import { toOrganisationId, RouterCounts } from '../../src/domain/index.js';
import { Random } from '../../src/kernel/index.js';
import {
  OrganisationDirectory,
  QUOTA_METHODS,
  QuotaClient,
  QuotaCredit,
  QuotaIssuer,
  type IssuerLinks,
  type Organisation,
  type Quota,
  type QuotaTolerance,
} from '../../src/organisations/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import { ManualClock } from '../fakes/ManualClock.js';
import { flushPromises } from '../waiting.js';
import { ProcessClock } from './ProcessClock.js';
import { QuotaOracle } from './QuotaOracle.js';

/** Length of a step, in milliseconds. */
export const STEP_MS = 10;
/** Interval at which agents report to routers, in milliseconds. */
const REPORT_INTERVAL_MS = 500;
/** Time without a report after which an agent is out of touch, in milliseconds. */
const MAX_SILENCE_MS = 2_000;
/** Interval at which a server is there for the requests that wait for one, in milliseconds. */
const SERVER_INTERVAL_MS = 6_000;
/** Time after its start in which a router connects, in milliseconds. */
const CONNECT_MS = 100;

type Params = Record<string, unknown>;

/** Changes of the code's behaviour that the oracle must detect. */
export interface Mutant {
  /** Changes the parameters of a call before its receiver gets them. */
  readonly changeParams?: (method: string, params: Params, nowMs: number) => Params;
  /** Answers a call in place of the agent. */
  readonly answer?: (method: string, params: Params, agent: SimulatedAgent) => unknown;
  /** Number of routers that routers and agents know of, whatever is reported. */
  readonly routerCount?: number;
  /** Whether a router takes its share from an issuer without the issuer's consent. */
  readonly isReleaseAssumed?: boolean;
}

/** What is simulated. */
export interface QuotaScenario {
  readonly seed: number;
  readonly routerCount: number;
  readonly agentCount: number;
  readonly quota: Omit<Quota, 'unit' | 'plainTokens'>;
  readonly tolerance: QuotaTolerance;
  /** Cost of each request. */
  readonly cost: number;
  /** Demand as a multiple of the rate, at first. */
  readonly load: number;
  /** Share of the demand at each router; equal shares if it is absent. */
  readonly weights?: readonly number[];
  /** Share of the requests that are sent up to some seconds after their grant. */
  readonly delayedShare?: number;
  readonly mutant?: Mutant;
}

/** Agent process and its address. */
export interface SimulatedAgent {
  readonly address: string;
  clock: ProcessClock;
  issuer: QuotaIssuer;
  startedAtMs: number;
  /** Credit that a mutant has granted. */
  extra: number;
}

/** Router process. */
interface SimulatedRouter {
  readonly routerId: string;
  readonly index: number;
  clock: ProcessClock;
  client: QuotaClient;
  counts: RouterCounts;
  startedAtMs: number;
  /** When each agent was last heard, by its address. */
  heardAtMs: Map<string, number>;
  organisation: Organisation;
  version: number;
  /** Refuse the requests that were not sent if the limit was lowered. */
  readonly refusals: Set<() => void>;
}

/** Routers and agents with the real client and issuer of quotas, over simulated time and links. */
export class QuotaFleetSimulation {
  readonly clock = new ManualClock();
  readonly oracle: QuotaOracle;
  readonly routers: SimulatedRouter[] = [];
  readonly agents: SimulatedAgent[] = [];
  /** Addresses of the listed engines. */
  listed: string[];
  refusedCount = 0;
  /** Demand as a multiple of the rate. */
  load: number;
  private readonly random: Random;
  /** Links that carry nothing from the first to the second process. */
  private readonly cuts = new Set<string>();
  /** Messages that a cut link holds back. */
  private readonly held = new Map<string, (() => void)[]>();
  private readonly deliversAtMs = new Map<string, number>();
  private changeCount = 0;
  private version = 1;
  private organisation: Organisation;
  private readonly log = new Log('simulated', () => undefined);
  private startCount = 0;

  /** @param scenario - What is simulated. */
  constructor(readonly scenario: QuotaScenario) {
    this.random = new Random(scenario.seed);
    this.load = scenario.load;
    this.oracle = new QuotaOracle(scenario.tolerance);
    this.organisation = this.makeOrganisation(scenario.quota);
    this.oracle.publish(scenario.quota, 0, 0);
    for (let index = 0; index < scenario.agentCount; index++) {
      this.agents.push(this.startAgent(`10.0.1.${index}:80`));
    }
    this.listed = this.agents.map(({ address }) => address);
    for (let index = 0; index < scenario.routerCount; index++) {
      this.routers.push(this.startRouter(index));
    }
    this.scheduleReports();
  }

  /** Lets time pass with requests of callers. */
  async run(durationMs: number): Promise<void> {
    const { scenario, routers } = this;
    const totalWeight = scenario.weights?.reduce((sum, weight) => sum + weight, 0) ?? routers.length;
    const endsAtMs = this.clock.nowMs() + durationMs;
    while (this.clock.nowMs() < endsAtMs) {
      this.clock.advance(STEP_MS);
      const perStep = (this.load * scenario.quota.ratePerSecond * STEP_MS) / 1_000 / scenario.cost;
      for (const router of routers) {
        const expected = (perStep * (scenario.weights?.[router.index] ?? 1)) / totalWeight;
        let count = Math.floor(expected);
        count += this.random.nextFraction() < expected - count ? 1 : 0;
        for (; count > 0; count--) {
          router.clock.run(() => void this.request(router));
        }
      }
      await flushPromises();
    }
  }

  killRouter(index: number): void {
    const router = this.getRouter(index);
    router.clock.thaw();
    router.clock.end();
  }

  restartRouter(index: number): void {
    this.killRouter(index);
    this.routers[index] = this.startRouter(index);
  }

  killAgent(index: number): void {
    const agent = this.getAgent(index);
    agent.clock.thaw();
    agent.clock.end();
  }

  restartAgent(index: number): void {
    this.killAgent(index);
    this.agents[index] = this.startAgent(this.getAgent(index).address);
  }

  freeze(process: { readonly clock: ProcessClock }): void {
    process.clock.freeze();
  }

  thaw(process: { readonly clock: ProcessClock }): void {
    process.clock.thaw();
  }

  /** Cuts or restores the links from some routers to some agents, in one or both directions. */
  setCut(
    isCut: boolean,
    routers: readonly number[],
    agents: readonly number[],
    direction: 'to' | 'from' | 'both',
  ): void {
    for (const router of routers) {
      for (const agent of agents) {
        const { routerId } = this.getRouter(router);
        const { address } = this.getAgent(agent);
        const links = [
          ...(direction === 'from' ? [] : [`${routerId}>${address}`]),
          ...(direction === 'to' ? [] : [`${address}>${routerId}`]),
        ];
        for (const link of links) {
          if (isCut) {
            this.cuts.add(link);
          } else {
            this.restoreLink(link);
          }
        }
      }
    }
  }

  healAll(): void {
    for (const link of [...this.cuts]) {
      this.restoreLink(link);
    }
    for (const { clock } of [...this.routers, ...this.agents]) {
      clock.thaw();
    }
  }

  /** Publishes a quota that the routers learn one after the other. */
  changeQuota(quota: Omit<Quota, 'unit' | 'plainTokens'>, maxDelayMs: number): void {
    this.version++;
    const { version } = this;
    const organisation = this.makeOrganisation(quota);
    this.organisation = organisation;
    this.oracle.publish(quota, this.clock.nowMs(), this.clock.nowMs() + maxDelayMs);
    for (const router of this.routers) {
      this.clock.schedule(this.random.nextInt(maxDelayMs), () => {
        if (router.version < version) {
          router.organisation = organisation;
          router.version = version;
          for (const refuse of [...router.refusals]) {
            refuse();
          }
        }
      });
    }
  }

  /** Changes the list of engines. */
  list(addresses: readonly string[]): void {
    this.listed = [...addresses];
    this.changeCount++;
  }

  /** Address of the agent that has the share of a router; undefined if none has. */
  findIssuer(): number {
    return this.agents.findIndex(({ issuer }) => issuer.shareCount > this.scenario.routerCount / 2);
  }

  private getRouter(index: number): SimulatedRouter {
    const router = this.routers[index];
    if (!router) {
      throw new Error(`no router ${index}`);
    }
    return router;
  }

  private getAgent(index: number): SimulatedAgent {
    const agent = this.agents[index];
    if (!agent) {
      throw new Error(`no agent ${index}`);
    }
    return agent;
  }

  private makeOrganisation({ ratePerSecond, burst }: Omit<Quota, 'unit' | 'plainTokens'>): Organisation {
    const quota: Quota = { unit: 'tokens', ratePerSecond, burst, plainTokens: 1 };
    return { organisationId: toOrganisationId('acme'), keyDigests: [], quota };
  }

  private startAgent(address: string): SimulatedAgent {
    const clock = new ProcessClock(this.clock);
    const issuer = new QuotaIssuer({
      clock,
      issuerId: `${address} ${++this.startCount}`,
      getRouterCount: () => this.scenario.mutant?.routerCount ?? this.countConnected(address),
      getTolerance: () => this.scenario.tolerance,
      metrics: new Metrics(),
    });
    return { address, clock, issuer, startedAtMs: this.clock.nowMs(), extra: 0 };
  }

  private startRouter(index: number): SimulatedRouter {
    const routerId = `router-${index}`;
    const clock = new ProcessClock(this.clock);
    const counts = new RouterCounts();
    const fleet = {
      routerId,
      getRouterCount: (sinceMs: number) => this.scenario.mutant?.routerCount ?? counts.getLargest(sinceMs),
    };
    const router = {
      routerId,
      index,
      clock,
      counts,
      startedAtMs: this.clock.nowMs(),
      heardAtMs: new Map<string, number>(),
      organisation: this.organisation,
      version: this.version,
      refusals: new Set<() => void>(),
    };
    const getChangeCount = () => this.changeCount;
    const client = new QuotaClient({
      clock,
      routerId,
      links: this.makeLinks(router),
      fleet: {
        get changeCount() {
          return getChangeCount();
        },
        get version() {
          return router.version;
        },
        get organisations() {
          return new OrganisationDirectory([router.organisation]);
        },
        hasAgents: true,
        getIssuers: () => this.listed,
        getRouterCount: fleet.getRouterCount,
      },
      getTolerance: () => this.scenario.tolerance,
      log: this.log,
      metrics: new Metrics(),
    });
    void client.start();
    return Object.assign(router, { client });
  }

  private makeLinks(router: Omit<SimulatedRouter, 'client'>): IssuerLinks {
    return {
      call: <T>(address: string, method: string, params: object, timeoutMs: number) =>
        new Promise<{ kind: 'answered'; value: T } | { kind: 'silent' }>((resolve) => {
          router.clock.schedule(timeoutMs, () => resolve({ kind: 'silent' }));
          this.send(router, address, method, params as Params, (value) => {
            resolve({ kind: 'answered', value: value as T });
          });
        }),
      notify: (address, method, params) =>
        this.send(router, address, method, params as Params, () => undefined),
      isInTouch: (address) =>
        this.clock.nowMs() - (router.heardAtMs.get(address) ?? -Infinity) < MAX_SILENCE_MS,
    };
  }

  private send(
    router: Omit<SimulatedRouter, 'client'>,
    address: string,
    method: string,
    params: Params,
    onAnswer: (value: unknown) => void,
  ): void {
    const { mutant } = this.scenario;
    if (mutant?.isReleaseAssumed === true && method === QUOTA_METHODS.release) {
      onAnswer({ isReleased: true });
      return;
    }
    const target = this.agents.find((agent) => agent.address === address);
    const targetClock = target?.clock;
    // Sent as text, as the parameters must not change on the way.
    const sent = JSON.parse(JSON.stringify(params)) as Params;
    this.deliver(`${router.routerId}>${address}`, () => {
      targetClock?.run(() => {
        const { issuer } = target ?? {};
        const changed = mutant?.changeParams?.(method, sent, this.clock.nowMs()) ?? sent;
        const handler = issuer?.getMethods()[method] as ((params: Params) => unknown) | undefined;
        const answer = (target && mutant?.answer?.(method, changed, target)) ?? handler?.(changed);
        this.deliver(`${address}>${router.routerId}`, () => router.clock.run(() => onAnswer(answer)));
      });
    });
  }

  /** Delivers a message in the order of its link; a cut link holds it back until it is restored. */
  private deliver(link: string, receive: () => void): void {
    const nowMs = this.clock.nowMs();
    const delayMs = this.random.nextInt(100) === 0 ? this.random.nextInt(60) : this.random.nextInt(4);
    const atMs = Math.max(this.deliversAtMs.get(link) ?? 0, nowMs + delayMs);
    this.deliversAtMs.set(link, atMs);
    this.clock.schedule(atMs - nowMs, () => {
      if (this.cuts.has(link)) {
        this.held.set(link, [...(this.held.get(link) ?? []), receive]);
      } else {
        receive();
      }
    });
  }

  private restoreLink(link: string): void {
    this.cuts.delete(link);
    const messages = this.held.get(link) ?? [];
    this.held.delete(link);
    for (const receive of messages) {
      receive();
    }
  }

  private isConnected(router: Pick<SimulatedRouter, 'routerId'>, address: string): boolean {
    return !this.cuts.has(`${router.routerId}>${address}`) && !this.cuts.has(`${address}>${router.routerId}`);
  }

  private countConnected(address: string): number {
    return this.routers.filter((router) => {
      const isUp = !router.clock.isEnded && this.clock.nowMs() - router.startedAtMs >= CONNECT_MS;
      return isUp && this.isConnected(router, address);
    }).length;
  }

  private scheduleReports(): void {
    this.clock.schedule(REPORT_INTERVAL_MS / 5, () => {
      this.scheduleReports();
      const nowMs = this.clock.nowMs();
      for (const { address, clock } of this.agents) {
        if (clock.isEnded || clock.isStandingStill) {
          continue;
        }
        const count = this.countConnected(address);
        for (const router of this.routers) {
          const isUp = nowMs - router.startedAtMs >= CONNECT_MS;
          if (isUp && !router.clock.isStandingStill && this.isConnected(router, address)) {
            router.heardAtMs.set(address, nowMs);
            router.counts.record(address, count, nowMs);
          }
        }
      }
    });
  }

  /** Handles a request of a caller: takes the credit, sends it now or later, or gives it up. */
  private async request(router: SimulatedRouter): Promise<void> {
    const { scenario, oracle, clock } = this;
    const { organisation } = router;
    const decision = await router.client.take(organisation, scenario.cost, 'r');
    if (!decision.isGranted) {
      this.refusedCount++;
      return;
    }
    const credit = new QuotaCredit(router.client, organisation, scenario.cost);
    const draw = this.random.nextFraction();
    if (draw < 0.02) {
      credit.end();
      return;
    }
    const send = () => {
      credit.recordSent(true);
      const recall = oracle.record(scenario.cost, clock.nowMs());
      if (this.random.nextInt(20) === 0) {
        router.clock.schedule(20, () => {
          recall();
          credit.recordSent(false);
          credit.end();
        });
      }
    };
    if (draw > 1 - (scenario.delayedShare ?? 0)) {
      // Requests that wait for a server are sent together once it is there.
      const waitMs = SERVER_INTERVAL_MS - (clock.nowMs() % SERVER_INTERVAL_MS);
      const timer = router.clock.schedule(waitMs, () => {
        router.refusals.delete(refuse);
        send();
      });
      const refuse = () => {
        if (router.client.isUnsentExcessive(organisation)) {
          timer.cancel();
          router.refusals.delete(refuse);
          credit.end();
        }
      };
      router.refusals.add(refuse);
    } else {
      router.clock.run(send);
    }
  }
}
