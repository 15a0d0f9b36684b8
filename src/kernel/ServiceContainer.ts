/** Component of a process that the service container starts and stops. */
export interface Service {
  /** Starts the service; the services it depends on have started. */
  start(): Promise<void>;
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

/** Registry of the services of a process; starts and stops them in order. */
export class ServiceContainer {
  private readonly instances = new Map<string, unknown>();
  private readonly started: Service[] = [];

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
   */
  async start(service: Service): Promise<void> {
    this.started.push(service);
    await service.start();
  }

  /** Stops the started services in reverse order. */
  async stop(): Promise<void> {
    while (this.started.length > 0) {
      await this.started.pop()?.stop();
    }
  }
}
