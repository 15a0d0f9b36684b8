import { expect } from 'chai';
import {
  AgentConnections,
  FleetView,
  StreamOriginClient,
  type AgentCallResult,
} from '../../src/direct/index.js';
import { delay } from '../../src/kernel/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import { PeerDialer, TrafficMeter, type PeerConnection } from '../../src/transport/index.js';
import { ManualClock } from '../fakes/ManualClock.js';
import { flushPromises } from '../waiting.js';
import { makeConfiguration, makeEntry } from './fleetFixtures.js';

/** Longest time for which a router looks for a version, in milliseconds. */
const FIND_LIMIT_MS = 400;
const STEP_MS = 10;

/** Agents that answer late, since the router is still being connected to them. */
class LateAgents extends AgentConnections {
  askedCount = 0;

  constructor(
    private readonly clock: ManualClock,
    view: FleetView,
    private readonly answersAfterMs: number,
    private readonly softwareVersion: string | null,
  ) {
    const log = new Log('test', () => undefined);
    const dialer = new PeerDialer('test', 'secret', clock, new TrafficMeter());
    super({ clock, dialer, view, peerPort: 1, log });
  }

  override async call<T>(): Promise<AgentCallResult<T>> {
    this.askedCount++;
    await delay(this.clock, this.answersAfterMs);
    return { kind: 'answered', value: { softwareVersion: this.softwareVersion } as T };
  }
}

/** Agents whose engines are all connected, and what they were sent. */
class ConnectedAgents extends AgentConnections {
  readCount = 0;
  readonly sentAddresses: string[] = [];
  private readonly connectionsByAddress = new Map<string, PeerConnection>();

  constructor(clock: ManualClock, view: FleetView) {
    const log = new Log('test', () => undefined);
    const dialer = new PeerDialer('test', 'secret', clock, new TrafficMeter());
    super({ clock, dialer, view, peerPort: 1, log });
  }

  override getConnection(address: string): PeerConnection {
    this.readCount++;
    const connection = this.connectionsByAddress.get(address) ?? ({} as PeerConnection);
    this.connectionsByAddress.set(address, connection);
    return connection;
  }

  override notify(address: string): void {
    this.sentAddresses.push(address);
  }
}

describe('StreamOriginClient', () => {
  // Issue 30, service: at the target size each new stream read and sorted all agents, 14 ms of processor time.
  it('reads the agents again after a change only, and then sends what a leaving one stored to another', async () => {
    const clock = new ManualClock();
    const view = new FleetView();
    view.applyConfiguration(makeConfiguration(1));
    const entries = [...Array(10).keys()].map((index) =>
      makeEntry(`x${index}`, { address: `10.0.0.${index}:1` }),
    );
    view.applyList(entries, 0);
    const agentConnections = new ConnectedAgents(clock, view);
    const log = new Log('test', () => undefined);
    const client = new StreamOriginClient({ clock, view, agentConnections, log, metrics: new Metrics() });
    await client.start();
    clock.advance(200);
    expect(agentConnections.readCount).to.equal(10);
    client.record({ requestId: 'r', softwareVersion: 'v1' });
    for (let count = 0; count < 20; count++) {
      client.record({ requestId: `other ${count}`, softwareVersion: 'v1' });
      clock.advance(200);
    }
    expect(agentConnections.readCount).to.equal(10);
    const [first] = agentConnections.sentAddresses.splice(0);
    const leaving = entries.find(({ address }) => address === first);
    expect(leaving && view.recordLeaving(leaving)).to.equal(true);
    clock.advance(200);
    expect(agentConnections.readCount).to.be.greaterThan(10);
    expect(agentConnections.sentAddresses).to.have.length.greaterThan(0);
    expect(agentConnections.sentAddresses).not.to.include(first);
    await client.stop();
  });

  /** Looks for a version; returns it, when that ended and how many agents were asked. */
  async function find(agentCount: number, answersAfterMs: number, softwareVersion: string | null) {
    const clock = new ManualClock();
    const view = new FleetView();
    view.applyConfiguration(makeConfiguration(1));
    const entries = [...Array(agentCount).keys()].map((index) =>
      makeEntry(`x${index}`, { address: `10.0.0.${index}:1` }),
    );
    view.applyList(entries, 0);
    const agentConnections = new LateAgents(clock, view, answersAfterMs, softwareVersion);
    const log = new Log('test', () => undefined);
    const client = new StreamOriginClient({ clock, view, agentConnections, log, metrics: new Metrics() });
    let result: { readonly version: string | undefined; readonly tookMs: number } | undefined;
    void client.find('r').then((version) => (result = { version, tookMs: clock.nowMs() }));
    await flushPromises();
    while (result === undefined && clock.nowMs() < 2 * FIND_LIMIT_MS) {
      clock.advance(STEP_MS);
      await flushPromises();
    }
    return { ...result, askedCount: agentConnections.askedCount };
  }

  for (const agentCount of [1, 2, 6, 130]) {
    // Issue 30, service: a router with few agents refused a stream before these were connected.
    it(`waits for an answer that takes a while, of ${agentCount} agents`, async () => {
      expect((await find(agentCount, 250, 'v1')).version).to.equal('v1');
    });

    it(`ends at once when none of ${agentCount} agents knows the stream, after a bounded number of questions`, async () => {
      const { version, tookMs, askedCount } = await find(agentCount, STEP_MS, null);
      expect([version, askedCount]).to.deep.equal([undefined, Math.min(agentCount, 12)]);
      expect(tookMs).to.be.at.most(4 * STEP_MS);
    });

    it(`ends in time when ${agentCount} agents are silent`, async () => {
      const { version, tookMs } = await find(agentCount, 60_000, 'v1');
      expect([version, tookMs]).to.deep.equal([undefined, FIND_LIMIT_MS]);
    });
  }
});
