import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Handles one request; returns the JSON response to send, or undefined if it used `response` directly. */
export type JsonHandler = (
  request: IncomingMessage,
  url: URL,
  body: string,
  response: ServerResponse,
) => Promise<JsonResponse | undefined>;

/** Status and JSON body of a response. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/** HTTP server with JSON responses, used by all stand-ins. */
export class JsonHttpServer {
  private readonly server: Server;

  /** @param handler - Handles every request. */
  constructor(private readonly handler: JsonHandler) {
    this.server = createServer((request, response) => void this.handleRequest(request, response));
  }

  /**
   * Starts listening on the loopback interface and returns the port.
   * @param port - Port to listen on; 0 selects a free one.
   */
  async start(port = 0): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Closes every open connection abruptly, as a crash of the process would. */
  closeConnections(): void {
    this.server.closeAllConnections();
  }

  /** Closes all connections and stops listening. */
  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const chunks: Buffer[] = [];
      for await (const chunk of request) {
        chunks.push(chunk as Buffer);
      }
      const url = new URL(request.url ?? '/', 'http://localhost');
      const result = await this.handler(request, url, Buffer.concat(chunks).toString(), response);
      if (result && !response.destroyed) {
        response.writeHead(result.status, { 'content-type': 'application/json' });
        response.end(JSON.stringify(result.body ?? {}));
      }
    } catch (error) {
      if (!response.headersSent) {
        response.writeHead(500).end(String(error));
      }
    }
  }
}

/**
 * Waits for a time.
 * @param delayMs - Time in milliseconds.
 */
export function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
