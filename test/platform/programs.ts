import { execFile, spawn, type ChildProcess } from 'node:child_process';
import { request } from 'node:http';
import { promisify } from 'node:util';
import { CALLER_LIMITS, type ObjectStore, type WorkerOptions } from '../../standins/users/index.js';

/** Configuration with one route to a plain service. */
export const PLAIN_CONFIGURATION = {
  Version: 1,
  Routes: [
    {
      Name: 'r',
      Hostname: 'a.example',
      PathPrefix: '/x/',
      Kind: 'idempotent',
      TimeoutMs: 1_000,
      TargetLatencyMs: 100,
      Service: 's',
    },
  ],
  Services: [{ Name: 's', MaxConns: 10 }],
  Limits: CALLER_LIMITS,
};

/**
 * Returns the options of the sound worker `i-1` of the service of {@link PLAIN_CONFIGURATION}.
 * @param store - Store in which it registers itself.
 * @param host - Address of the worker.
 * @param port - Port of the worker.
 */
export function makeWorkerOptions(store: ObjectStore, host: string, port: number): WorkerOptions {
  return {
    workerId: 'i-1',
    service: 's',
    host,
    port,
    store,
    onRun: () => undefined,
    drawFault: () => undefined,
  };
}

/** Ports of a program, the same on each loopback address. */
export interface ProgramPorts {
  readonly front: number;
  readonly ready: number;
  readonly peer: number;
  readonly spare: number;
}

/** Settings that differ between programs. */
export interface ProgramSettings {
  readonly name: string;
  readonly ip: string;
  readonly ports: ProgramPorts;
  readonly storeAddress: string;
  /** Time between SIGTERM and SIGKILL, in seconds. */
  readonly graceS: number;
  /** Address of the engine on an agent's machine; undefined for a router. */
  readonly engineAddress?: string;
  /** Memory that the program may use, in MB; absent for no limit. */
  readonly memoryMb?: number;
  /** Further limits of `Bounds`. */
  readonly bounds?: Readonly<Record<string, number>>;
}

/** Returns the content of a program's settings file in the platform's format. */
export function makeSettingsFile(settings: ProgramSettings): Record<string, unknown> {
  const { name, ip, ports, storeAddress, graceS, engineAddress, memoryMb, bounds } = settings;
  const isRouter = engineAddress === undefined;
  return {
    NodeName: name,
    Ip: ip,
    Zone: 'z1',
    Listen: isRouter ? { Front: `${ip}:${ports.front}`, Ready: `${ip}:${ports.ready}` } : {},
    InternalPorts: [ports.peer, ports.spare],
    Bounds: { RetryBudgetRatio: 0.2, RetrySlack: 50, BudgetWindowS: 10, GraceS: graceS, ...bounds },
    Platform: { Address: storeAddress },
    ...(memoryMb === undefined ? {} : { Limits: { MemoryMb: memoryMb } }),
    ...(isRouter ? {} : { app: engineAddress, Service: 'models' }),
  };
}

/**
 * Bundles the program as the build command does.
 * @param directory - Folder that receives `main.cjs` and the file that it loads.
 */
export async function bundleProgram(directory: string): Promise<void> {
  await promisify(execFile)(process.execPath, ['scripts/bundle.mjs', directory]);
}

/**
 * Starts a bundled program.
 * @param bundle - Path of the bundle.
 * @param settingsFile - Path of the settings file.
 * @param onOutput - Called with each chunk of standard output or standard error.
 * @param preloadedUrl - URL of a module that is loaded before the program; absent for none.
 */
export function startProgram(
  bundle: string,
  settingsFile: string,
  onOutput: (text: string) => void,
  preloadedUrl?: string,
): ChildProcess {
  const preloadArgs = preloadedUrl === undefined ? [] : ['--import', preloadedUrl];
  const child = spawn(process.execPath, [...preloadArgs, bundle], {
    env: { MONSOONGLADE_NODE_FILE: settingsFile, MONSOONGLADE_PEER_SECRET: 's', ROARR_LOG: 'true' },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  child.stdout.on('data', (chunk: Buffer) => onOutput(chunk.toString()));
  child.stderr.on('data', (chunk: Buffer) => onOutput(chunk.toString()));
  return child;
}

/** Sends a request to a router; resolves to undefined when the connection fails. */
export function callRouter(
  host: string,
  port: number,
  path: string,
  otherHeaders: Readonly<Record<string, string>> = {},
): Promise<{ status: number; text: string } | undefined> {
  return new Promise((resolve) => {
    const headers = { host: 'a.example', 'request-id': 'r1', ...otherHeaders };
    const outgoing = request({ host, port, path, headers, agent: false }, (response) => {
      let text = '';
      response.on('data', (chunk: Buffer) => (text += chunk.toString()));
      response.on('end', () => resolve({ status: response.statusCode ?? 0, text }));
    });
    outgoing.on('error', () => resolve(undefined));
    outgoing.end();
  });
}
