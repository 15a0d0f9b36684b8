import type { Grant, Placement, PlacementOffer, ServerId, Versioned } from '../../domain/index.js';

/** Order of preference of the tiers; a nearer copy loads faster. */
const TIER_RANK: Readonly<Record<PlacementOffer['tier'], number>> = { memory: 0, disk: 1, remote: 2 };

/** A server of the service's pool as the platform lists it. */
export interface PoolServer {
  readonly serverId: ServerId;
  readonly dataCentre: string;
  /** Whether it is leaving or being drained. */
  readonly leaving: boolean;
}

/** What is known when a placement is reviewed. */
export interface PlacementInput {
  readonly modelId: string;
  /** Undefined when the model has no placement yet. */
  readonly placement: Versioned<Placement> | undefined;
  readonly decidedReplicas: number;
  readonly sizeBytes: number;
  readonly pool: readonly PoolServer[];
  /** Servers that acknowledged their revocation and hold the model no more. */
  readonly acknowledged: ReadonlySet<string>;
  /** Offers of servers without a grant; undefined when they were not asked for yet. */
  readonly offers: readonly PlacementOffer[] | undefined;
}

/** What is to be done about a placement. */
export type PlacementStep =
  | { readonly kind: 'keep' }
  | { readonly kind: 'askOffers' }
  | { readonly kind: 'write'; readonly value: Placement; readonly ifVersion: number };

/**
 * Decides the next step for a model's placement.
 *
 * Active and revoking grants together never exceed the decided replicas, so a model is granted anew only after the
 * earlier holder acknowledged or its instance left the platform's list.
 */
export function decidePlacement(situation: PlacementInput): PlacementStep {
  const current = situation.placement?.value;
  const kept = reviewGrants(situation, current?.grants ?? []);
  const missingCount = situation.decidedReplicas - kept.length;
  const candidates = situation.pool.filter((server) => isCandidate(server, kept));
  if (missingCount > 0 && candidates.length > 0 && !situation.offers) {
    return { kind: 'askOffers' };
  }
  const lastGrantNumber = current?.lastGrantNumber ?? 0;
  const added = missingCount > 0 ? chooseServers(situation, kept, missingCount, lastGrantNumber) : [];
  const grants = [...kept, ...added];
  const isSame = current !== undefined && JSON.stringify(grants) === JSON.stringify(current.grants);
  if (isSame && current.decidedReplicas === situation.decidedReplicas) {
    return { kind: 'keep' };
  }
  if (!current && grants.length === 0) {
    return { kind: 'keep' };
  }
  const value: Placement = {
    modelId: situation.modelId,
    decidedReplicas: situation.decidedReplicas,
    lastGrantNumber: lastGrantNumber + added.length,
    grants,
  };
  return { kind: 'write', value, ifVersion: situation.placement?.version ?? 0 };
}

/** Drops grants whose holders are gone, and revokes those that must go. */
function reviewGrants(situation: PlacementInput, grants: readonly Grant[]): Grant[] {
  const kept: Grant[] = [];
  for (const grant of grants) {
    const server = situation.pool.find((candidate) => candidate.serverId === grant.serverId);
    const isOver = grant.state === 'revoking' && situation.acknowledged.has(grant.serverId);
    if (server && !isOver) {
      kept.push(grant);
    }
  }
  const stayingCount = kept.filter(
    (grant) => !isLeaving(situation, grant) && grant.state === 'active',
  ).length;
  const hasRoom = kept.length < situation.decidedReplicas;
  let surplusCount = kept.filter((grant) => grant.state === 'active').length - situation.decidedReplicas;
  return kept.map((grant) => {
    const mustGo = isLeaving(situation, grant) && (stayingCount > 0 || !hasRoom);
    if (grant.state === 'active' && (mustGo || surplusCount > 0)) {
      surplusCount--;
      return { ...grant, state: 'revoking' };
    }
    return grant;
  });
}

function isLeaving(situation: PlacementInput, grant: Grant): boolean {
  return situation.pool.some((server) => server.serverId === grant.serverId && server.leaving);
}

function isCandidate(server: PoolServer, kept: readonly Grant[]): boolean {
  return !server.leaving && !kept.some((grant) => grant.serverId === server.serverId);
}

/** Grants the model to the servers whose offers are best. */
function chooseServers(
  situation: PlacementInput,
  kept: readonly Grant[],
  count: number,
  lastGrantNumber: number,
): Grant[] {
  const dataCentreOf = new Map(situation.pool.map((server) => [String(server.serverId), server.dataCentre]));
  const takenDataCentres = new Set(kept.map((grant) => dataCentreOf.get(grant.serverId)));
  const remaining = (situation.offers ?? []).filter((offer) => isAcceptable(situation, kept, offer));
  const chosen: Grant[] = [];
  while (chosen.length < count && remaining.length > 0) {
    remaining.sort((left, right) => scoreOf(left) - scoreOf(right));
    const best = remaining.shift();
    if (best) {
      takenDataCentres.add(dataCentreOf.get(best.serverId));
      chosen.push({
        serverId: best.serverId,
        grantNumber: lastGrantNumber + chosen.length + 1,
        state: 'active',
      });
    }
  }
  return chosen;

  /** Lower is better: another data centre first, then a near copy, then few models and free memory. */
  function scoreOf(offer: PlacementOffer): number {
    const sharesDataCentre = takenDataCentres.has(dataCentreOf.get(offer.serverId)) ? 1 : 0;
    const isTight = offer.freeBytes < situation.sizeBytes ? 1 : 0;
    const fill = 1 - offer.freeBytes / Math.max(1, offer.capacityBytes);
    return sharesDataCentre * 1000 + TIER_RANK[offer.tier] * 100 + isTight * 50 + offer.grantCount + fill;
  }
}

function isAcceptable(situation: PlacementInput, kept: readonly Grant[], offer: PlacementOffer): boolean {
  const server = situation.pool.find((candidate) => candidate.serverId === offer.serverId);
  return (
    server !== undefined &&
    isCandidate(server, kept) &&
    !offer.leaving &&
    offer.capacityBytes >= situation.sizeBytes
  );
}
