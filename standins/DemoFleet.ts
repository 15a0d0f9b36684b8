import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { InstanceEntry } from '../src/domain/index.js';
import { ChildProcess } from './ChildProcess.js';
import { LoopbackReservation } from './LoopbackReservation.js';

/** Environment variables with the secrets of a short-lived fleet on one machine. */
export const DEMO_ENVIRONMENT = {
  MONSOONGLADE_PEER_SECRET: 'demo-peer-secret',
  MONSOONGLADE_PLATFORM_TOKEN: 'demo-platform-token',
  MONSOONGLADE_ADMIN_TOKEN: 'demo-admin-token',
};

/** Running router or agent process of the fleet. */
export interface FleetDaemon {
  readonly id: string;
  readonly process: ChildProcess;
  readonly settingsFile: string;
  readonly instance: InstanceEntry;
  readonly adminUrl: string;
  /** URL for callers; undefined for agents. */
  readonly entryUrl?: string;
}

/** Starts each daemon as a child process and registers its instance with the stand-in platform. */
export class DemoFleet {
  readonly daemons = new Map<string, FleetDaemon>();

  private constructor(
    private readonly directory: string,
    private readonly reservation: LoopbackReservation,
    readonly platformUrl: string,
  ) {}

  /**
   * Creates a fleet without daemons and a temporary directory for its settings files.
   * @param platformUrl - URL of the stand-in platform.
   */
  static async create(platformUrl: string): Promise<DemoFleet> {
    const directory = await mkdtemp(join(tmpdir(), 'monsoonglade-'));
    return new DemoFleet(directory, await LoopbackReservation.create(), platformUrl);
  }

  /**
   * Starts a router.
   * @param id - Id of the instance.
   * @param dataCentre - Data centre of the instance.
   * @param overrides - Settings that are added to, or replace, the defaults.
   */
  async startRouter(
    id: string,
    dataCentre: string,
    overrides: Record<string, unknown> = {},
  ): Promise<FleetDaemon> {
    const [entryPort = 0, peerPort = 0, adminPort = 0] = await this.takePorts(3);
    const settings = {
      role: 'router',
      id,
      dataCentre,
      entry: { port: entryPort },
      peer: { port: peerPort },
      admin: { port: adminPort },
      platform: { url: this.platformUrl },
      ...overrides,
    };
    const instance: InstanceEntry = {
      id,
      role: 'router',
      dataCentre,
      pool: '',
      peerAddress: `127.0.0.1:${peerPort}`,
      state: 'live',
    };
    return this.startDaemon(settings, instance, adminPort, `http://127.0.0.1:${entryPort}`);
  }

  /**
   * Starts an agent.
   * @param id - Id of the instance.
   * @param dataCentre - Data centre of the instance.
   * @param pool - Pool of the agent's backend server.
   * @param backend - The `backend` section of the agent's settings.
   */
  async startAgent(
    id: string,
    dataCentre: string,
    pool: string,
    backend: Record<string, unknown>,
  ): Promise<FleetDaemon> {
    const [peerPort = 0, adminPort = 0] = await this.takePorts(2);
    const settings = {
      role: 'agent',
      id,
      dataCentre,
      peer: { port: peerPort },
      admin: { port: adminPort },
      platform: { url: this.platformUrl },
      backend,
    };
    const instance: InstanceEntry = {
      id,
      role: 'agent',
      dataCentre,
      pool,
      peerAddress: `127.0.0.1:${peerPort}`,
      state: 'live',
    };
    return this.startDaemon(settings, instance, adminPort, undefined);
  }

  /**
   * Starts the process of a daemon again with the same settings, after the previous process has exited.
   * @param id - Id of the instance.
   */
  async restart(id: string): Promise<FleetDaemon> {
    const previous = this.getOrThrow(id);
    const daemon = { ...previous, process: await this.spawnDaemon(id, previous.settingsFile) };
    this.daemons.set(id, daemon);
    return daemon;
  }

  /**
   * Returns a daemon of the fleet.
   * @param id - Id of the instance.
   */
  getOrThrow(id: string): FleetDaemon {
    const daemon = this.daemons.get(id);
    if (!daemon) {
      throw new Error(`There is no daemon ${id}.`);
    }
    return daemon;
  }

  /**
   * Changes the instances or the injected faults of the stand-in platform.
   * @param controlRequest - Body of the control request.
   */
  async controlPlatform(controlRequest: unknown): Promise<void> {
    await fetch(`${this.platformUrl}/control`, { method: 'POST', body: JSON.stringify(controlRequest) });
  }

  /** Stops all daemons and removes their settings files. */
  async stop(): Promise<void> {
    await Promise.all([...this.daemons.values()].map((daemon) => daemon.process.stop()));
    await this.reservation.release();
    await rm(this.directory, { recursive: true, force: true });
  }

  private async takePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
      ports.push(await this.reservation.takePort());
    }
    return ports;
  }

  private async startDaemon(
    settings: object,
    instance: InstanceEntry,
    adminPort: number,
    entryUrl: string | undefined,
  ): Promise<FleetDaemon> {
    const settingsFile = join(this.directory, `${instance.id}.json`);
    await writeFile(settingsFile, JSON.stringify(settings));
    await this.controlPlatform({ setInstance: instance });
    const process = await this.spawnDaemon(instance.id, settingsFile);
    const adminUrl = `http://127.0.0.1:${adminPort}`;
    const daemon: FleetDaemon = { id: instance.id, process, settingsFile, instance, adminUrl, entryUrl };
    this.daemons.set(instance.id, daemon);
    return daemon;
  }

  private async spawnDaemon(id: string, settingsFile: string): Promise<ChildProcess> {
    const args = ['--settings', settingsFile];
    const started = await ChildProcess.start(id, 'src/daemon/main.js', args, DEMO_ENVIRONMENT);
    return started.process;
  }
}
