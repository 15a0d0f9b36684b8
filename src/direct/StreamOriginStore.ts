import type { PeerMethods } from '../transport/index.js';
import { isStreamOrigin, StreamOrigins, type StreamOrigin } from './decisions/index.js';
import { STREAM_METHODS, type FindOriginParams, type FindOriginReply } from './messages.js';

/** Keeps, at an agent, the software versions at which streams of all routers began. */
export class StreamOriginStore {
  private readonly origins = new StreamOrigins();

  /** Returns the methods that routers call. */
  getMethods(): PeerMethods {
    return {
      [STREAM_METHODS.began]: (origin: StreamOrigin) => this.record(origin),
      [STREAM_METHODS.findOrigin]: (params: FindOriginParams) => this.find(params),
    } as PeerMethods;
  }

  private record(origin: StreamOrigin): void {
    if (isStreamOrigin(origin)) {
      this.origins.record(origin);
    }
  }

  private find({ requestId }: FindOriginParams): FindOriginReply {
    return { softwareVersion: this.origins.getVersion(String(requestId)) ?? null };
  }
}
