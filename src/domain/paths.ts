/** Prefix of the objects that every router replicates. */
export const STATE_PREFIX = 'state/';
export const SERVICE_PREFIX = 'state/services/';
export const ORGANISATION_PREFIX = 'state/organisations/';
export const PLACEMENT_PREFIX = 'state/placements/';
export const QUARANTINE_PREFIX = 'state/quarantine/';
export const DRAIN_PREFIX = 'state/drains/';
export const CLAIM_PREFIX = 'claims/';
export const BUDGET_PREFIX = 'budgets/';
export const AUDIT_PREFIX = 'audit/';
