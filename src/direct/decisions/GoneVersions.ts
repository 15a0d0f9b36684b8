import type { ServiceId } from '../../domain/index.js';

/** Time after which no stream is taken up any more, in milliseconds; longer than any stream lasts. */
export const MAX_STREAM_LIFETIME_MS = 120_000;

/** Software versions of servers that are gone, of which streams may still be taken up. */
export class GoneVersions {
  /** When a server of a version was last found to be gone, by service and version. */
  private readonly goneAtMs = new Map<ServiceId, Map<string | undefined, number>>();

  /**
   * Records that a server is gone.
   * @param serviceId - Service of the server.
   * @param softwareVersion - Version of its software, if known.
   * @param nowMs - Current time.
   */
  record(serviceId: ServiceId, softwareVersion: string | undefined, nowMs: number): void {
    const versions = this.goneAtMs.get(serviceId) ?? new Map<string | undefined, number>();
    this.goneAtMs.set(serviceId, versions);
    versions.set(softwareVersion, nowMs);
  }

  /**
   * Returns the versions of servers of a service that went lately.
   * @param serviceId - The service.
   * @param nowMs - Current time.
   */
  get(serviceId: ServiceId, nowMs: number): (string | undefined)[] {
    const versions = this.goneAtMs.get(serviceId);
    for (const [version, atMs] of versions ?? []) {
      if (nowMs - atMs >= MAX_STREAM_LIFETIME_MS) {
        versions?.delete(version);
      }
    }
    return [...(versions?.keys() ?? [])];
  }
}
