import type { ServerId } from '../../domain/index.js';
import type { PaceEstimator } from './PaceEstimator.js';

/**
 * Describes the pace of a stream and what was known of it, for the log; -1 stands for an unknown time.
 * @param pace - Estimated paces.
 * @param serverId - Server of the stream.
 * @param model - Its model, if any.
 * @param eventGapMs - Measured mean time between two events, in milliseconds, if it is known.
 */
export function describePace(
  pace: PaceEstimator,
  serverId: ServerId,
  model: string | undefined,
  eventGapMs: number | undefined,
): { readonly eventGapMs: number; readonly expectedGapMs: number; readonly paceFactor: number } {
  const expectedGapMs = model === undefined ? undefined : pace.getExpectedGapMs(serverId, model);
  return {
    eventGapMs: Math.round(eventGapMs ?? -1),
    expectedGapMs: Math.round(expectedGapMs ?? -1),
    paceFactor: Number(pace.getPaceFactor(serverId).toFixed(2)),
  };
}
