import { rankForKey } from '../../../src/kernel/index.js';
import { expect } from 'chai';
import { OriginReplicas, type OriginCopy } from '../../../src/direct/index.js';

const REPLICA_COUNT = 3;
/** Longest time for which a stream is taken up in practice, in milliseconds. */
const STREAM_MS = 25_000;

/** Agents of a fleet and the origins that were sent to them. */
class AgentFleet {
  readonly replicas = new OriginReplicas();
  private readonly connections = new Map<string, object>();
  private readonly storedBy = new Map<string, Set<string>>();
  private sentCount = 0;

  constructor(agentCount: number) {
    for (let index = 0; index < agentCount; index++) {
      this.connect(`agent-${index}`);
    }
  }

  get addresses(): string[] {
    return [...this.connections.keys()];
  }

  /** Connects an agent that knows nothing. */
  connect(address: string): void {
    this.connections.set(address, {});
    this.storedBy.set(address, new Set());
  }

  disconnect(address: string): void {
    this.connections.delete(address);
  }

  record(requestId: string, nowMs = 0): void {
    this.store(this.replicas.record({ requestId, softwareVersion: 'v1' }, nowMs));
  }

  update(nowMs = 0): void {
    this.store(this.replicas.updateAgents(new Map(this.connections), nowMs));
  }

  /** Returns the connected agents that store an origin. */
  getHolders(requestId: string): string[] {
    return this.addresses.filter((address) => this.storedBy.get(address)?.has(requestId));
  }

  /** Returns the number of messages since the last call. */
  takeSentCount(): number {
    const count = this.sentCount;
    this.sentCount = 0;
    return count;
  }

  private store(copies: readonly OriginCopy[]): void {
    for (const { address, origin } of copies) {
      this.storedBy.get(address)?.add(origin.requestId);
      this.sentCount++;
    }
  }
}

describe('OriginReplicas', () => {
  let fleet: AgentFleet;
  beforeEach(() => {
    fleet = new AgentFleet(130);
    fleet.update();
  });

  function expectFirstAgentsStore(requestId: string): void {
    const first = rankForKey(requestId, fleet.addresses).slice(0, REPLICA_COUNT);
    expect(fleet.getHolders(requestId)).to.include.members(first);
  }

  it('stores an origin at the first agents of an order that all routers share', () => {
    fleet.record('r');
    expect(fleet.getHolders('r')).to.have.length(REPLICA_COUNT);
    expectFirstAgentsStore('r');
  });

  // Issue 30, service: streams were refused since the agents that stored their version had left.
  it('stores it at the first agents also after all of the fleet was replaced one by one', () => {
    fleet.record('r');
    for (const address of fleet.addresses) {
      fleet.connect(`new ${address}`);
      fleet.update(STREAM_MS);
      fleet.disconnect(address);
      fleet.update(STREAM_MS);
      expectFirstAgentsStore('r');
    }
  });

  it('stores it again at an agent that has restarted', () => {
    fleet.record('r');
    const [address = ''] = fleet.getHolders('r');
    fleet.connect(address);
    fleet.update();
    expectFirstAgentsStore('r');
    expect(fleet.takeSentCount()).to.equal(REPLICA_COUNT + 1);
  });

  // Issue 30, service: a router that was still connecting stored the version where no other router asked.
  it('stores it at the first agents when they are connected later', () => {
    fleet = new AgentFleet(0);
    fleet.record('r');
    for (let index = 0; index < 130; index++) {
      fleet.connect(`agent-${index}`);
      fleet.update();
    }
    expectFirstAgentsStore('r');
  });

  // A router whose agents all came back placed every origin in one step and served nothing for seconds.
  it('places many origins again in bounded steps, the last ones also at agents that come meanwhile', () => {
    const agentCount = 1_000;
    const originCount = 200;
    fleet = new AgentFleet(agentCount);
    fleet.update();
    for (let count = 0; count < originCount; count++) {
      fleet.record(`r${count}`);
    }
    fleet.takeSentCount();
    for (const address of fleet.addresses) {
      fleet.connect(address);
    }
    const maxOriginsPerStep = 50;
    for (let placedCount = 0; placedCount < originCount; placedCount += maxOriginsPerStep) {
      fleet.connect(`late ${placedCount}`);
      fleet.update();
      const sentCount = fleet.takeSentCount();
      expect(sentCount).to.be.greaterThan(0);
      expect(sentCount).to.be.at.most(maxOriginsPerStep * REPLICA_COUNT);
    }
    for (let step = 0; step < originCount; step++) {
      fleet.update();
    }
    for (let count = 0; count < originCount; count++) {
      expectFirstAgentsStore(`r${count}`);
    }
  });

  it('sends one copy for each origin that a lost agent stored, and none for streams that ended long ago', () => {
    for (let count = 0; count < 100; count++) {
      fleet.record(`r${count}`);
    }
    expect(fleet.takeSentCount()).to.equal(100 * REPLICA_COUNT);
    const [address = ''] = fleet.getHolders('r0');
    const lostCount = [...Array(100).keys()].filter((count) =>
      fleet.getHolders(`r${count}`).includes(address),
    ).length;
    fleet.disconnect(address);
    fleet.update(STREAM_MS);
    expect(fleet.takeSentCount()).to.equal(lostCount);
    for (const other of fleet.addresses) {
      fleet.disconnect(other);
    }
    fleet.connect('other');
    fleet.update(2 * STREAM_MS);
    expect(fleet.takeSentCount()).to.equal(0);
  });
});
