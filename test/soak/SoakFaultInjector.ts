import { once } from 'node:events';
import type { Random } from '../../src/kernel/index.js';
import type { StoreMode, Worker } from '../../standins/users/index.js';
import { sleepMs } from '../waiting.js';
import type { InjectedViolation } from './soak.js';
import { GRACE_MS, type SoakFleet, type SoakProcess } from './SoakFleet.js';
import type { SoakRecorder } from './SoakRecorder.js';
import type { SoakSignals } from './SoakSignals.js';

/** Range of the random part of the interval between two faults, in milliseconds; faults may last longer, so they overlap. */
const FAULT_INTERVAL_RANGE_MS = 900;
/** Longest duration of a fault, in milliseconds. */
const MAX_FAULT_DURATION_MS = 2_500;
/** Shortest duration of a stall and range of its random part, in milliseconds. */
const MIN_STALL_MS = 800;
const STALL_RANGE_MS = 1_000;
/** Largest number of stalls in a row. */
const MAX_STALL_ROUNDS = 3;
/** Longest time between two stalls in a row, in milliseconds. */
const MAX_STALL_INTERVAL_MS = 300;
/** Longest time after which lost writes are repeated, in milliseconds. */
const REWRITE_DELAY_MS = 400;
/** Time that a process may take to exit beyond its grace time on a machine under load, in milliseconds. */
const GRACE_SLACK_MS = 1_500;
/** Time after a disturbance during which requests at the router may still fail because of it, in milliseconds. */
const FAULT_IMPACT_MS = 4_000;

/** Injects random, overlapping faults into processes, store and workers, and records the periods that checks must exclude. */
export class SoakFaultInjector {
  readonly faultLog: string[] = [];
  private readonly pendingFaults = new Set<Promise<void>>();
  /** Processes with a fault in progress; each has one at a time, so that a planned stop is not combined with another fault. */
  private readonly affectedProcesses = new Set<SoakProcess>();
  private readonly startedAtMs = Date.now();
  private timer: NodeJS.Timeout | undefined;
  private routedService = 'plain-1';

  constructor(
    private readonly fleet: SoakFleet,
    private readonly recorder: SoakRecorder,
    private readonly random: Random,
    private readonly signals: SoakSignals,
    private readonly injectedViolation: InjectedViolation | undefined,
  ) {
    this.recorder.routeChanges.push({ atMs: 0, service: this.routedService });
  }

  start(): void {
    if (this.injectedViolation === undefined) {
      this.scheduleNextFault();
    } else {
      this.track(this.injectViolation(this.injectedViolation));
    }
  }

  /** Injects no further faults and waits until the pending ones have ended. */
  async stop(): Promise<void> {
    clearTimeout(this.timer);
    await Promise.all(this.pendingFaults);
  }

  private scheduleNextFault(): void {
    this.timer = setTimeout(
      () => {
        this.track(this.injectRandomFault());
        this.scheduleNextFault();
      },
      100 + this.random.nextInt(FAULT_INTERVAL_RANGE_MS),
    );
  }

  private track(fault: Promise<void>): void {
    this.pendingFaults.add(fault);
    void fault.finally(() => this.pendingFaults.delete(fault));
  }

  private injectRandomFault(): Promise<void> {
    switch (this.random.nextInt(11)) {
      case 0:
        return this.killProcess();
      case 1:
        return this.suspendProcess();
      case 2:
        return this.stopRouter('SIGTERM');
      case 3:
        return this.injectStoreOutage();
      case 4:
        return this.crashWorker();
      case 5:
        return this.drainWorker();
      case 6:
        return this.changeRoute();
      case 7:
        return this.restoreStore();
      case 8:
      case 9:
        return this.stallWorkers();
      default:
        this.recordFault('store history cleared');
        this.fleet.store.discardHistory();
        return Promise.resolve();
    }
  }

  /** Injects a violation that an oracle must detect. */
  private async injectViolation(injectedViolation: InjectedViolation): Promise<void> {
    const { store, processes, plainWorkers } = this.fleet;
    // Checks with time limits exclude processes for some seconds after a start or fault.
    await sleepMs(3_500);
    switch (injectedViolation) {
      case 'configuration':
        store.ignoredKinds.add('config');
        return this.changeRoute();
      case 'drain':
        store.ignoredKinds.add('servers');
        this.omitNotices();
        return this.drainWorker(6_000);
      case 'pause':
        this.omitNotices();
        return sleepMs(3_000);
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
        for (const request of this.recorder.requests.slice(0, 1)) {
          request.text = 'response to another request';
          request.status = 200;
        }
        return;
      case 'recovery':
        for (const worker of plainWorkers) {
          this.crash(worker, 60_000);
        }
        return;
      case 'twice':
      case 'half':
      case 'accepted':
      case 'overcommitted':
        return sleepMs(500);
    }
  }

  private killProcess(): Promise<void> {
    return this.runExclusively(this.drawProcess(), async (process) => {
      await this.terminate(process, 'SIGKILL');
      await sleepMs(this.random.nextInt(1_000));
      this.fleet.spawn(process);
    });
  }

  private suspendProcess(): Promise<void> {
    return this.runExclusively(this.drawProcess(), (process) => this.suspend(process));
  }

  private async suspend(process: SoakProcess): Promise<void> {
    const durationMs = this.random.nextInt(MAX_FAULT_DURATION_MS);
    this.recordFault(`${process.name} suspended for ${durationMs} ms`);
    process.disturbedAtMs = Date.now() + durationMs;
    process.child?.kill('SIGSTOP');
    await sleepMs(durationMs);
    process.child?.kill('SIGCONT');
    process.disturbedAtMs = Date.now();
  }

  /** Stops and restarts a router as in planned maintenance, which callers must not notice; SIGKILL violates this. */
  private async stopRouter(signal: NodeJS.Signals): Promise<void> {
    const { routers } = this.fleet;
    const router = routers[this.random.nextInt(routers.length)];
    if (!router || Date.now() - router.disturbedAtMs < FAULT_IMPACT_MS) {
      return;
    }
    await this.runExclusively(router, async () => {
      this.recorder.plannedStops.push({ router: router.name, atMs: Date.now() });
      await this.terminate(router, signal);
      this.fleet.spawn(router);
    });
  }

  private async runExclusively(
    process: SoakProcess,
    run: (process: SoakProcess) => Promise<void>,
  ): Promise<void> {
    if (!this.affectedProcesses.has(process)) {
      this.affectedProcesses.add(process);
      await run(process);
      this.affectedProcesses.delete(process);
    }
  }

  /** Terminates a process with a signal; reports a violation when it has not exited after its grace time. */
  private async terminate(process: SoakProcess, signal: NodeJS.Signals): Promise<void> {
    const { child } = process;
    if (!child || child.exitCode !== null || child.signalCode !== null) {
      this.recorder.reportedViolations.push(`${process.name} exited unexpectedly`);
      return;
    }
    this.recordFault(`${process.name} ${signal}`);
    process.disturbedAtMs = Date.now();
    child.kill(signal);
    if (signal === 'SIGTERM') {
      this.signals.repeat(process, signal);
    }
    await Promise.race([once(child, 'exit'), sleepMs(GRACE_MS + GRACE_SLACK_MS)]);
    if (child.exitCode === null && child.signalCode === null) {
      this.recorder.reportedViolations.push(
        `${process.name} did not exit within the grace time after ${signal}`,
      );
      child.kill('SIGKILL');
    }
    process.disturbedAtMs = Date.now();
  }

  private async injectStoreOutage(): Promise<void> {
    const modes: readonly StoreMode[] = ['refuse', 'reset', 'silent'];
    const { store } = this.fleet;
    if (store.mode !== 'up') {
      return;
    }
    store.mode = modes[this.random.nextInt(modes.length)] ?? 'refuse';
    const outage = { fromMs: Date.now(), toMs: Infinity };
    this.recorder.storeOutages.push(outage);
    this.recordFault(`store outage: ${store.mode}`);
    await sleepMs(this.random.nextInt(MAX_FAULT_DURATION_MS));
    store.mode = 'up';
    outage.toMs = Date.now();
  }

  /** Restores the store from a copy some moments old; the operator and the workers write again what they wrote last. */
  private async restoreStore(): Promise<void> {
    const { store, workers } = this.fleet;
    if (store.mode !== 'up') {
      return;
    }
    const copy = store.takeCopy();
    await sleepMs(this.random.nextInt(MAX_FAULT_DURATION_MS));
    const outage = { fromMs: Date.now(), toMs: Infinity };
    this.recorder.storeOutages.push(outage);
    this.recordFault('store restored from a copy');
    store.restore(copy);
    await sleepMs(this.random.nextInt(REWRITE_DELAY_MS));
    this.fleet.rewriteConfiguration();
    for (const worker of workers) {
      worker.rewriteEntry();
    }
    outage.toMs = Date.now();
  }

  private omitNotices(): void {
    for (const worker of this.fleet.workers) {
      worker.omitsNotices = true;
    }
  }

  private async crashWorker(): Promise<void> {
    const { workers } = this.fleet;
    const worker = workers[this.random.nextInt(workers.length)];
    const durationMs = this.random.nextInt(MAX_FAULT_DURATION_MS);
    if (worker) {
      this.recordFault(`${worker.options.workerId} crashed for ${durationMs} ms`);
      this.crash(worker, durationMs);
      await sleepMs(durationMs + 50);
    }
  }

  private crash(worker: Worker, durationMs: number): void {
    const fromMs = Date.now();
    this.recorder.crashes.push({ workerId: worker.options.workerId, fromMs, toMs: fromMs + durationMs });
    worker.crash(durationMs);
  }

  /** Stalls several workers at once, and may do so several times in a row; the workers remain sound. */
  private async stallWorkers(): Promise<void> {
    for (let round = this.random.nextInt(MAX_STALL_ROUNDS); round >= 0; round--) {
      const stalledWorkers = this.fleet.workers.filter(() => this.random.nextInt(4) > 0);
      const stalls = stalledWorkers.map((worker) => {
        const durationMs = MIN_STALL_MS + this.random.nextInt(STALL_RANGE_MS);
        this.recordFault(`${worker.options.workerId} stalls for ${durationMs} ms`);
        worker.stall(durationMs);
        return sleepMs(durationMs);
      });
      await Promise.all(stalls);
      await sleepMs(this.random.nextInt(MAX_STALL_INTERVAL_MS));
    }
  }

  private async drainWorker(durationMs = 1_000 + this.random.nextInt(3_000)): Promise<void> {
    const worker = this.fleet.plainWorkers[this.random.nextInt(2)];
    if (!worker || this.fleet.plainWorkers.some(({ drainingSinceMs }) => drainingSinceMs !== undefined)) {
      return;
    }
    const drain = { workerId: worker.options.workerId, fromMs: Date.now(), toMs: Infinity };
    this.recordFault(`${drain.workerId} drains`);
    worker.setDraining(true);
    this.recorder.drains.push(drain);
    await sleepMs(durationMs);
    drain.toMs = Date.now();
    worker.setDraining(false);
  }

  private changeRoute(): Promise<void> {
    this.routedService = this.routedService === 'plain-1' ? 'plain-2' : 'plain-1';
    this.recordFault(`/moved/ is routed to ${this.routedService}`);
    this.fleet.publishConfiguration(this.routedService);
    this.recorder.routeChanges.push({ atMs: Date.now(), service: this.routedService });
    return Promise.resolve();
  }

  private drawProcess(): SoakProcess {
    const { processes } = this.fleet;
    return processes[this.random.nextInt(processes.length)] as SoakProcess;
  }

  private recordFault(text: string): void {
    this.faultLog.push(`${((Date.now() - this.startedAtMs) / 1_000).toFixed(1)} s ${text}`);
  }
}
