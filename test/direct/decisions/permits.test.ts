import { expect } from 'chai';
import { toServerId } from '../../../src/domain/index.js';
import {
  PermitBuckets,
  PermitIssuer,
  type PermitDecision,
  type TakePermitParams,
} from '../../../src/direct/index.js';
import { Random } from '../../../src/kernel/index.js';
import { Metrics } from '../../../src/telemetry/index.js';
import { ManualClock } from '../../fakes/ManualClock.js';

const SERVER_ID = toServerId('s');
const OWN_AGENT = '10.0.0.1:80';
const OTHER_AGENT = '10.0.0.2:80';
const ROUTER_COUNT = 5;
const DURATION_MS = 40_000;
const STEP_MS = 10;
/** When the fault begins, in milliseconds. */
const FAULT_AT_MS = 15_000;
/** Requests per second at each router by its index: callers are spread unevenly. */
const REQUESTS_PER_SECOND = [12, 6, 2, 1, 0.5];
const COUNT_WINDOW_MS = 4_000;
const MAX_REQUESTS_PER_SECOND = 3;
const MAX_ARRIVALS = 1.5 * MAX_REQUESTS_PER_SECOND * (COUNT_WINDOW_MS / 1_000) + 5;

/** Numbers of routers that lose the agent beside the server, by fault. */
const LOST_COUNTS = {
  none: 0,
  'agent lost': ROUTER_COUNT,
  'link of one router lost': 1,
  'links of two routers lost': 2,
} as const;
type Fault = keyof typeof LOST_COUNTS;

/** Way to keep the sum of the routers' requests within a limit; decides on one request. */
type Way = (router: number, isOwnAgentInTouch: boolean, nowMs: number) => PermitDecision;

/** An agent that issues permits, with calls of its method by router. */
class Issuer {
  private readonly connections = Array.from({ length: ROUTER_COUNT }, () => ({ isOpen: true }));
  private readonly take: (params: TakePermitParams, from: unknown) => PermitDecision;
  routerCount = ROUTER_COUNT;

  constructor(clock: ManualClock, engineAddress: string) {
    const getRouterCount = () => this.routerCount;
    const issuer = new PermitIssuer({ clock, engineAddress, getRouterCount, metrics: new Metrics() });
    this.take = issuer.getMethods()['permits.take'] as unknown as typeof this.take;
  }

  ask(router: number): PermitDecision {
    const maxRequestsPerSecond = MAX_REQUESTS_PER_SECOND;
    const params = { serverId: SERVER_ID, address: OWN_AGENT, maxRequestsPerSecond, maxWaitMs: 0 };
    return this.take({ ...params, routerCount: ROUTER_COUNT }, this.connections[router]);
  }
}

/** Returns the largest number of requests in a window, and the share of the limit that is used during the fault. */
function simulate(way: Way, clock: ManualClock, fault: Fault): { most: number; usedShare: number } {
  const random = new Random(1);
  const sentAtMs: number[] = [];
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS, clock.advance(STEP_MS)) {
    for (const [router, perSecond] of REQUESTS_PER_SECOND.entries()) {
      const isInTouch = nowMs < FAULT_AT_MS || router >= LOST_COUNTS[fault];
      if (random.nextFraction() < (perSecond * STEP_MS) / 1_000 && way(router, isInTouch, nowMs).isGranted) {
        sentAtMs.push(nowMs);
      }
    }
  }
  const countFrom = (fromMs: number) =>
    sentAtMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + COUNT_WINDOW_MS).length;
  const inFault = sentAtMs.filter((atMs) => atMs >= FAULT_AT_MS).length;
  const accepted = (MAX_REQUESTS_PER_SECOND * (DURATION_MS - FAULT_AT_MS)) / 1_000;
  return { most: Math.max(...sentAtMs.map(countFrom)), usedShare: inFault / accepted };
}

/** Permits of the agent beside the server, or else of another one. */
function makeIssuerWay(clock: ManualClock, fault: Fault): Way {
  const own = new Issuer(clock, OWN_AGENT);
  const other = new Issuer(clock, OTHER_AGENT);
  return (router, isInTouch, nowMs) => {
    own.routerCount = nowMs < FAULT_AT_MS ? ROUTER_COUNT : ROUTER_COUNT - LOST_COUNTS[fault];
    return (isInTouch ? own : other).ask(router);
  };
}

/** An equal share of the limit for each router. */
function makeShareWay(): Way {
  const buckets = Array.from({ length: ROUTER_COUNT }, () => new PermitBuckets());
  const share = MAX_REQUESTS_PER_SECOND / ROUTER_COUNT;
  return (router, _isInTouch, nowMs) =>
    buckets[router]?.take(SERVER_ID, share, 0, nowMs) ?? { isGranted: false, retryInMs: 0 };
}

/** The whole limit at each agent that is asked, whoever asks. */
function makeWholeLimitWay(): Way {
  const own = new PermitBuckets();
  const other = new PermitBuckets();
  return (_router, isInTouch, nowMs) =>
    (isInTouch ? own : other).take(SERVER_ID, MAX_REQUESTS_PER_SECOND, 0, nowMs);
}

const FAULTS = Object.keys(LOST_COUNTS) as Fault[];

describe('permits for requests to a server that limits them', () => {
  for (const fault of FAULTS) {
    it(`keep its limit with fault: ${fault}`, () => {
      const clock = new ManualClock();
      const { most, usedShare } = simulate(makeIssuerWay(clock, fault), clock, fault);
      expect(most).to.be.at.most(MAX_ARRIVALS);
      expect(usedShare).to.be.at.least(0.5);
    });

    it(`use no less of it than equal shares with fault: ${fault}`, () => {
      const clock = new ManualClock();
      const shares = simulate(makeShareWay(), new ManualClock(), fault);
      const { usedShare, most } = simulate(makeIssuerWay(clock, fault), clock, fault);
      expect(usedShare, `shares: ${JSON.stringify(shares)}, permits: ${most}`).to.be.at.least(
        shares.usedShare - 0.1,
      );
    });
  }

  it('exceed it if each agent grants the whole limit', () => {
    const results = FAULTS.map((fault) => simulate(makeWholeLimitWay(), new ManualClock(), fault).most);
    expect(Math.max(...results)).to.be.greaterThan(MAX_ARRIVALS);
  });
});
