import type { ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { bundleProgram, makeSettingsFile, startProgram } from '../platform/programs.js';
import {
  CALLER_LIMITS,
  HEALTH_PATH,
  ModelWorker,
  ObjectStore,
  PlainWorker,
  type InjectedFault,
  type WorkerArrival,
  type WorkerRun,
} from '../../standins/users/index.js';

const PORTS = { front: 9_511, ready: 9_512, peer: 9_513, spare: 9_514, worker: 9_515 };
/** Module that adds the delays of a process's event loop to its output. */
const PRELOADED_URL = new URL('./reportEventLoopDelays.js', import.meta.url).href;
/** Grace time of a process that is stopping, in milliseconds. */
export const GRACE_MS = 3_000;
const ROUTER_COUNT = 2;
const MODEL_WORKER_COUNT = 3;

/** Router or agent that runs as a process. */
export interface SoakProcess {
  readonly name: string;
  readonly ip: string;
  readonly isRouter: boolean;
  readonly settingsFile: string;
  child?: ChildProcess;
  /** Time of the last start, signal or fault, in milliseconds; checks with time limits exclude a period after it. */
  disturbedAtMs: number;
  /** Its output, as lines. */
  readonly output: string[];
  /** Whether the process has written anything since its last start, which shows that it handles signals. */
  hasWritten: boolean;
}

/** Routers and agents that run as processes, and in-process stand-ins for the store and the workers. */
export class SoakFleet {
  /** Ports that every process and worker uses on its loopback address. */
  static readonly ports = PORTS;

  readonly store = new ObjectStore();
  readonly modelWorkers: ModelWorker[] = [];
  readonly plainWorkers: PlainWorker[] = [];
  readonly processes: SoakProcess[] = [];
  /** Returns the organisations of the configuration; absent if callers need no keys. */
  getOrganisations?: () => Record<string, unknown>[];
  private version = 0;
  private movedService = 'plain-1';
  private directory = '';
  private storeAddress = '';
  private reservation!: LoopbackReservation;

  /**
   * @param onRun - Called for each execution on a worker.
   * @param onArrival - Called for each request that arrives at a worker.
   * @param drawFault - Draws the fault that a worker injects into a request, if any.
   * @param drawUnframed - Draws whether a response has neither a length nor chunks; absent means never.
   */
  constructor(
    private readonly onRun: (run: WorkerRun) => void,
    private readonly onArrival: (arrival: WorkerArrival) => void,
    private readonly drawFault: (service: string) => InjectedFault | undefined,
    private readonly drawUnframed?: () => boolean,
  ) {}

  private get bundle(): string {
    return join(this.directory, 'main.cjs');
  }

  /** Starts the store, the workers and the processes; does not wait until these are ready. */
  async start(): Promise<void> {
    this.reservation = await LoopbackReservation.create();
    this.directory = await mkdtemp(join(tmpdir(), 'monsoonglade-soak-'));
    await bundleProgram(this.directory);
    this.storeAddress = await this.store.start();
    await this.startWorkers();
    this.publishConfiguration();
    for (let index = 1; index <= ROUTER_COUNT; index++) {
      await this.addProcess(`router-${index}`, this.reservation.getAddress(100 + index), true);
    }
    for (const worker of this.modelWorkers) {
      await this.addProcess(`agent-${worker.options.workerId}`, worker.options.host, false);
    }
    for (const process of this.processes) {
      this.spawn(process);
    }
  }

  /** Kills the processes, stops the stand-ins and deletes the directory. */
  async stop(): Promise<void> {
    for (const { child } of this.processes) {
      child?.kill('SIGKILL');
    }
    for (const worker of this.workers) {
      worker.stop();
    }
    this.store.stop();
    await this.reservation.release();
    await rm(this.directory, { recursive: true, force: true });
  }

  get workers(): (ModelWorker | PlainWorker)[] {
    return [...this.modelWorkers, ...this.plainWorkers];
  }

  get routers(): SoakProcess[] {
    return this.processes.filter(({ isRouter }) => isRouter);
  }

  /** Port on which routers accept requests of callers. */
  get callerPort(): number {
    return PORTS.front;
  }

  /**
   * Writes a new version of the configuration to the store.
   * @param movedService - Service of the route `/moved/`; unchanged if it is absent.
   */
  publishConfiguration(movedService = this.movedService): void {
    this.version++;
    this.movedService = movedService;
    this.rewriteConfiguration();
  }

  /** Writes the current version of the configuration to the store again. */
  rewriteConfiguration(): void {
    const route = (name: string, kind: string, service: string, overrides: Record<string, unknown> = {}) => ({
      Name: name,
      Hostname: 'a.example',
      PathPrefix: `/${name}/`,
      Kind: kind,
      TimeoutMs: 2_500,
      TargetLatencyMs: 200,
      Service: service,
      ...overrides,
    });
    const models = this.modelWorkers[0]?.models ?? [];
    this.store.put('config', 'main', {
      Version: this.version,
      Routes: [
        route('stream', 'stream', 'models', { MaxAttempts: 2, CanResume: true, GapAimMs: 100 }),
        route('read', 'idempotent', 'plain-1', { MaxAttempts: 2 }),
        route('write', 'non_idempotent', 'plain-1'),
        route('moved', 'idempotent', this.movedService),
      ],
      Services: [
        { Name: 'plain-1', MaxConns: 100 },
        { Name: 'plain-2', MaxConns: 100 },
        {
          Name: 'models',
          HealthPath: HEALTH_PATH,
          MaxConns: 100,
          Engine: {
            Slots: 16,
            WeightsMb: 205,
            AdapterSlots: 4,
            LoadsPerS: 10,
            Models: models.map((Name) => ({
              Name,
              WeightsMb: 100,
              Adapters: 4,
              AdapterMb: 1,
              LoadS: 1,
              DiskS: 0.2,
            })),
          },
        },
      ],
      Limits: CALLER_LIMITS,
      ...(this.getOrganisations ? { Tenants: this.getOrganisations() } : {}),
    });
  }

  /** Starts a process, for the first time or after it has exited. */
  spawn(process: SoakProcess): void {
    process.disturbedAtMs = Date.now();
    process.hasWritten = false;
    const child = startProgram(
      this.bundle,
      process.settingsFile,
      (text) => {
        process.output.push(...text.split('\n'));
        process.hasWritten ||= process.child === child;
      },
      PRELOADED_URL,
    );
    process.child = child;
  }

  private async startWorkers(): Promise<void> {
    const makeWorkerOptions = (workerId: string, service: string, host: string) => ({
      workerId,
      service,
      host,
      port: PORTS.worker,
      store: this.store,
      onRun: this.onRun,
      onArrival: this.onArrival,
      drawFault: () => this.drawFault(service),
      drawUnframed: this.drawUnframed,
    });
    for (let index = 1; index <= MODEL_WORKER_COUNT; index++) {
      this.modelWorkers.push(
        new ModelWorker(makeWorkerOptions(`m${index}`, 'models', this.reservation.getAddress(index))),
      );
    }
    for (const [index, service] of ['plain-1', 'plain-1', 'plain-2', 'plain-2'].entries()) {
      const host = this.reservation.getAddress(50 + index);
      this.plainWorkers.push(new PlainWorker(makeWorkerOptions(`p${index + 1}`, service, host)));
    }
    for (const worker of this.workers) {
      await worker.start();
    }
  }

  private async addProcess(name: string, ip: string, isRouter: boolean): Promise<void> {
    const settingsFile = join(this.directory, `${name}.json`);
    const settings = makeSettingsFile({
      name,
      ip,
      ports: PORTS,
      storeAddress: this.storeAddress,
      graceS: GRACE_MS / 1_000,
      engineAddress: isRouter ? undefined : `${ip}:${PORTS.worker}`,
      bounds: { QuotaWindowS: 8, QuotaOver: 0.1, QuotaSlack: 20 },
    });
    await writeFile(settingsFile, JSON.stringify(settings));
    this.processes.push({
      name,
      ip,
      isRouter,
      settingsFile,
      disturbedAtMs: Date.now(),
      output: [],
      hasWritten: false,
    });
  }
}
