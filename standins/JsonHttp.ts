import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Answers one request; what it returns is sent as JSON unless it answered itself. */
export type JsonHandler = (
  request: IncomingMessage,
  url: URL,
  body: string,
  response: ServerResponse,
) => Promise<JsonReply | undefined>;

/** Status and body of an answer. */
export interface JsonReply {
  readonly status: number;
  readonly body: unknown;
}

/** Small HTTP server that the stand-ins share. */
export class JsonHttp {
  private readonly server: Server;

  /** @param handler - Answers every request. */
  constructor(private readonly handler: JsonHandler) {
    this.server = createServer((request, response) => void this.serve(request, response));
  }

  /**
   * Binds the server and returns its port.
   * @param port - Port; 0 for a free one.
   */
  async start(port = 0): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Breaks every open connection, as a crash would. */
  breakConnections(): void {
    this.server.closeAllConnections();
  }

  /** Ends the server. */
  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const pieces: Buffer[] = [];
      for await (const piece of request) {
        pieces.push(piece as Buffer);
      }
      const url = new URL(request.url ?? '/', 'http://localhost');
      const reply = await this.handler(request, url, Buffer.concat(pieces).toString(), response);
      if (reply && !response.destroyed) {
        response.writeHead(reply.status, { 'content-type': 'application/json' });
        response.end(JSON.stringify(reply.body ?? {}));
      }
    } catch (error) {
      if (!response.headersSent) {
        response.writeHead(500).end(String(error));
      }
    }
  }
}

/** @param delayMs - Time to wait in milliseconds. */
export function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
