import type { Versioned } from '../../domain/index.js';

/** Local copy of a platform object. */
export interface StateObject {
  readonly path: string;
  readonly value: unknown;
  readonly version: number;
  readonly deleted: boolean;
  /** Platform revision of the last change; 0 for a local write that no watch has returned yet. */
  readonly revision: number;
}

/** Objects that changed after a revision. */
export interface StateDelta {
  readonly objects: readonly StateObject[];
  /** Revision up to which the sender holds every change. */
  readonly revision: number;
}

/** Replica of the platform's state objects; never replaces an object with an older version, whatever its source. */
export class StateStore {
  private readonly objects = new Map<string, StateObject>();
  private completeRevision = 0;
  private readonly listeners: ((path: string) => void)[] = [];

  /** Revision up to which every change is held; 0 before the first delta. */
  get revision(): number {
    return this.completeRevision;
  }

  /** Number of objects held, deleted ones included. */
  get size(): number {
    return this.objects.size;
  }

  /** @param listener - Called with the path of each object that changed. */
  onChange(listener: (path: string) => void): void {
    this.listeners.push(listener);
  }

  /** @param delta - All changes from the revision of this store up to that of the delta. */
  applyDelta(delta: StateDelta): void {
    for (const object of delta.objects) {
      this.apply(object);
    }
    this.completeRevision = Math.max(this.completeRevision, delta.revision);
  }

  /**
   * Applies one object; returns false when its version is not newer.
   * @param object - Object to apply.
   */
  apply(object: StateObject): boolean {
    const current = this.objects.get(object.path);
    const currentVersion = current?.version ?? 0;
    if (object.version < currentVersion) {
      return false;
    }
    if (object.version === currentVersion) {
      this.setRevision(object, current);
      return false;
    }
    this.objects.set(object.path, object);
    for (const listener of this.listeners) {
      listener(object.path);
    }
    return true;
  }

  /** @param path - Path of the object. */
  get<T>(path: string): Versioned<T> | undefined {
    const object = this.objects.get(path);
    return object && !object.deleted ? { value: object.value as T, version: object.version } : undefined;
  }

  /** @param prefix - Prefix of the paths. */
  *list<T>(prefix: string): IterableIterator<Versioned<T> & { readonly path: string }> {
    for (const object of this.objects.values()) {
      if (!object.deleted && object.path.startsWith(prefix)) {
        yield { path: object.path, value: object.value as T, version: object.version };
      }
    }
  }

  /** @param revision - Revision up to which the requester holds every change. */
  deltaSince(revision: number): StateDelta {
    const objects: StateObject[] = [];
    if (this.completeRevision > revision) {
      for (const object of this.objects.values()) {
        if (object.revision === 0 || object.revision > revision) {
          objects.push(object);
        }
      }
    }
    return { objects, revision: this.completeRevision };
  }

  private setRevision(object: StateObject, current: StateObject | undefined): void {
    if (current?.revision === 0 && object.revision > 0) {
      this.objects.set(object.path, object);
    }
  }
}
