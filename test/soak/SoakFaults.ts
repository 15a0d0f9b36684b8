import { once } from 'node:events';
import type { Random } from '../../src/kernel/index.js';
import type { StoreMode } from '../../standins/users/index.js';
import { sleepMs } from '../waiting.js';
import type { Plant } from './soak.js';
import { GRACE_MS, type SoakFleet, type SoakProcess } from './SoakFleet.js';
import type { SoakLedger } from './SoakLedger.js';

/** Longest time from one fault to the next, in milliseconds; faults last longer than that, so they overlap. */
const FAULT_GAP_MS = 900;
/** Longest time for which a fault lasts, in milliseconds. */
const FAULT_MS = 2_500;
/** Time that a busy machine may take to end a process beyond its grace time, in milliseconds. */
const GRACE_SLACK_MS = 1_500;
/** Time around a fault in which a request at a router may be its victim, in milliseconds. */
const VICTIM_MS = 4_000;

/** Does random faults from outside, one after the other and overlapping, and notes what they excuse. */
export class SoakFaults {
  readonly done: string[] = [];
  private readonly running = new Set<Promise<void>>();
  /** Processes to which something is being done; one thing at a time, so that a planned stop is nothing else. */
  private readonly busy = new Set<SoakProcess>();
  private readonly startedAtMs = Date.now();
  private timer: NodeJS.Timeout | undefined;
  private version = 1;
  private moved = 'plain-1';

  constructor(
    private readonly fleet: SoakFleet,
    private readonly ledger: SoakLedger,
    private readonly random: Random,
    private readonly plant: Plant | undefined,
  ) {
    this.ledger.moves.push({ atMs: 0, service: this.moved });
  }

  start(): void {
    if (this.plant === undefined) {
      this.schedule();
    } else {
      this.run(this.doPlanted(this.plant));
    }
  }

  /** Does no more faults and waits until those under way are over. */
  async stop(): Promise<void> {
    clearTimeout(this.timer);
    await Promise.all(this.running);
  }

  private schedule(): void {
    this.timer = setTimeout(
      () => {
        this.run(this.doOne());
        this.schedule();
      },
      100 + this.random.below(FAULT_GAP_MS),
    );
  }

  private run(fault: Promise<void>): void {
    this.running.add(fault);
    void fault.finally(() => this.running.delete(fault));
  }

  private doOne(): Promise<void> {
    switch (this.random.below(8)) {
      case 0:
        return this.kill();
      case 1:
        return this.freeze();
      case 2:
        return this.stopRouter('SIGTERM');
      case 3:
        return this.loseStore();
      case 4:
        return this.crashWorker();
      case 5:
        return this.drain();
      case 6:
        return this.move();
      default:
        this.note('history forgotten');
        this.fleet.store.forgetHistory();
        return Promise.resolve();
    }
  }

  /** Does what no oracle may overlook. */
  private async doPlanted(plant: Plant): Promise<void> {
    const { store, processes, plainWorkers } = this.fleet;
    // Rules with a bound hold for processes that were not disturbed for some seconds.
    await sleepMs(3_500);
    switch (plant) {
      case 'configuration':
        store.hiddenKinds.add('config');
        return this.move();
      case 'drain':
        store.hiddenKinds.add('servers');
        return this.drain(6_000);
      case 'lost':
        return this.stopRouter('SIGKILL');
      case 'held':
        for (const { isRouter, child } of processes) {
          child?.kill(isRouter ? 'SIGSTOP' : 0);
        }
        await sleepMs(4_500);
        for (const { child } of processes) {
          child?.kill('SIGCONT');
        }
        return;
      case 'mixed':
        for (const request of this.ledger.requests.slice(0, 1)) {
          request.text = 'served another';
          request.status = 200;
        }
        return;
      case 'recovery':
        for (const worker of plainWorkers) {
          worker.crash(60_000);
        }
        return;
      case 'twice':
      case 'half':
      case 'overcommitted':
        return sleepMs(500);
    }
  }

  private kill(): Promise<void> {
    return this.alone(this.drawProcess(), async (process) => {
      await this.end(process, 'SIGKILL');
      await sleepMs(this.random.below(1_000));
      this.fleet.spawn(process);
    });
  }

  private freeze(): Promise<void> {
    return this.alone(this.drawProcess(), (process) => this.freezeOne(process));
  }

  private async freezeOne(process: SoakProcess): Promise<void> {
    const forMs = this.random.below(FAULT_MS);
    this.note(`${process.name} frozen for ${forMs} ms`);
    process.disturbedAtMs = Date.now() + forMs;
    process.child?.kill('SIGSTOP');
    await sleepMs(forMs);
    process.child?.kill('SIGCONT');
    process.disturbedAtMs = Date.now();
  }

  /** Stops a router as planned work does; callers must not notice. */
  private async stopRouter(signal: NodeJS.Signals): Promise<void> {
    const { routers } = this.fleet;
    const router = routers[this.random.below(routers.length)];
    if (!router || Date.now() - router.disturbedAtMs < VICTIM_MS) {
      return;
    }
    await this.alone(router, async () => {
      this.ledger.plannedStops.push({ router: router.name, atMs: Date.now() });
      await this.end(router, signal);
      this.fleet.spawn(router);
    });
  }

  private async alone(process: SoakProcess, run: (process: SoakProcess) => Promise<void>): Promise<void> {
    if (!this.busy.has(process)) {
      this.busy.add(process);
      await run(process);
      this.busy.delete(process);
    }
  }

  /** Ends a process with a signal; it must not outlive its grace time. */
  private async end(process: SoakProcess, signal: NodeJS.Signals): Promise<void> {
    const { child } = process;
    if (!child || child.exitCode !== null || child.signalCode !== null) {
      this.ledger.found.push(`${process.name} had ended by itself`);
      return;
    }
    this.note(`${process.name} ${signal}`);
    process.disturbedAtMs = Date.now();
    child.kill(signal);
    await Promise.race([once(child, 'exit'), sleepMs(GRACE_MS + GRACE_SLACK_MS)]);
    if (child.exitCode === null && child.signalCode === null) {
      this.ledger.found.push(`${process.name} did not end after ${signal}`);
      child.kill('SIGKILL');
    }
    process.disturbedAtMs = Date.now();
  }

  private async loseStore(): Promise<void> {
    const modes: readonly StoreMode[] = ['refuse', 'reset', 'silent'];
    const { store } = this.fleet;
    if (store.mode !== 'up') {
      return;
    }
    store.mode = modes[this.random.below(modes.length)] ?? 'refuse';
    const away = { fromMs: Date.now(), toMs: Infinity };
    this.ledger.storeAway.push(away);
    this.note(`store ${store.mode}`);
    await sleepMs(this.random.below(FAULT_MS));
    store.mode = 'up';
    away.toMs = Date.now();
  }

  private async crashWorker(): Promise<void> {
    const workers = [...this.fleet.modelWorkers, ...this.fleet.plainWorkers];
    const worker = workers[this.random.below(workers.length)];
    const forMs = this.random.below(FAULT_MS);
    this.note(`${worker?.options.workerId} crashed for ${forMs} ms`);
    worker?.crash(forMs);
    await sleepMs(forMs + 50);
  }

  private async drain(forMs = 1_000 + this.random.below(3_000)): Promise<void> {
    const worker = this.fleet.plainWorkers[this.random.below(2)];
    if (!worker || this.fleet.plainWorkers.some(({ drainingSinceMs }) => drainingSinceMs !== undefined)) {
      return;
    }
    const drain = { workerId: worker.options.workerId, fromMs: Date.now(), toMs: Infinity };
    this.note(`${drain.workerId} leaves`);
    worker.setDraining(true);
    this.ledger.drains.push(drain);
    await sleepMs(forMs);
    drain.toMs = Date.now();
    worker.setDraining(false);
  }

  private move(): Promise<void> {
    this.moved = this.moved === 'plain-1' ? 'plain-2' : 'plain-1';
    this.note(`/moved/ leads to ${this.moved}`);
    this.fleet.writeConfiguration(++this.version, this.moved);
    this.ledger.moves.push({ atMs: Date.now(), service: this.moved });
    return Promise.resolve();
  }

  private drawProcess(): SoakProcess {
    const { processes } = this.fleet;
    return processes[this.random.below(processes.length)] as SoakProcess;
  }

  private note(text: string): void {
    this.done.push(`${((Date.now() - this.startedAtMs) / 1_000).toFixed(1)} s ${text}`);
  }
}
