import type { IncomingMessage, ServerResponse } from 'node:http';
import { getRequestId, makeSignedHeaders, Worker, type InjectedFault } from './Worker.js';

/** Time that a request runs, in milliseconds. */
const RUN_MS = 15;

/** Stand-in for a worker of a plain service. */
export class PlainWorker extends Worker {
  protected override describe(): Record<string, unknown> {
    return {};
  }

  protected override forget(): void {
    // It holds nothing.
  }

  protected override takeControl(): boolean {
    return false;
  }

  protected override getRefusal(): number | undefined {
    return undefined;
  }

  protected override serve(incoming: IncomingMessage, response: ServerResponse, trick?: InjectedFault): void {
    const requestId = trick === 'foreign' ? 'another' : getRequestId(incoming);
    const text = plainText(requestId);
    setTimeout(() => {
      response.writeHead(200, {
        ...makeSignedHeaders(requestId, 'text/plain'),
        'content-length': String(text.length),
      });
      if (trick === 'cutWithin') {
        response.write(text.slice(0, 5), () => incoming.socket.destroy());
      } else {
        response.end(text);
      }
    }, RUN_MS);
  }
}

/** Whole answer to a request. */
export function plainText(requestId: string): string {
  return `served ${requestId}`;
}
