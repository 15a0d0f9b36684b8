/** A part of a process that the kernel starts and stops. */
export interface Service {
  /** Begins work; services it depends on have started. */
  start(): Promise<void>;
  /** Ends work without cutting off anything in progress. */
  stop(): Promise<void>;
}

/** Name under which a service is found, carrying the service's type. */
export interface ServiceName<T> {
  readonly name: string;
  /** Carries the type only; never set. */
  readonly type?: T;
}

/**
 * Creates the name of a service.
 * @param name - Name, unique in a process.
 */
export function serviceName<T>(name: string): ServiceName<T> {
  return { name };
}

/** Registry in which the services of a process find each other by name. */
export class ServiceContainer {
  private readonly instances = new Map<string, unknown>();
  private readonly started: Service[] = [];

  /**
   * Registers an object under a name.
   * @param name - Name that is not taken yet.
   * @param instance - The object.
   */
  register<T>(name: ServiceName<T>, instance: T): T {
    if (this.instances.has(name.name)) {
      throw new Error(`The service ${name.name} is registered already.`);
    }
    this.instances.set(name.name, instance);
    return instance;
  }

  /** @param name - Name of the service to look for. */
  get<T>(name: ServiceName<T>): T | undefined {
    return this.instances.get(name.name) as T | undefined;
  }

  /** @param name - Name of a service that must be there. */
  getOrThrow<T>(name: ServiceName<T>): T {
    const instance = this.get(name);
    if (instance === undefined) {
      throw new Error(`The service ${name.name} is not registered.`);
    }
    return instance;
  }

  /**
   * Starts a service and remembers it for the stop.
   * @param service - The service.
   */
  async start(service: Service): Promise<void> {
    this.started.push(service);
    await service.start();
  }

  /** Stops all started services, last started first. */
  async stop(): Promise<void> {
    while (this.started.length > 0) {
      await this.started.pop()?.stop();
    }
  }
}
