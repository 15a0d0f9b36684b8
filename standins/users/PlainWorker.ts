import type { IncomingMessage, ServerResponse } from 'node:http';
import { getRequestId, makeSignedHeaders, Worker, type InjectedFault } from './Worker.js';

/** Run time of a request, in milliseconds. */
const RUN_MS = 15;

/** Stand-in for a worker of a plain service, which holds no models. */
export class PlainWorker extends Worker {
  protected override getEntryFields(): Record<string, unknown> {
    return {};
  }

  protected override clearState(): void {
    // A plain worker holds no state.
  }

  protected override handleControlRequest(): boolean {
    return false;
  }

  protected override getRefusalStatus(): number | undefined {
    return undefined;
  }

  protected override serve(incoming: IncomingMessage, response: ServerResponse, fault?: InjectedFault): void {
    const requestId = fault === 'foreign' ? 'another' : getRequestId(incoming);
    const text = makePlainText(requestId);
    setTimeout(() => {
      response.writeHead(200, {
        ...makeSignedHeaders(requestId, 'text/plain'),
        'content-length': String(text.length),
      });
      if (fault === 'cutWithin') {
        response.write(text.slice(0, 5), () => incoming.socket.destroy());
      } else {
        response.end(text);
      }
    }, RUN_MS);
  }
}

/** Returns the complete response body of a request. */
export function makePlainText(requestId: string): string {
  return `served ${requestId}`;
}
