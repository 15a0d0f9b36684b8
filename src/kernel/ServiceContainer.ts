import type { Clock, Timer } from './Clock.js';
import { delay } from './delay.js';
import { SystemClock } from './SystemClock.js';

/** Longest wait of a stop for a service that is still starting, in milliseconds. */
const START_TIMEOUT_MS = 500;
/** Part of the grace that is left to the services after one that does not stop, and to the exit, in milliseconds. */
const STOP_RESERVE_MS = 300;
/** Shortest limit of a stop, in milliseconds; a stopping router still accepts callers for 2.8 s. */
const MIN_STOP_LIMIT_MS = 3_200;
/** Longest limit of a stop, in milliseconds; timers can't wait longer. */
const MAX_STOP_LIMIT_MS = 2 ** 31 - 1;
/** Longest wait for each service that is stopped after the limit, in milliseconds. */
const LATE_STOP_TIMEOUT_MS = 20;

/** Component of a process that the service container starts and stops. */
export interface Service {
  /** Starts the service; the services it depends on have started. */
  start(): Promise<void>;
  /** Ends a start in progress early, if it could wait for long; `stop` follows. */
  cancelStart?(): void;
  /** Stops the service after the work in progress is completed. */
  stop(): Promise<void>;
}

/** Typed name that a service is registered under. */
export interface ServiceName<T> {
  readonly name: string;
  /** Phantom property for type inference; never set. */
  readonly type?: T;
}

/**
 * Creates the name of a service.
 * @param name - Name that is unique in the process.
 */
export function serviceName<T>(name: string): ServiceName<T> {
  return { name };
}

/** Started service and its start, which may still be in progress. */
interface StartedService {
  readonly service: Service;
  readonly start: Promise<unknown>;
  isStarting: boolean;
}

/** Thrown by `ServiceContainer.start` once the services are being stopped. */
export class ServicesStoppedError extends Error {
  constructor() {
    super('The services are being stopped.');
  }
}

/** Thrown by `ServiceContainer.stop` if services have not stopped within the limit. */
export class StopTimeoutError extends Error {
  /** @param serviceNames - Names of the services. */
  constructor(readonly serviceNames: readonly string[]) {
    super(`Not stopped in time: ${serviceNames.join(', ')}.`);
  }
}

/** Registry of the services of a process; starts and stops them in order. */
export class ServiceContainer {
  private readonly instances = new Map<string, unknown>();
  private readonly started: StartedService[] = [];
  private stopResult: Promise<void> | undefined;
  private getStopGraceMs: () => number = () => Infinity;

  /**
   * @param reportStopError - Called with the error of each service that does not stop.
   * @param clock - Source of timers.
   */
  constructor(
    private readonly reportStopError: (error: unknown) => void,
    private readonly clock: Clock = new SystemClock(),
  ) {}

  /**
   * Registers an object under a name and returns it.
   * @param name - Name that is not registered yet.
   * @param instance - Object to register.
   */
  register<T>(name: ServiceName<T>, instance: T): T {
    if (this.instances.has(name.name)) {
      throw new Error(`The service ${name.name} is registered already.`);
    }
    this.instances.set(name.name, instance);
    return instance;
  }

  /** @param name - Name of the service. */
  get<T>(name: ServiceName<T>): T | undefined {
    return this.instances.get(name.name) as T | undefined;
  }

  /** @param name - Name of a service that must be registered. */
  getOrThrow<T>(name: ServiceName<T>): T {
    const instance = this.get(name);
    if (instance === undefined) {
      throw new Error(`The service ${name.name} is not registered.`);
    }
    return instance;
  }

  /**
   * Starts a service and adds it to the services to stop.
   * @param service - Service to start.
   * @throws ServicesStoppedError if the services are stopped before the service has started.
   */
  async start(service: Service): Promise<void> {
    if (this.stopResult) {
      throw new ServicesStoppedError();
    }
    const start = begin(service);
    const entry = { service, start, isStarting: true };
    this.started.push(entry);
    try {
      await start;
    } finally {
      entry.isStarting = false;
    }
    if (this.stopResult) {
      // Otherwise a service whose start took longer than the stop waited would keep running.
      if (!this.started.includes(entry)) {
        await this.stopService(service);
      }
      throw new ServicesStoppedError();
    }
  }

  /**
   * Limits the time of a stop; there is no limit otherwise.
   * @param getStopGraceMs - Returns the time from the stop signal until the process is killed, in milliseconds.
   */
  limitStop(getStopGraceMs: () => number): void {
    this.getStopGraceMs = getStopGraceMs;
  }

  /**
   * Stops the started services in reverse order; further calls return the result of the first one.
   * @throws StopTimeoutError if a service has not stopped within the limit; the services after it are stopped nevertheless.
   */
  stop(): Promise<void> {
    this.stopResult ??= this.stopAll();
    return this.stopResult;
  }

  private async stopAll(): Promise<void> {
    const endsAtMs = this.clock.nowMs() + getStopLimitMs(this.getStopGraceMs());
    const unstoppedNames: string[] = [];
    for (let entry = this.started.at(-1); entry; entry = this.started.at(-1)) {
      if (entry.isStarting) {
        this.cancelStart(entry.service);
      }
      const isStarted = entry.start.catch(() => undefined);
      const startTimeoutMs = Math.min(START_TIMEOUT_MS, this.getRemainingMs(endsAtMs));
      await Promise.race([isStarted, delay(this.clock, startTimeoutMs)]);
      this.started.pop();
      if (!(await this.stopUntil(entry.service, endsAtMs))) {
        unstoppedNames.push(entry.service.constructor.name);
      }
    }
    if (unstoppedNames.length > 0) {
      throw new StopTimeoutError(unstoppedNames);
    }
  }

  /** Stops a service; returns false if it has not stopped in time. */
  private async stopUntil(service: Service, endsAtMs: number): Promise<boolean> {
    const stop = this.stopService(service).then(() => true);
    if (endsAtMs === Infinity) {
      return stop;
    }
    let timer: Timer | undefined;
    const timeout = new Promise<boolean>((resolve) => {
      timer = this.clock.schedule(this.getRemainingMs(endsAtMs), () => resolve(false));
    });
    const isStopped = await Promise.race([stop, timeout]);
    timer?.cancel();
    if (!isStopped) {
      this.reportStopError(new StopTimeoutError([service.constructor.name]));
    }
    return isStopped;
  }

  private getRemainingMs(endsAtMs: number): number {
    return Math.max(LATE_STOP_TIMEOUT_MS, endsAtMs - this.clock.nowMs());
  }

  /** Ends the start of a service early; an error does not keep the services from stopping. */
  private cancelStart(service: Service): void {
    try {
      service.cancelStart?.();
    } catch (error) {
      this.reportStopError(error);
    }
  }

  /** Stops a service; an error does not keep the others from stopping. */
  private async stopService(service: Service): Promise<void> {
    try {
      await service.stop();
    } catch (error) {
      this.reportStopError(error);
    }
  }
}

function getStopLimitMs(graceMs: number): number {
  if (graceMs === Infinity) {
    return graceMs;
  }
  return Math.min(MAX_STOP_LIMIT_MS, Math.max(MIN_STOP_LIMIT_MS, graceMs - STOP_RESERVE_MS));
}

/** Starts a service; an exception becomes a rejection. */
async function begin(service: Service): Promise<void> {
  await service.start();
}
