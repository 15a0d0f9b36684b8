import type { ResponseHead, RunRequest } from '../domain/index.js';
import type { EngineOrder, EngineState, EngineOrderResult } from './decisions/index.js';

/** Receives the chunks of a backend server's response; only the first one has a head. */
export type ResponseSink = (chunk: { readonly head?: ResponseHead; readonly text: string }) => void;

/** Result of a request to the backend server. */
export type BackendRunResult =
  | { readonly kind: 'complete'; readonly tokenCount: number }
  /** The request never left this process. */
  | { readonly kind: 'notSent'; readonly detail: string }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'failed'; readonly detail: string; readonly isConnectionLost: boolean };

/** Client for the backend server that an agent controls. */
export abstract class BackendClient {
  /** Reads the server's state; undefined if the server does not respond. */
  abstract readState(): Promise<EngineState | undefined>;

  /**
   * Sends an order to the server.
   * @param order - The order.
   */
  abstract sendOrder(order: EngineOrder): Promise<EngineOrderResult>;

  /**
   * Runs a request until its response is complete or it fails.
   * @param request - The request.
   * @param sink - Receives the response in chunks.
   * @param signal - Cancels the request.
   */
  abstract run(request: RunRequest, sink: ResponseSink, signal: AbortSignal): Promise<BackendRunResult>;

  /** Closes the connections to the server. */
  abstract close(): Promise<void>;
}
