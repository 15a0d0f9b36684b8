/** How long a model stays loaded without work, and when it is loaded again. */
export interface KeepAlivePlan {
  /** Time that the model stays after its last use, in milliseconds. */
  readonly keepAliveMs: number;
  /** When the model is loaded again ahead of the next request; absent for never. */
  readonly preWarm?: PreWarming;
}

/** A time in which a model is loaded ahead of its next request. */
export interface PreWarming {
  /** Time after the last use at which the model is to be ready, in milliseconds. */
  readonly afterMs: number;
  /** Time that it then stays without use, in milliseconds. */
  readonly forMs: number;
}

/** Decides how long an idle model stays loaded. */
export abstract class KeepAlivePolicy {
  /** @param gapMs - Time between two requests in a row, in milliseconds. */
  abstract recordIdleGap(gapMs: number): void;

  /**
   * Plans the time after a request.
   * @param loadMs - Time that a cold start takes, in milliseconds.
   */
  abstract plan(loadMs: number): KeepAlivePlan;
}

/** Unloads a model as soon as it is idle; a baseline. */
export class UnloadAtOncePolicy extends KeepAlivePolicy {
  recordIdleGap(_gapMs: number): void {
    return;
  }

  plan(_loadMs: number): KeepAlivePlan {
    return { keepAliveMs: 0 };
  }
}

/** Keeps every model for the same time; a baseline. */
export class FixedKeepAlivePolicy extends KeepAlivePolicy {
  /** @param keepAliveMs - The time in milliseconds. */
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
