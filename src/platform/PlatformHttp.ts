import { Agent, request } from 'undici';

/** Time given to the platform for answering a call that does not wait, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000;

/** Answer of the platform; status 0 when there was none. */
export interface PlatformAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Sends authenticated calls to the platform. */
export class PlatformHttp {
  private readonly agent = new Agent({ connections: 16, pipelining: 1 });
  private callCountValue = 0;
  private byteCountValue = 0;

  /**
   * @param baseUrl - URL of the platform without a trailing slash.
   * @param token - Credential for the platform.
   */
  constructor(
    private readonly baseUrl: string,
    private readonly token: string,
  ) {}

  /** Calls made so far, waiting watches included. */
  get callCount(): number {
    return this.callCountValue;
  }

  /** Bytes of the bodies and paths exchanged so far. */
  get byteCount(): number {
    return this.byteCountValue;
  }

  /**
   * Makes one call.
   * @param method - HTTP method.
   * @param path - Path and query.
   * @param body - Value sent as JSON.
   * @param waitMs - Time the platform may hold the answer back, in milliseconds.
   */
  async call(
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    body?: unknown,
    waitMs = 0,
  ): Promise<PlatformAnswer> {
    this.callCountValue++;
    const sentText = body === undefined ? undefined : JSON.stringify(body);
    try {
      const response = await request(`${this.baseUrl}${path}`, {
        method,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS + waitMs),
        headers: { authorization: `Bearer ${this.token}`, 'content-type': 'application/json' },
        body: sentText,
      });
      const text = await response.body.text();
      this.byteCountValue += path.length + text.length + (sentText?.length ?? 0);
      return { status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) };
    } catch {
      return { status: 0, body: undefined };
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
