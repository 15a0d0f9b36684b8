import { expect } from 'chai';
import { applyReportChanges, type AgentReport, type ReportChanges } from '../../src/direct/index.js';
import { ReportPublisher } from '../../src/direct/ReportPublisher.js';
import type { PeerConnection } from '../../src/transport/index.js';
import { ManualClock } from '../fakes/ManualClock.js';
import { makeEntry, makeHeldModel, makeReport } from './fleetFixtures.js';

/** Router's end of a connection: applies the changes that it receives. */
class FakeRouter {
  readonly receivedChanges: ReportChanges[] = [];
  report: AgentReport | undefined;
  readonly connection = {
    notify: (_method: string, changes: ReportChanges) => {
      this.receivedChanges.push(changes);
      this.report = applyReportChanges(this.report, changes);
    },
  } as unknown as PeerConnection;
}

describe('ReportPublisher', () => {
  const entry = makeEntry('x', { heldModels: [makeHeldModel('a')] });
  let clock: ManualClock;
  let publisher: ReportPublisher;
  let active: FakeRouter;
  let idle: FakeRouter;

  beforeEach(() => {
    clock = new ManualClock();
    publisher = new ReportPublisher(clock);
    active = new FakeRouter();
    idle = new FakeRouter();
    publisher.add(active.connection);
    publisher.add(idle.connection);
    for (let count = 0; count < 8; count++) {
      publisher.add(new FakeRouter().connection);
    }
    publisher.publish(makeReport(entry), true);
    publisher.recordUse(active.connection);
  });

  /** Publishes a report each 20 ms and returns how many each router received. */
  function publishFor(durationMs: number, report: AgentReport): { active: number; idle: number } {
    const before = { active: active.receivedChanges.length, idle: idle.receivedChanges.length };
    for (let passedMs = 0; passedMs < durationMs; passedMs += 20) {
      clock.advance(20);
      publisher.publish(report);
    }
    return {
      active: active.receivedChanges.length - before.active,
      idle: idle.receivedChanges.length - before.idle,
    };
  }

  // A larger number would lower the share of each router for as long as it is remembered.
  it('counts a router once that has dialled again while its former connection is still open', () => {
    const counted = new ReportPublisher(clock);
    for (const peerName of ['router-1', 'router-2', 'router-1']) {
      counted.add({ peerName } as unknown as PeerConnection);
    }
    expect(counted.followerCount).to.equal(2);
  });

  describe('publish', () => {
    it('sends an unchanged state twice a second to routers that use the engine, once a second to others', () => {
      expect(publishFor(2_000, makeReport(entry))).to.deep.equal({ active: 4, idle: 2 });
    });

    it('sends a change of the load at once only to routers that use the engine', () => {
      expect(publishFor(200, makeReport(entry, { runningCount: 9 }))).to.deep.equal({ active: 1, idle: 0 });
      expect(active.report?.runningCount).to.equal(9);
    });

    it('sends a change of the accepting models at once to all routers', () => {
      const report = makeReport(entry, { heldModels: [makeHeldModel('a'), makeHeldModel('b')] });
      expect(publishFor(200, report)).to.deep.equal({ active: 1, idle: 1 });
      expect(idle.report?.heldModels.map(({ name }) => name)).to.deep.equal(['a', 'b']);
    });

    it('joins changes shortly after each other', () => {
      let sentCount = 0;
      for (let count = 1; count <= 10; count++) {
        sentCount += publishFor(20, makeReport(entry, { runningCount: 10 * count })).active;
      }
      expect(sentCount).to.be.at.most(3);
    });

    it('sends changes of the load at once to all routers of a small fleet', () => {
      const small = new ReportPublisher(clock);
      small.add(active.connection);
      small.add(idle.connection);
      publisher = small;
      small.publish(makeReport(entry), true);
      expect(publishFor(200, makeReport(entry, { runningCount: 9 }))).to.deep.equal({ active: 1, idle: 1 });
    });

    it('counts a router as idle some seconds after its last use', () => {
      clock.advance(4_000);
      publisher.publish(makeReport(entry));
      expect(publishFor(2_000, makeReport(entry))).to.deep.equal({ active: 2, idle: 2 });
    });

    it('gives routers with the same last report the same changes, to be encoded once', () => {
      publishFor(1_000, makeReport(entry, { heldModels: [] }));
      const shared = active.receivedChanges.filter((changes) => idle.receivedChanges.includes(changes));
      expect(shared.length).to.be.greaterThan(0);
    });

    it('sends the whole state after a reset', () => {
      publisher.reset();
      publisher.publish(makeReport(entry), true);
      expect(idle.receivedChanges.at(-1)).to.include.keys('heldModels', 'bornAtMs', 'modelsOnDisk');
    });
  });
});
