import { request, type ClientRequest } from 'node:http';
import { Random } from '../../src/kernel/index.js';
import type { InjectedFault } from '../../standins/users/index.js';
import { sleepMs } from '../waiting.js';
import { SoakFaults } from './SoakFaults.js';
import { SoakFleet } from './SoakFleet.js';
import { isInTouch, SoakLedger, type RequestKind, type SoakRequest } from './SoakLedger.js';

/** Faults planted on purpose, each of which an oracle must catch. */
export const PLANTS = [
  'twice',
  'mixed',
  'half',
  'configuration',
  'drain',
  'lost',
  'held',
  'overcommitted',
  'recovery',
] as const;
export type Plant = (typeof PLANTS)[number];

/** How one soak is run. */
export interface SoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Loopback subnet; soaks that run at the same time need different ones. */
  readonly subnet: number;
  readonly plant?: Plant;
}

/** What came of a soak. */
export interface SoakResult {
  readonly broken: readonly string[];
  readonly requestCount: number;
  readonly servedCount: number;
  /** Faults, as they were done. */
  readonly faults: readonly string[];
  /** Last output of each process, kept when something broke. */
  readonly tails: Readonly<Record<string, string>>;
}

/** Time from one request to the next, in milliseconds. */
const REQUEST_GAP_MS = 12;
/** Time for the processes to be ready at first, in milliseconds. */
const READY_LIMIT_MS = 15_000;
/** Time after the last fault after which everything must be served again, in milliseconds; the platform gives twelve seconds. */
const RECOVERY_MS = 8_000;
/** Share of requests that a worker plays a trick on. */
const TRICK_SHARE = 0.04;
const TRICKS: readonly InjectedFault[] = ['cutBefore', 'cutWithin', 'silence', 'refuse', 'foreign'];
const KINDS: readonly RequestKind[] = ['stream', 'stream', 'read', 'write', 'moved'];

/**
 * Runs our programs as processes under random faults and checks what callers and workers saw.
 * @param options - Seed, time and what is planted.
 */
export async function soak(options: SoakOptions): Promise<SoakResult> {
  const random = new Random(options.seed);
  const ledger = new SoakLedger();
  let isQuiet = true;
  const drawTrick = (service: string): InjectedFault | undefined => {
    const planted = plantedTrick(options.plant, service);
    if (planted && random.fraction() < 0.2) {
      return planted;
    }
    return !isQuiet && random.fraction() < TRICK_SHARE ? TRICKS[random.below(TRICKS.length)] : undefined;
  };
  const fleet = new SoakFleet(
    options.subnet,
    (run) => ledger.runs.push(run),
    (service) => drawTrick(service),
  );
  const callers = new SoakCallers(fleet, ledger, random);
  const faults = new SoakFaults(fleet, ledger, random, options.plant);
  try {
    await fleet.start();
    const isReady = await callers.untilServed(READY_LIMIT_MS);
    if (!isReady) {
      ledger.found.push('never ready');
    }
    callers.start();
    faults.start();
    isQuiet = false;
    await sleepMs(options.durationMs);
    await faults.stop();
    isQuiet = true;
    if (!(await callers.untilServed(RECOVERY_MS))) {
      ledger.found.push('not recovered');
    }
    await callers.stop();
    for (const { maxHeldModels: mostHeld, options: parts } of fleet.modelWorkers) {
      if (mostHeld > (options.plant === 'overcommitted' ? 1 : 2)) {
        ledger.found.push(`overcommitted: ${parts.workerId} held ${mostHeld} models`);
      }
    }
    const broken = ledger.check();
    const tails = broken.length > 0 ? fleet.processes.map(({ name, tail }) => [name, tail] as const) : [];
    return {
      broken,
      requestCount: ledger.requests.length,
      servedCount: ledger.requests.filter(({ status, isWhole }) => status === 200 && isWhole).length,
      faults: faults.done,
      tails: Object.fromEntries(tails),
    };
  } finally {
    await callers.stop();
    await fleet.stop();
  }
}

/** Trick by which workers break a promise themselves, where that is what is planted. */
function plantedTrick(plant: Plant | undefined, service: string): InjectedFault | undefined {
  if (plant === 'twice' && service !== 'models') {
    return 'lieNotRun';
  }
  return plant === 'half' && service === 'models' ? 'endEarly' : undefined;
}

/** Callers that send requests to all routers, each on a connection of its own, and keep it open until it ends. */
class SoakCallers {
  private count = 0;
  private timer: NodeJS.Timeout | undefined;
  private readonly open = new Set<Promise<unknown>>();

  constructor(
    private readonly fleet: SoakFleet,
    private readonly ledger: SoakLedger,
    private readonly random: Random,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      const kind = KINDS[this.random.below(KINDS.length)] ?? 'read';
      const call = this.call(kind, this.random.below(this.fleet.routers.length));
      this.open.add(call);
      void call.finally(() => this.open.delete(call));
    }, REQUEST_GAP_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all(this.open);
  }

  /** Waits until each kind of request is served by each router; false when the time is over. */
  async untilServed(limitMs: number): Promise<boolean> {
    const endsAtMs = Date.now() + limitMs;
    let missing = this.fleet.routers.flatMap((_, router) => KINDS.map((kind) => ({ kind, router })));
    while (missing.length > 0 && Date.now() < endsAtMs) {
      const results = await Promise.all(
        missing.map(async (probe) => ({ probe, got: await this.call(probe.kind, probe.router) })),
      );
      missing = results.filter(({ got }) => got.status !== 200 || !got.isWhole).map(({ probe }) => probe);
      await sleepMs(100);
    }
    return missing.length === 0;
  }

  private call(kind: RequestKind, routerIndex: number): Promise<SoakRequest> {
    const router = this.fleet.routers[routerIndex];
    const id = `q${++this.count}`;
    const seen: SoakRequest = {
      requestId: id,
      kind,
      router: router?.name ?? '',
      sentAtMs: Date.now(),
      isRouterInTouch: isInTouch(router?.disturbedAtMs ?? 0),
      text: '',
      isWhole: false,
      wasDisturbed: false,
      isSent: false,
    };
    this.ledger.requests.push(seen);
    const model = ['a', 'b', 'c', 'd/x'][this.random.below(4)] ?? 'a';
    const headers: Record<string, string> = {
      host: 'a.example',
      'request-id': id,
      'content-length': String(id.length),
    };
    const outgoing = request({
      host: router?.ip,
      port: this.fleet.frontPort,
      method: 'POST',
      path: `/${kind}/x`,
      agent: false,
      headers: kind === 'stream' ? { ...headers, model } : headers,
    });
    return new Promise((resolve) => {
      follow(outgoing, seen, () => {
        seen.wasDisturbed = (router?.disturbedAtMs ?? 0) >= seen.sentAtMs;
        resolve(seen);
      });
    });
  }
}

/** Notes in a request what its caller sees. */
function follow(outgoing: ClientRequest, seen: SoakRequest, done: () => void): void {
  const end = () => {
    seen.endedAtMs ??= Date.now();
    done();
  };
  outgoing.on('socket', (socket) => socket.once('connect', () => (seen.isSent = true)));
  outgoing.on('error', end);
  outgoing.on('response', (response) => {
    seen.status = response.statusCode;
    response.on('data', (chunk: Buffer) => (seen.text += chunk.toString()));
    response.on('error', () => undefined);
    response.on('close', () => {
      seen.isWhole = response.complete;
      end();
    });
  });
  outgoing.setTimeout(20_000, () => outgoing.destroy());
  outgoing.end(seen.requestId);
}
