const MIB = 1024 * 1024;

/** Memory that a router takes beside the bodies and responses, in bytes: the program, its objects and connections. */
const BASE_BYTES = 110 * MIB;
/** How often a body or a response may be held at the same time, as while it is copied to a socket. */
const COPY_COUNT = 2;
/** Part of the remaining memory that is for the bodies of callers' requests; the rest is for responses. */
const BODY_SHARE = 0.6;
/** Maximum memory for bodies, in bytes. */
const MAX_BODY_BYTES = 48 * MIB;
/** Maximum memory for responses, in bytes. */
const MAX_RESPONSE_BYTES = 32 * MIB;
/** Minimum memory for bodies, in bytes; a router without it could not serve a request with a body of a few megabytes. */
const MIN_BODY_BYTES = 12 * MIB;
/** Minimum memory for responses, in bytes. */
const MIN_RESPONSE_BYTES = 8 * MIB;

/** Memory that a router may use for what it holds of requests. */
export interface MemoryBudgets {
  /** Memory for the heads and bodies of callers' requests, in bytes. */
  readonly bodyBytes: number;
  /** Memory for responses that are buffered until they are complete, in bytes. */
  readonly responseBytes: number;
}

/**
 * Returns the memory for bodies and responses on a machine.
 * @param limitBytes - Memory of the machine, in bytes; undefined when it is not known.
 */
export function divideMemory(limitBytes: number | undefined): MemoryBudgets {
  const usableBytes = limitBytes === undefined ? Infinity : (limitBytes - BASE_BYTES) / COPY_COUNT;
  return {
    bodyBytes: clamp(usableBytes * BODY_SHARE, MIN_BODY_BYTES, MAX_BODY_BYTES),
    responseBytes: clamp(usableBytes * (1 - BODY_SHARE), MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES),
  };
}

function clamp(value: number, minimum: number, maximum: number): number {
  return Math.floor(Math.min(Math.max(value, minimum), maximum));
}
