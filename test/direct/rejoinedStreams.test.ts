import { expect } from 'chai';
import { delay } from '../../src/kernel/index.js';
import { EngineFleet } from './EngineFleet.js';
import { CLOCK, type RouterBench } from './RouterBench.js';

const STREAM_COUNT = 24;
/** Time in which a request that cannot be served must be refused, in milliseconds. */
const REFUSAL_LIMIT_MS = 500;
/** Times after the start of a router at which callers take streams up, in milliseconds; at once it is still connecting. */
const RETURNS_AFTER_MS = [0, 500];

/** A stream of which its caller takes the rest up again. */
interface BegunStream {
  readonly requestId: string;
  readonly softwareVersion: string | undefined;
}

/** Answer to a request that takes a stream up. */
interface TakenUp {
  readonly status: number;
  readonly tookMs: number;
  /** Versions of the servers that received the request. */
  readonly versions: readonly (string | undefined)[];
}

describe('a stream that its caller takes up again after all routers were killed', function () {
  this.timeout(30_000);
  let fleet: EngineFleet;
  let requestCount = 0;

  beforeEach(() => {
    fleet = new EngineFleet('none');
  });
  afterEach(() => fleet.close());

  function getVersions(requestId: string): (string | undefined)[] {
    const arrivals = fleet.arrivals.filter((arrival) => arrival.requestId === requestId);
    return arrivals.map(({ softwareVersion }) => softwareVersion);
  }

  async function begin(): Promise<BegunStream[]> {
    const requestIds: string[] = [];
    for (let count = 0; count < STREAM_COUNT; count++) {
      requestIds.push(`r${++requestCount}`);
    }
    const { routers } = fleet;
    await Promise.all(
      requestIds.map((requestId, index) => {
        const headers = { model: 'a', 'request-id': requestId };
        return routers[index % routers.length]?.sendRequest('/drafts/x', headers);
      }),
    );
    return requestIds.map((requestId) => ({
      requestId,
      softwareVersion: getVersions(requestId)[0],
    }));
  }

  async function takeUp(router: RouterBench | undefined, { requestId }: BegunStream): Promise<TakenUp> {
    const returnId = `r${++requestCount}`;
    const sentAtMs = CLOCK.nowMs();
    const headers = {
      model: 'a',
      'request-id': returnId,
      resumes: requestId,
      'last-event-id': '2',
    };
    const response = await router?.sendRequest('/drafts/x', headers);
    const tookMs = CLOCK.nowMs() - sentAtMs;
    return {
      status: response?.status ?? 0,
      tookMs,
      versions: getVersions(returnId),
    };
  }

  async function takeAllUp(
    begun: readonly BegunStream[],
  ): Promise<{ stream: BegunStream; taken: TakenUp }[]> {
    const router = fleet.routers.at(-1);
    return Promise.all(
      begun.map(async (stream) => ({
        stream,
        taken: await takeUp(router, stream),
      })),
    );
  }

  function hasVersion(softwareVersion: string): (stream: BegunStream) => boolean {
    return (stream) => stream.softwareVersion === softwareVersion;
  }

  /** Expects that each stream goes on at its version, or is refused at once by a router that does not know it. */
  async function expectNoOtherVersion(begun: readonly BegunStream[]): Promise<void> {
    for (const { stream, taken } of await takeAllUp(begun)) {
      expect(taken.versions).to.deep.equal(taken.status === 200 ? [stream.softwareVersion] : []);
      expect(taken.status).to.be.oneOf([200, 503]);
      expect(taken.status === 200 || taken.tookMs < REFUSAL_LIMIT_MS).to.equal(true);
    }
  }

  async function expectSameVersion(begun: readonly BegunStream[]): Promise<void> {
    for (const { stream, taken } of await takeAllUp(begun)) {
      expect([taken.status, taken.versions]).to.deep.equal([200, [stream.softwareVersion]]);
    }
  }

  for (const afterMs of RETURNS_AFTER_MS) {
    // Issue 30, ORDER: a router that had just started took the only version that was left for the one that began the stream.
    it(`is not joined from two versions when the old one has left, ${afterMs} ms after the start`, async () => {
      await fleet.start(6, 2, ['v1', 'v1', 'v1', 'v1', 'v1', 'v1.1']);
      const begun = await begin();
      const oldAddresses = fleet.engineAddresses.slice(0, 5);
      await fleet.stopRouters();
      await Promise.all(oldAddresses.map((address) => fleet.removeEngine(address)));
      await fleet.startRouter();
      await delay(CLOCK, afterMs);
      expect(begun.filter(hasVersion('v1'))).to.not.have.length(0);
      await expectNoOtherVersion(begun);
    });

    // Issue 30, service: routers that restart must not refuse what the agents know.
    it(`goes on at its version while both are in service, ${afterMs} ms after the start`, async () => {
      await fleet.start(6, 2, ['v1', 'v1.1']);
      const begun = await begin();
      await fleet.stopRouters();
      await fleet.startRouter();
      await delay(CLOCK, afterMs);
      await expectSameVersion(begun);
    });

    // Issue 30, ORDER: an agent without memory is no sign that the stream began at another version.
    it(`is not joined from two versions when all agents have restarted, ${afterMs} ms after the start`, async () => {
      await fleet.start(6, 2, ['v1', 'v1.1']);
      const begun = await begin();
      const [oldAddresses, newAddresses] = [0, 1].map((remainder) =>
        fleet.engineAddresses.filter((_address, index) => index % 2 === remainder),
      );
      await fleet.stopRouters();
      await Promise.all((newAddresses ?? []).map((address) => fleet.restartAgent(address)));
      await Promise.all((oldAddresses ?? []).map((address) => fleet.removeEngine(address)));
      await fleet.startRouter();
      await delay(CLOCK, afterMs);
      await expectNoOtherVersion(begun);
    });
  }

  // Issue 30, ORDER: a router with a list of one version for minutes inferred it while the list lagged behind.
  it('is refused at once if nobody knows its version, although only one has been listed for minutes', async () => {
    await fleet.start(2, 1, ['v1']);
    const router = await fleet.addRouter();
    router.view.applyList([...router.view.getEntries()], CLOCK.nowMs() - 600_000);
    const { status, tookMs, versions } = await takeUp(router, {
      requestId: 'other',
      softwareVersion: 'v1.1',
    });
    expect([status, versions]).to.deep.equal([503, []]);
    expect(tookMs).to.be.lessThan(REFUSAL_LIMIT_MS);
  });

  // Issue 30, service: the version was stored at agents that left, although servers of it stayed.
  it('goes on at its version after the agents that stored it have left with their engines', async () => {
    await fleet.start(6, 2, ['v1', 'v1', 'v1', 'v1', 'v1', 'v1.1']);
    const begun = await begin();
    const leavingAddresses = fleet.engineAddresses.slice(0, 4);
    for (const address of leavingAddresses) {
      fleet.drainEngine(address);
    }
    await delay(CLOCK, 500);
    await fleet.stopRouters();
    await Promise.all(leavingAddresses.map((address) => fleet.removeEngine(address)));
    await fleet.startRouter();
    await expectSameVersion(begun);
  });

  // Issue 30, service: an agent that restarts is told again what it stored.
  it('goes on at its version after the agents have restarted one after the other', async () => {
    await fleet.start(6, 2, ['v1', 'v1.1']);
    const begun = await begin();
    for (const address of fleet.engineAddresses) {
      await fleet.restartAgent(address);
      await delay(CLOCK, 900);
    }
    await fleet.stopRouters();
    await fleet.startRouter();
    await expectSameVersion(begun);
  });
});
