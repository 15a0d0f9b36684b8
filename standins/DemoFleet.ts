import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { InstanceEntry } from '../src/domain/index.js';
import { ChildProcess, findFreePorts } from './ChildProcess.js';

/** Secrets of a fleet that lives on one machine for a short while. */
export const DEMO_ENVIRONMENT = {
  MONSOONGLADE_PEER_SECRET: 'demo-peer-secret',
  MONSOONGLADE_PLATFORM_TOKEN: 'demo-platform-token',
  MONSOONGLADE_ADMIN_TOKEN: 'demo-admin-token',
};

/** A daemon of the fleet. */
export interface FleetDaemon {
  readonly id: string;
  readonly process: ChildProcess;
  readonly settingsFile: string;
  readonly instance: InstanceEntry;
  readonly adminUrl: string;
  /** URL for callers; undefined for an agent. */
  readonly entryUrl?: string;
}

/** Starts daemons as processes of their own and tells the stand-in platform about them. */
export class DemoFleet {
  readonly daemons = new Map<string, FleetDaemon>();

  private constructor(
    private readonly folder: string,
    readonly platform: string,
  ) {}

  /** @param platformUrl - URL of the stand-in platform. */
  static async create(platformUrl: string): Promise<DemoFleet> {
    return new DemoFleet(await mkdtemp(join(tmpdir(), 'monsoonglade-')), platformUrl);
  }

  /**
   * Starts a router.
   * @param id - Name of the instance.
   * @param dataCentre - Its data centre.
   * @param overrides - Further settings.
   */
  async startRouter(
    id: string,
    dataCentre: string,
    overrides: Record<string, unknown> = {},
  ): Promise<FleetDaemon> {
    const [entryPort = 0, peerPort = 0, adminPort = 0] = await findFreePorts(3);
    const settings = {
      role: 'router',
      id,
      dataCentre,
      entry: { port: entryPort },
      peer: { port: peerPort },
      admin: { port: adminPort },
      platform: { url: this.platform },
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
    return this.start(settings, instance, adminPort, `http://127.0.0.1:${entryPort}`);
  }

  /**
   * Starts an agent.
   * @param id - Name of the instance.
   * @param dataCentre - Its data centre.
   * @param pool - Pool of its backend server.
   * @param backend - The backend server, as in the settings.
   */
  async startAgent(
    id: string,
    dataCentre: string,
    pool: string,
    backend: Record<string, unknown>,
  ): Promise<FleetDaemon> {
    const [peerPort = 0, adminPort = 0] = await findFreePorts(2);
    const settings = {
      role: 'agent',
      id,
      dataCentre,
      peer: { port: peerPort },
      admin: { port: adminPort },
      platform: { url: this.platform },
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
    return this.start(settings, instance, adminPort, undefined);
  }

  /**
   * Starts a daemon again with the settings it had, as after its process died.
   * @param id - Name of the instance.
   */
  async restart(id: string): Promise<FleetDaemon> {
    const old = this.getOrThrow(id);
    const daemon = { ...old, process: await this.spawn(id, old.settingsFile) };
    this.daemons.set(id, daemon);
    return daemon;
  }

  /** @param id - Name of the instance. */
  getOrThrow(id: string): FleetDaemon {
    const daemon = this.daemons.get(id);
    if (!daemon) {
      throw new Error(`There is no daemon ${id}.`);
    }
    return daemon;
  }

  /** @param change - Change of the stand-in platform's instances or faults. */
  async control(change: unknown): Promise<void> {
    await fetch(`${this.platform}/control`, { method: 'POST', body: JSON.stringify(change) });
  }

  /** Stops all daemons and removes their files. */
  async stop(): Promise<void> {
    await Promise.all([...this.daemons.values()].map((daemon) => daemon.process.stop()));
    await rm(this.folder, { recursive: true, force: true });
  }

  private async start(
    settings: object,
    instance: InstanceEntry,
    adminPort: number,
    entryUrl: string | undefined,
  ): Promise<FleetDaemon> {
    const settingsFile = join(this.folder, `${instance.id}.json`);
    await writeFile(settingsFile, JSON.stringify(settings));
    await this.control({ setInstance: instance });
    const process = await this.spawn(instance.id, settingsFile);
    const adminUrl = `http://127.0.0.1:${adminPort}`;
    const daemon: FleetDaemon = { id: instance.id, process, settingsFile, instance, adminUrl, entryUrl };
    this.daemons.set(instance.id, daemon);
    return daemon;
  }

  private async spawn(id: string, settingsFile: string): Promise<ChildProcess> {
    const args = ['--settings', settingsFile];
    const started = await ChildProcess.start(id, 'src/daemon/main.js', args, DEMO_ENVIRONMENT);
    return started.process;
  }
}
