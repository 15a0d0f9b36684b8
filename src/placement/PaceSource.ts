import type { ServerId } from '../domain/index.js';

/** What is known of the speed of backend servers. */
export interface PaceSource {
  /**
   * Returns the time that a server takes for a step, as a multiple of the usual one.
   * @param serverId - The server.
   */
  getPaceFactor(serverId: ServerId): number;
  /**
   * Returns the expected time between two events of a stream, in milliseconds; undefined if it is not known.
   * @param serverId - The server.
   * @param model - Name of the model.
   */
  getExpectedGapMs(serverId: ServerId, model: string): number | undefined;
}
