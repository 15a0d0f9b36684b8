const MIB = 1024 * 1024;

/** Limits of what untrusted connections to one port take before they have a complete request. */
export interface IngressLimits {
  /** Maximum number of open connections. */
  readonly connectionCount: number;
  /** Memory for heads, trailers and chunk framing that have begun and not ended, over all connections, in bytes. */
  readonly unfinishedBytes: number;
  /** Memory for received bytes that wait for processor time, over all connections, in bytes. */
  readonly waitingBytes: number;
  /** Number of requests, over all connections, from which no connection may have more than one of them. */
  readonly pipelinedCount: number;
}

/** Limits of a port whose process does not know its memory and descriptors. */
export const DEFAULT_INGRESS_LIMITS: IngressLimits = {
  connectionCount: 8_000,
  unfinishedBytes: 16 * MIB,
  waitingBytes: 16 * MIB,
  pipelinedCount: 1_000,
};
