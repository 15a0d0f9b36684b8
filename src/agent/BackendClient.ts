import type { ResponseHead, RunRequest } from '../domain/index.js';
import type { EngineOrder, EngineState, OrderOutcome } from './decisions/index.js';

/** Takes the pieces of a backend server's answer. */
export type AnswerSink = (piece: { readonly head?: ResponseHead; readonly text: string }) => void;

/** How a run on the backend server ended. */
export type BackendRunResult =
  | { readonly kind: 'complete'; readonly tokenCount: number }
  /** The request never left this process. */
  | { readonly kind: 'notSent'; readonly detail: string }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'failed'; readonly detail: string; readonly connectionBroke: boolean };

/** The one backend server that an agent stands beside. */
export abstract class BackendClient {
  /** Reads the server's state; undefined when it doesn't answer. */
  abstract readState(): Promise<EngineState | undefined>;

  /** @param order - Order to send to the server. */
  abstract sendOrder(order: EngineOrder): Promise<OrderOutcome>;

  /**
   * Runs a request to its end.
   * @param order - The request.
   * @param sink - Takes the answer piece by piece.
   * @param signal - Cancels the run.
   */
  abstract run(order: RunRequest, sink: AnswerSink, signal: AbortSignal): Promise<BackendRunResult>;

  /** Closes the connections. */
  abstract close(): Promise<void>;
}
