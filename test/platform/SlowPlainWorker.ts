import type { IncomingMessage, ServerResponse } from 'node:http';
import { PlainWorker } from '../../standins/users/index.js';

/** Plain worker that takes an additional time for each request. */
export class SlowPlainWorker extends PlainWorker {
  /** Additional time for each request, in milliseconds. */
  additionalMs = 0;

  protected override serve(incoming: IncomingMessage, response: ServerResponse): void {
    setTimeout(() => super.serve(incoming, response), this.additionalMs);
  }
}
