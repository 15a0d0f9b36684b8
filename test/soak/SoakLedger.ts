import { plainText, streamText, type WorkerRun } from '../../standins/users/index.js';

/** Bounds of the platform's pages, in milliseconds. */
const CONFIG_APPLY_MS = 2_000;
const DRAIN_MS = 2_000;
/** Time after a disturbance in which rules with a bound don't hold for an instance, in milliseconds. */
const STABLE_WINDOW_MS = 3_000;
/** Time of each route, and what an answer may take beyond it, in milliseconds. */
const ROUTE_TIMEOUT_MS = 2_500;
const ANSWER_SLACK_MS = 1_000;

export type RequestKind = 'stream' | 'read' | 'write' | 'moved';

/** A request as its caller saw it. */
export interface SoakRequest {
  readonly requestId: string;
  readonly kind: RequestKind;
  readonly router: string;
  readonly sentAtMs: number;
  /** Whether rules with a bound held for its router when it was sent. */
  readonly isRouterInTouch: boolean;
  endedAtMs?: number;
  status?: number;
  text: string;
  isWhole: boolean;
  /** Whether something was done to its router before it ended. */
  wasDisturbed: boolean;
  /** Whether the connection was established and the whole request left. */
  isSent: boolean;
}

/** A configuration that led `/moved/` elsewhere. */
interface Move {
  /** When the store had acknowledged it. */
  readonly atMs: number;
  readonly service: string;
}

/** What callers and workers saw, and the promises that must hold over it. */
export class SoakLedger {
  readonly requests: SoakRequest[] = [];
  readonly runs: WorkerRun[] = [];
  /** Where `/moved/` leads to, from when on. */
  readonly moves: Move[] = [];
  /** Times in which a worker was leaving. */
  readonly drains: { readonly workerId: string; readonly fromMs: number; toMs: number }[] = [];
  /** Planned stops of routers, without any other disturbance near them. */
  readonly plannedStops: { readonly router: string; readonly atMs: number }[] = [];
  /** Times in which the store was away; news may be late until some seconds after. */
  readonly storeAway: { readonly fromMs: number; toMs: number }[] = [];
  /** Broken promises that something else found. */
  readonly found: string[] = [];

  /** Lists the broken promises. */
  check(): string[] {
    const runsById = new Map<string, WorkerRun[]>();
    for (const run of this.runs) {
      runsById.set(run.requestId, [...(runsById.get(run.requestId) ?? []), run]);
    }
    const broken = [...this.found];
    for (const request of this.requests) {
      const runs = runsById.get(request.requestId) ?? [];
      for (const problem of [...this.checkAnswer(request, runs), ...this.checkTimes(request, runs)]) {
        broken.push(
          `${problem}: ${request.kind} ${request.requestId} by ${request.router}, ${runs.length} runs`,
        );
      }
    }
    return broken;
  }

  private *checkAnswer(request: SoakRequest, runs: readonly WorkerRun[]): IterableIterator<string> {
    const { kind, status, text, isWhole, requestId } = request;
    const mostRuns = kind === 'stream' || kind === 'read' ? 2 : 1;
    if (runs.length > mostRuns) {
      yield 'twice';
    }
    if (status === 503 && runs.length > 0) {
      yield 'refused yet ran';
    }
    if (status === 200) {
      const whole = kind === 'stream' ? streamText(requestId) : plainText(requestId);
      if (!whole.startsWith(text)) {
        yield 'mixed';
      } else if (isWhole && text !== whole) {
        yield 'half an answer looks whole';
      }
    }
  }

  private *checkTimes(request: SoakRequest, runs: readonly WorkerRun[]): IterableIterator<string> {
    const { sentAtMs, router, status, isSent, isRouterInTouch } = request;
    const endedAtMs = request.endedAtMs ?? Infinity;
    if (
      isRouterInTouch &&
      !request.wasDisturbed &&
      endedAtMs - sentAtMs > ROUTE_TIMEOUT_MS + ANSWER_SLACK_MS
    ) {
      yield 'held';
    }
    const isLost = isSent && status === undefined;
    if (
      isLost &&
      this.plannedStops.some((stop) => stop.router === router && Math.abs(stop.atMs - sentAtMs) < 900)
    ) {
      yield 'lost at a planned stop';
    }
    if (!isRouterInTouch || this.isStoreAwayNear(sentAtMs)) {
      return;
    }
    for (const run of runs) {
      if (
        request.kind === 'moved' &&
        run.service !== this.getMoved(sentAtMs) &&
        this.isMovedLongSince(sentAtMs)
      ) {
        yield 'an older configuration';
      }
      if (this.drains.some((drain) => drain.workerId === run.workerId && isLongWithin(drain, sentAtMs))) {
        yield 'sent to a leaving worker';
      }
    }
  }

  private getMoved(atMs: number): string | undefined {
    let service: string | undefined;
    for (const move of this.moves) {
      service = move.atMs <= atMs ? move.service : service;
    }
    return service;
  }

  private isMovedLongSince(atMs: number): boolean {
    return !this.moves.some((move) => move.atMs <= atMs && move.atMs > atMs - CONFIG_APPLY_MS);
  }

  private isStoreAwayNear(atMs: number): boolean {
    const windowMs = Math.max(STABLE_WINDOW_MS, CONFIG_APPLY_MS) + CONFIG_APPLY_MS;
    return this.storeAway.some((away) => away.fromMs <= atMs && atMs < away.toMs + windowMs);
  }
}

function isLongWithin(drain: { readonly fromMs: number; readonly toMs: number }, atMs: number): boolean {
  return drain.fromMs + DRAIN_MS < atMs && atMs < drain.toMs;
}

/**
 * Whether rules with a bound hold for an instance now.
 * @param disturbedAtMs - When something was last done to it.
 */
export function isInTouch(disturbedAtMs: number): boolean {
  return Date.now() - disturbedAtMs > STABLE_WINDOW_MS;
}
