import { expect } from 'chai';
import { ProcessorDebt } from '../../src/ingress/ProcessorDebt.js';
import { TurnQueue } from '../../src/ingress/TurnQueue.js';

describe('TurnQueue', () => {
  it('gives light connections their turn before costly ones, and each only one place', () => {
    const queue = new TurnQueue<string>();
    queue.add('costly', true);
    queue.add('a', false);
    queue.add('b', false);
    queue.add('a', true);
    expect([queue.take(), queue.take(), queue.take(), queue.take()]).to.deep.equal([
      'a',
      'b',
      'costly',
      undefined,
    ]);
    expect(queue.isEmpty).to.equal(true);
  });

  it('forgets a connection that was closed', () => {
    const queue = new TurnQueue<string>();
    queue.add('a', true);
    queue.delete('a');
    expect(queue.take()).to.equal(undefined);
  });
});

describe('ProcessorDebt', () => {
  it('grows with the time used and decays at a tenth of a processor', () => {
    const debt = new ProcessorDebt();
    debt.add(12, 1_000);
    expect([debt.isCostly(1_000), debt.isCostly(1_030)]).to.deep.equal([true, false]);
    debt.add(1, 1_100);
    expect(debt.getMs(1_100)).to.be.closeTo(3, 0.001);
  });
});
