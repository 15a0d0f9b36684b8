import { readFileSync } from 'node:fs';
import { DEFAULT_INGRESS_LIMITS, type IngressLimits } from '../ingress/index.js';

const MIB = 1024 * 1024;

/** Part of a process's descriptors that connections to one port may take; the others are for backend servers and agents. */
const DESCRIPTOR_SHARE = 0.7;
/** Memory of the machine for each connection, in bytes; a silent one takes about a quarter of it. */
const MEMORY_PER_CONNECTION_BYTES = 64 * 1024;
/** Minimum number of connections, however small the machine. */
const MIN_CONNECTION_COUNT = 500;
/** Part of the memory for unfinished heads, and for bytes that wait for processor time. */
const MEMORY_SHARE = 1 / 24;
/** Memory of the machine for each open request beyond the first of its connection, in bytes. */
const MEMORY_PER_PIPELINED_BYTES = 512 * 1024;
/** Minimum number of such requests. */
const MIN_PIPELINED_COUNT = 200;
/** Minimum of either, in bytes; 250 heads of 16 KB. */
const MIN_BYTES = 4 * MIB;
/** Part of these limits that a port without callers has. */
const INTERNAL_SHARE = 1 / 4;
/** Minimum number of connections of a port without callers; an agent serves up to some hundred routers. */
const MIN_INTERNAL_COUNT = 600;

/** Limits that the settings state. */
export type IngressSettings = Partial<IngressLimits>;

/**
 * Returns the limits of connections to the port for callers.
 * @param memoryBytes - Memory of the machine, in bytes; undefined when it is not known.
 * @param settings - Limits that the settings state.
 * @param descriptorCount - Descriptors that the process may open; Infinity when that is not known.
 */
export function divideIngress(
  memoryBytes: number | undefined,
  settings: IngressSettings = {},
  descriptorCount = readDescriptorLimit(),
): IngressLimits {
  const defaults = DEFAULT_INGRESS_LIMITS;
  const byMemory =
    memoryBytes === undefined ? Infinity : Math.floor(memoryBytes / MEMORY_PER_CONNECTION_BYTES);
  const connectionCount = Math.min(
    defaults.connectionCount,
    Math.max(MIN_CONNECTION_COUNT, byMemory),
    Math.max(1, Math.floor(descriptorCount * DESCRIPTOR_SHARE)),
  );
  const pipelinedCount = Math.floor((memoryBytes ?? Infinity) / MEMORY_PER_PIPELINED_BYTES);
  const byteCount = Math.floor((memoryBytes ?? Infinity) * MEMORY_SHARE);
  return {
    connectionCount: settings.connectionCount ?? connectionCount,
    unfinishedBytes:
      settings.unfinishedBytes ?? Math.max(MIN_BYTES, Math.min(defaults.unfinishedBytes, byteCount)),
    waitingBytes: settings.waitingBytes ?? Math.max(MIN_BYTES, Math.min(defaults.waitingBytes, byteCount)),
    pipelinedCount:
      settings.pipelinedCount ??
      Math.max(MIN_PIPELINED_COUNT, Math.min(defaults.pipelinedCount, pipelinedCount)),
  };
}

/**
 * Returns the limits of connections to a port that serves no callers.
 * @param limits - Limits of the port for callers.
 */
export function divideInternalIngress(limits: IngressLimits): IngressLimits {
  const { connectionCount, unfinishedBytes, waitingBytes, pipelinedCount } = limits;
  const smallCount = Math.max(MIN_INTERNAL_COUNT, Math.floor(connectionCount * INTERNAL_SHARE));
  return {
    connectionCount: Math.min(connectionCount, smallCount),
    unfinishedBytes: Math.floor(unfinishedBytes * INTERNAL_SHARE),
    waitingBytes: Math.floor(waitingBytes * INTERNAL_SHARE),
    pipelinedCount,
  };
}

/** Returns the number of descriptors that this process may open; Infinity when it is not known. */
function readDescriptorLimit(): number {
  try {
    const limit = /^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'))?.[1];
    return limit === undefined ? Infinity : Number(limit);
  } catch {
    return Infinity;
  }
}
