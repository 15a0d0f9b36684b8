/** How long an idle model stays loaded, and when it is pre-warmed. */
export interface KeepAlivePlan {
  /** Time that the model stays loaded after its last use, in milliseconds. */
  readonly keepAliveMs: number;
  /** When the model is loaded again ahead of the next request; absent when it is not pre-warmed. */
  readonly preWarm?: PreWarmWindow;
}

/** Time window in which a model is kept loaded ahead of its next request. */
export interface PreWarmWindow {
  /** Time from the last use until the model must be ready, in milliseconds. */
  readonly afterMs: number;
  /** Time that it then stays loaded without use, in milliseconds. */
  readonly forMs: number;
}

/** Decides how long an idle model stays loaded. */
export abstract class KeepAlivePolicy {
  /** @param gapMs - Idle time between two consecutive requests, in milliseconds. */
  abstract recordIdleGap(gapMs: number): void;

  /**
   * Plans the keep-alive and pre-warming after a request.
   * @param loadMs - Duration of a cold start, in milliseconds.
   */
  abstract plan(loadMs: number): KeepAlivePlan;
}

/** Baseline policy that unloads a model as soon as it is idle. */
export class UnloadAtOncePolicy extends KeepAlivePolicy {
  recordIdleGap(_gapMs: number): void {
    return;
  }

  plan(_loadMs: number): KeepAlivePlan {
    return { keepAliveMs: 0 };
  }
}

/** Baseline policy that keeps every idle model loaded for the same time. */
export class FixedKeepAlivePolicy extends KeepAlivePolicy {
  /** @param keepAliveMs - The keep-alive in milliseconds. */
  constructor(private readonly keepAliveMs: number) {
    super();
  }

  recordIdleGap(_gapMs: number): void {
    return;
  }

  plan(_loadMs: number): KeepAlivePlan {
    return { keepAliveMs: this.keepAliveMs };
  }
}
