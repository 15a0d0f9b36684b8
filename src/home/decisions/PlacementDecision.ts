import type { Grant, Placement, PlacementOffer, ServerId, Versioned } from '../../domain/index.js';

/** Rank of the tiers; a lower one loads faster. */
const TIER_RANK: Readonly<Record<PlacementOffer['tier'], number>> = { memory: 0, disk: 1, remote: 2 };

/** A server of the service's pool as listed by the platform. */
export interface PoolServer {
  readonly serverId: ServerId;
  readonly dataCentre: string;
  /** Whether it is leaving or being drained. */
  readonly leaving: boolean;
}

/** Input of a placement review. */
export interface PlacementInput {
  readonly modelId: string;
  /** Undefined when the model has no placement yet. */
  readonly placement: Versioned<Placement> | undefined;
  readonly decidedReplicas: number;
  readonly sizeBytes: number;
  readonly pool: readonly PoolServer[];
  /** Servers that acknowledged the current placement and no longer hold the model. */
  readonly acknowledged: ReadonlySet<string>;
  /** Offers of servers without a grant; undefined when they were not requested yet. */
  readonly offers: readonly PlacementOffer[] | undefined;
}

/** Next step for a placement. */
export type PlacementStep =
  | { readonly kind: 'keep' }
  | { readonly kind: 'askOffers' }
  | { readonly kind: 'write'; readonly value: Placement; readonly ifVersion: number };

/**
 * Decides the next step for a model's placement.
 *
 * Active and revoking grants together never exceed the decided replicas, so a revoked grant is replaced only after its
 * server acknowledged the revocation or its instance left the platform's list.
 */
export function decidePlacement(input: PlacementInput): PlacementStep {
  const current = input.placement?.value;
  const kept = reviewGrants(input, current?.grants ?? []);
  const missingCount = input.decidedReplicas - kept.length;
  const candidates = input.pool.filter((server) => isCandidate(server, kept));
  if (missingCount > 0 && candidates.length > 0 && !input.offers) {
    return { kind: 'askOffers' };
  }
  const lastGrantNumber = current?.lastGrantNumber ?? 0;
  const added = missingCount > 0 ? chooseServers(input, kept, missingCount, lastGrantNumber) : [];
  const grants = [...kept, ...added];
  const isUnchanged = current !== undefined && JSON.stringify(grants) === JSON.stringify(current.grants);
  if (isUnchanged && current.decidedReplicas === input.decidedReplicas) {
    return { kind: 'keep' };
  }
  if (!current && grants.length === 0) {
    return { kind: 'keep' };
  }
  const value: Placement = {
    modelId: input.modelId,
    decidedReplicas: input.decidedReplicas,
    lastGrantNumber: lastGrantNumber + added.length,
    grants,
  };
  return { kind: 'write', value, ifVersion: input.placement?.version ?? 0 };
}

/** Removes grants whose server is gone or acknowledged the revocation; revokes those of leaving or surplus servers. */
function reviewGrants(input: PlacementInput, grants: readonly Grant[]): Grant[] {
  const kept: Grant[] = [];
  for (const grant of grants) {
    const server = input.pool.find((candidate) => candidate.serverId === grant.serverId);
    const isRevoked = grant.state === 'revoking' && input.acknowledged.has(grant.serverId);
    if (server && !isRevoked) {
      kept.push(grant);
    }
  }
  const stayingCount = kept.filter((grant) => !isLeaving(input, grant) && grant.state === 'active').length;
  const canGrantMore = kept.length < input.decidedReplicas;
  let surplusCount = kept.filter((grant) => grant.state === 'active').length - input.decidedReplicas;
  return kept.map((grant) => {
    const mustRevoke = isLeaving(input, grant) && (stayingCount > 0 || !canGrantMore);
    if (grant.state === 'active' && (mustRevoke || surplusCount > 0)) {
      surplusCount--;
      return { ...grant, state: 'revoking' };
    }
    return grant;
  });
}

function isLeaving(input: PlacementInput, grant: Grant): boolean {
  return input.pool.some((server) => server.serverId === grant.serverId && server.leaving);
}

function isCandidate(server: PoolServer, kept: readonly Grant[]): boolean {
  return !server.leaving && !kept.some((grant) => grant.serverId === server.serverId);
}

/** Grants the model to the servers with the best offers. */
function chooseServers(
  input: PlacementInput,
  kept: readonly Grant[],
  count: number,
  lastGrantNumber: number,
): Grant[] {
  const dataCentreByServer = new Map(
    input.pool.map((server) => [String(server.serverId), server.dataCentre]),
  );
  const usedDataCentres = new Set(kept.map((grant) => dataCentreByServer.get(grant.serverId)));
  const remaining = (input.offers ?? []).filter((offer) => isAcceptable(input, kept, offer));
  const chosen: Grant[] = [];
  while (chosen.length < count && remaining.length > 0) {
    remaining.sort((left, right) => getScore(left) - getScore(right));
    const best = remaining.shift();
    if (best) {
      usedDataCentres.add(dataCentreByServer.get(best.serverId));
      chosen.push({
        serverId: best.serverId,
        grantNumber: lastGrantNumber + chosen.length + 1,
        state: 'active',
      });
    }
  }
  return chosen;

  /** Lower is better: unused data centre first, then faster tier, enough free memory, few grants, low memory use. */
  function getScore(offer: PlacementOffer): number {
    const sharesDataCentre = usedDataCentres.has(dataCentreByServer.get(offer.serverId)) ? 1 : 0;
    const lacksSpace = offer.freeBytes < input.sizeBytes ? 1 : 0;
    const usage = 1 - offer.freeBytes / Math.max(1, offer.capacityBytes);
    return sharesDataCentre * 1000 + TIER_RANK[offer.tier] * 100 + lacksSpace * 50 + offer.grantCount + usage;
  }
}

function isAcceptable(input: PlacementInput, kept: readonly Grant[], offer: PlacementOffer): boolean {
  const server = input.pool.find((candidate) => candidate.serverId === offer.serverId);
  return (
    server !== undefined &&
    isCandidate(server, kept) &&
    !offer.leaving &&
    offer.capacityBytes >= input.sizeBytes
  );
}
