import { setNewest } from '../../kernel/setNewest.js';

/** Maximum number of stored streams; a stream lasts some seconds. */
const MAX_STREAMS = 10_000;
/** Maximum length of the ID or version in a message of another process, in characters. */
const MAX_TEXT_LENGTH = 200;

/** Software version at which a stream began. */
export interface StreamOrigin {
  /** ID of the request whose response brought the first event. */
  readonly requestId: string;
  readonly softwareVersion: string;
}

/** Remembers the software versions at which the latest streams began. */
export class StreamOrigins {
  private readonly versions = new Map<string, string>();

  /**
   * Records the version at which a stream began; the first record of a stream counts.
   * @param origin - The stream and the version.
   */
  record({ requestId, softwareVersion }: StreamOrigin): void {
    setNewest(this.versions, requestId, this.versions.get(requestId) ?? softwareVersion, MAX_STREAMS);
  }

  /**
   * Returns the version at which a stream began; undefined if it is not known.
   * @param requestId - ID of the request whose response brought the first event.
   */
  getVersion(requestId: string): string | undefined {
    return this.versions.get(requestId);
  }
}

/**
 * Whether a value is the origin of a stream. A process of another version may send other values.
 * @param value - Value as received.
 */
export function isStreamOrigin(value: unknown): value is StreamOrigin {
  const { requestId, softwareVersion } = Object(value) as Record<string, unknown>;
  return [requestId, softwareVersion].every(
    (text) => typeof text === 'string' && text.length > 0 && text.length <= MAX_TEXT_LENGTH,
  );
}
