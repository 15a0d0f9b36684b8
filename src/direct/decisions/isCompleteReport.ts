import type { AgentReport } from './ServerEntry.js';

const NUMBER_FIELDS = [
  'bornAtMs',
  'orderCount',
  'waitingCount',
  'runningCount',
  'usedCacheTokens',
  'cacheTokens',
  'loadingForMs',
  'routerCount',
] as const satisfies readonly (keyof AgentReport)[];
const NAME_LIST_FIELDS = [
  'comingAdapters',
  'modelsInMemory',
  'modelsOnDisk',
  'queuedModels',
] as const satisfies readonly (keyof AgentReport)[];

/**
 * Whether a report has all the fields that decisions rely on. An agent of another version or with a fault may send others,
 * which must not reach the decisions.
 * @param report - Report as assembled from an agent's messages.
 */
export function isCompleteReport(report: AgentReport): boolean {
  return (
    NUMBER_FIELDS.every((field) => Number.isFinite(report[field])) &&
    NAME_LIST_FIELDS.every((field) => isNameList(report[field])) &&
    Array.isArray(report.heldModels) &&
    report.heldModels.every((held: unknown) => isHeldModel(held)) &&
    isRecord(report.uses) &&
    Object.values(report.uses).every((use: unknown) => isRecord(use)) &&
    isRecord(report.crashCounts) &&
    isLimit(report.maxRequestsPerSecond) &&
    (report.configurationVersion === undefined || Number.isFinite(report.configurationVersion))
  );
}

function isLimit(value: unknown): boolean {
  return value === undefined || value === null || (Number.isFinite(value) && Number(value) >= 0);
}

function isHeldModel(value: unknown): boolean {
  return isRecord(value) && typeof value.name === 'string' && isNameList(value.adapters);
}

function isNameList(value: unknown): boolean {
  return Array.isArray(value) && value.every((name) => typeof name === 'string');
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
