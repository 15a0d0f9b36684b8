/** Starts the project's own programs with the commands of the deploy file, on loopback addresses. */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Root of the repository. */
export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;
/** Port of the metrics, as in the deploy file. */
const METRICS_PORT = 9464;
/** First internal port, on which agents listen. */
export const INTERNAL_PORT = 7380;
/** Longest duration of a case, in milliseconds. */
const MAX_CASE_MS = 110_000;

export const isTroubled = process.env.TROUBLE !== '0';

export function sleep(ms) {
  return new Promise((done) => setTimeout(done, ms));
}

/** Waits until a condition holds; returns false if it did not in time. */
export async function waitUntil(condition, limitMs) {
  const endsAtMs = Date.now() + limitMs;
  while (!(await condition())) {
    if (Date.now() >= endsAtMs) {
      return false;
    }
    await sleep(20);
  }
  return true;
}

/** Collects what was sent, answered and run, and writes it to `record.txt`. */
export class Recorder {
  lines = [];
  startedAtMs = Date.now();

  constructor(folder) {
    this.path = join(folder, 'record.txt');
  }

  add(text) {
    this.lines.push(`${((Date.now() - this.startedAtMs) / 1000).toFixed(3)} s  ${text}`);
  }

  write() {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}

/** Reads the command and the environment of a role from the deploy file. */
function readRole(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1]?.split('\n[')[0] ?? '';
  const run = /^run = "(.*)"$/m.exec(section)?.[1];
  if (run === undefined) {
    throw new Error(`The deploy file has no role ${role}.`);
  }
  const env = {};
  for (const [, name, value] of section.matchAll(/([A-Z_]+) = "([^"]*)"/g)) {
    env[name] = value;
  }
  return { command: run.split(' '), env };
}

function canBind(host, port) {
  return new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, host, () => server.close(() => done(true)));
  });
}

/** Returns a loopback address of a machine on which all ports that its processes need are free. */
export async function reserveMachine(ports = []) {
  for (let attempt = 0; attempt < 100; attempt++) {
    const part = () => 1 + Math.floor(Math.random() * 250);
    const ip = `127.${part()}.${part()}.${part()}`;
    const isFree = await Promise.all(
      [METRICS_PORT, INTERNAL_PORT, ...ports].map((port) => canBind(ip, port)),
    );
    if (isFree.every(Boolean)) {
      return ip;
    }
  }
  throw new Error('No loopback address with free ports was found.');
}

/** Processes of one case; all of them end with it. */
export class System {
  constructor(recorder, { bounds = {}, memoryMb = 350 } = {}) {
    this.recorder = recorder;
    this.memoryMb = memoryMb;
    this.folder = mkdtempSync(join(tmpdir(), 'monsoonglade-case-'));
    this.children = new Map();
    this.bounds = {
      StableWindowMs: 3000,
      DrainMs: 2000,
      GraceS: 8,
      LossSlackMs: 200,
      ConfigApplyMs: 2000,
      RetryBudgetRatio: 0.2,
      BudgetWindowS: 10,
      RetrySlack: 56,
      RequireFence: true,
      LeaseMs: 3000,
      ...bounds,
    };
  }

  /** Writes the settings file of a process and starts it; the same name starts it again. */
  start(role, name, ip, fields) {
    const { command, env } = readRole(role);
    const path = join(this.folder, `${name}.json`);
    const settings = {
      NodeName: name,
      Role: role,
      MachineClass: role === 'router' ? 'front' : 'side',
      Ip: ip,
      Zone: 'z1',
      Region: 'r1',
      Zones: { z1: 'r1' },
      InternalPorts: [INTERNAL_PORT, INTERNAL_PORT + 15],
      Limits: { CpuShare: 1, Cores: 1, MemoryMb: this.memoryMb, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0 },
      DataDir: null,
      Bounds: this.bounds,
      ...fields,
    };
    writeFileSync(path, JSON.stringify(settings));
    const child = spawn(command[0], command.slice(1), {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, MONSOONGLADE_NODE_FILE: path, ...env },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const logPath =
      process.env.CASE_LOGS === undefined ? undefined : join(process.env.CASE_LOGS, `${name}.log`);
    const keep = (bytes) => logPath && writeFileSync(logPath, bytes, { flag: 'a' });
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => this.recorder.add(`process ${name} ended: ${signal ?? code}`));
    this.children.set(name, child);
    this.recorder.add(`process ${name} started: ${role} at ${ip}`);
    return child;
  }

  startRouter(name, ip, storeAddress, frontPort = 8149, readyPort = 8141) {
    return this.start('router', name, ip, {
      Serves: ['front'],
      Listen: { Front: `${ip}:${frontPort}`, Ready: `${ip}:${readyPort}` },
      Platform: { Address: storeAddress },
    });
  }

  startAgent(name, ip, storeAddress, engineAddress) {
    return this.start('agent', name, ip, {
      Serves: ['side'],
      Listen: {},
      Platform: { Address: storeAddress },
      app: engineAddress,
    });
  }

  /** Ends all processes that were started. */
  async stop() {
    for (const child of this.children.values()) {
      if (child.exitCode === null && child.signalCode === null) {
        const ended = new Promise((done) => child.once('exit', done));
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        await ended;
      }
    }
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Whether a router says that it is ready. */
export async function isReady(ip, readyPort = 8141) {
  try {
    const response = await fetch(`http://${ip}:${readyPort}/api/ready`, { signal: AbortSignal.timeout(500) });
    await response.arrayBuffer();
    return response.status === 200;
  } catch {
    return false;
  }
}

/** Runs a case and exits with its result; 2 if it could not run. */
export async function runCase(folder, options, run) {
  const recorder = new Recorder(folder);
  const system = new System(recorder, options);
  const timeout = setTimeout(() => finish(COULD_NOT_RUN, 'the case took too long'), MAX_CASE_MS);
  let isFinished = false;
  const finish = async (code, text) => {
    if (isFinished) {
      return;
    }
    isFinished = true;
    clearTimeout(timeout);
    await system.stop();
    recorder.add(`result ${code}: ${text}`);
    recorder.write();
    console.log(`result ${code}: ${text}`);
    process.exit(code);
  };
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.on(signal, () => void finish(COULD_NOT_RUN, `stopped by ${signal}`));
  }
  process.on('uncaughtException', (error) => void finish(COULD_NOT_RUN, `error: ${error.stack}`));
  recorder.add(`disruption: ${isTroubled ? 'on' : 'off'}`);
  try {
    const { code, text } = await run(system, recorder);
    await finish(code, text);
  } catch (error) {
    await finish(COULD_NOT_RUN, `error: ${error.stack}`);
  }
}
