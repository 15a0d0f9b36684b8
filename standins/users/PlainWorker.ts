import type { IncomingMessage, ServerResponse } from 'node:http';
import { getRequestId, makeSignedHeaders, Worker, type InjectedFault } from './Worker.js';

/** Run time of a request before each of the two parts of its response, in milliseconds. */
const PART_RUN_MS = 10;
/** Length of the first part of a response, in bytes. */
const FIRST_PART_LENGTH = 5;

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
    // A response that is cut has a length: its end can't be told from that of a complete one without framing.
    const hasLength = response.useChunkedEncodingByDefault || fault === 'cutWithin';
    const sendFirstPart = () => {
      response.writeHead(200, {
        ...makeSignedHeaders(requestId, 'text/plain'),
        ...(hasLength ? { 'content-length': String(text.length) } : {}),
      });
      if (fault === 'cutWithin') {
        response.write(text.slice(0, FIRST_PART_LENGTH), () => incoming.socket.destroy());
        return;
      }
      response.write(text.slice(0, FIRST_PART_LENGTH));
      setTimeout(() => {
        this.runUnstalled(() => response.end(text.slice(FIRST_PART_LENGTH)));
      }, PART_RUN_MS);
    };
    setTimeout(() => this.runUnstalled(sendFirstPart), PART_RUN_MS);
  }
}

/** Returns the complete response body of a request. */
export function makePlainText(requestId: string): string {
  return `served ${requestId}`;
}
