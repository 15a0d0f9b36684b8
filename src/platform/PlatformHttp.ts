import { Agent, request } from 'undici';

/** Response timeout of a request without a wait time, in milliseconds. */
const REQUEST_TIMEOUT_MS = 2_000;

/** Maximum size of a response, in bytes; a page of a list holds about 1 MB. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Response of the platform; status 0 when there was none. */
export interface PlatformResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Sends authenticated requests to the platform. */
export class PlatformHttp {
  private readonly agent = new Agent({
    connections: 16,
    pipelining: 1,
    maxResponseSize: MAX_RESPONSE_BYTES,
  });
  private requestCountValue = 0;
  private byteCountValue = 0;

  /**
   * @param baseUrl - URL of the platform without a trailing slash.
   * @param token - Credential for the platform.
   */
  constructor(
    private readonly baseUrl: string,
    private readonly token: string,
  ) {}

  /** Number of requests sent so far, including watches that still wait. */
  get requestCount(): number {
    return this.requestCountValue;
  }

  /** Characters of the paths and bodies exchanged so far; equals the bytes as long as they are ASCII. */
  get byteCount(): number {
    return this.byteCountValue;
  }

  /**
   * Sends one request; a failed one resolves with status 0.
   * @param method - HTTP method.
   * @param path - Path and query.
   * @param body - Value sent as JSON.
   * @param waitMs - Time for which the platform may delay its response, in milliseconds.
   */
  async send(
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    body?: unknown,
    waitMs = 0,
  ): Promise<PlatformResponse> {
    this.requestCountValue++;
    const sentText = body === undefined ? undefined : JSON.stringify(body);
    try {
      const response = await request(`${this.baseUrl}${path}`, {
        method,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS + waitMs),
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
