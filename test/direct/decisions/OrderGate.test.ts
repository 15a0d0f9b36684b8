import { expect } from 'chai';
import { OrderGate } from '../../../src/direct/index.js';
import { IDLE_ENGINE } from '../fleetFixtures.js';

const STATE = { bornAtMs: 1, expectedOrderCount: 0 };

describe('OrderGate', () => {
  let gate: OrderGate;

  function read(nowMs: number, orderCount = 0, bornAtMs = 1): void {
    gate.endReading(gate.beginReading(nowMs), { ...IDLE_ENGINE, bornAtMs, orderCount });
  }

  beforeEach(() => {
    gate = new OrderGate();
    read(0);
  });

  describe('isOpen', () => {
    it('is false before the first report, without a response and on an old report', () => {
      expect(new OrderGate().isOpen(0)).to.equal(false);
      expect(gate.isOpen(1_000)).to.equal(true);
      expect(gate.isOpen(1_001)).to.equal(false);
      gate.endReading(gate.beginReading(1_100), undefined);
      expect(gate.isOpen(1_100)).to.equal(false);
    });

    it('is false while an order is under way, and after it until a reading that began later', () => {
      gate.beginOrder();
      const during = gate.beginReading(10);
      expect(gate.isOpen(10)).to.equal(false);
      gate.endOrder(STATE, 'other', 20);
      gate.endReading(during, IDLE_ENGINE);
      expect(gate.isOpen(20)).to.equal(false);
      read(30);
      expect(gate.isOpen(30)).to.equal(true);
    });

    it('is false until a report counts an accepted order, another process started or a time has passed', () => {
      gate.beginOrder();
      gate.endOrder(STATE, 'accepted', 10);
      read(20);
      expect(gate.isOpen(20)).to.equal(false);
      read(30, 1);
      expect(gate.isOpen(30)).to.equal(true);
      read(40, 0, 2);
      expect(gate.isOpen(40)).to.equal(true);
      read(2_010);
      expect(gate.isOpen(2_010)).to.equal(true);
    });
  });

  describe('endOrder', () => {
    // Each report of the lag was answered with an order that the engine rejected again.
    it('keeps the gate closed for reports with the rejected order count, for a short time', () => {
      gate.beginOrder();
      gate.endOrder(STATE, 'conflict', 10);
      read(20);
      expect(gate.isOpen(20)).to.equal(false);
      read(30, 1);
      expect(gate.isOpen(30)).to.equal(true);
      read(110);
      expect(gate.isOpen(110)).to.equal(true);
    });
  });

  describe('endReading', () => {
    it('rejects a report that a later one has overtaken', () => {
      const early = gate.beginReading(10);
      const late = gate.beginReading(20);
      expect(gate.endReading(late, IDLE_ENGINE)).to.equal(true);
      expect(gate.endReading(early, undefined)).to.equal(false);
      expect(gate.isOpen(20)).to.equal(true);
    });
  });
});
