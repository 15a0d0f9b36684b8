import {
  getEvictionCostMs,
  type EvictionPolicy,
  type KnownServer,
  type PlacementRequirements,
} from '../../direct/decisions/index.js';
import type { CopyValues } from './CopyValues.js';

/**
 * Evictions where the engines hold only a part of the models: each engine gives up what it has used least, so that models take
 * turns. A model in interactive use gives up its surplus replicas only.
 *
 * With the values of copies instead, live models lost replicas to batch models on such fleets: twice as many live streams were
 * late on days with crashes.
 */
export class TurnTaking implements EvictionPolicy {
  readonly isFleetWide = false;

  /** @param values - Values of the copies, which tell the surplus replicas. */
  constructor(private readonly values: CopyValues) {}

  getCostMs(server: KnownServer, model: string, requirements: PlacementRequirements): number | undefined {
    const use = server.report?.uses[model];
    const isEvictable =
      use?.isProtected === false ||
      this.values.getKind(server, model) === 'surplus' ||
      (requirements.isInteractive && use?.runningCount === 0);
    return use && isEvictable ? getEvictionCostMs(use) : undefined;
  }

  getPacePenaltyMs(): number {
    return 0;
  }

  /**
   * Returns the models in interactive use that a server may give up.
   * @param server - The server.
   */
  getSurplusModels(server: KnownServer): string[] {
    const names = Object.keys(server.report?.uses ?? {});
    return names.filter((name) => this.values.getKind(server, name) === 'surplus');
  }
}
