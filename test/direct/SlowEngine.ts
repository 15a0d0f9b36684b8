import {
  EnginePort,
  type EngineReport,
  type HeldModel,
  type OrderResult,
  type ResidencyOrder,
} from '../../src/direct/index.js';
import { SystemClock } from '../../src/kernel/index.js';
import { IDLE_ENGINE, makeHeldModel } from './fleetFixtures.js';

const CLOCK = new SystemClock();

/** Engine that takes 100 ms to load or unload a model and does not respond to some orders. */
export class SlowEngine extends EnginePort {
  heldModels: HeldModel[] = [makeHeldModel('b'), makeHeldModel('c')];
  readonly orders: ResidencyOrder[] = [];
  isDown = false;
  /** Whether reading a report fails with an exception. */
  isFaulty = false;
  /** Number of next orders that get no response and are not carried out. */
  unansweredCount = 0;
  private orderCount = 0;
  private busyUntilMs = 0;

  override readReport(): Promise<EngineReport | undefined> {
    if (this.isFaulty) {
      return Promise.reject(new Error('the report cannot be read'));
    }
    if (this.isDown) {
      return Promise.resolve(undefined);
    }
    return Promise.resolve({
      ...IDLE_ENGINE,
      heldModels: this.heldModels,
      isBusy: CLOCK.nowMs() < this.busyUntilMs,
      orderCount: this.orderCount,
      cacheTokens: 1,
      modelsOnDisk: ['a'],
    });
  }

  override sendOrder(order: ResidencyOrder): Promise<OrderResult> {
    this.orders.push(order);
    if (this.unansweredCount > 0) {
      this.unansweredCount--;
      return Promise.resolve('unknown');
    }
    if (order.expectedOrderCount !== this.orderCount || CLOCK.nowMs() < this.busyUntilMs) {
      return Promise.resolve('conflict');
    }
    this.orderCount++;
    const others = this.heldModels.filter(({ name }) => name !== order.model);
    const model = this.heldModels.find(({ name }) => name === order.model);
    if (order.adapter === undefined) {
      this.busyUntilMs = CLOCK.nowMs() + 100;
      this.heldModels = order.kind === 'load' ? [...others, makeHeldModel(order.model)] : others;
    } else if (model) {
      this.heldModels = [...others, makeHeldModel(order.model, [...model.adapters, order.adapter])];
    }
    return Promise.resolve('accepted');
  }
}
