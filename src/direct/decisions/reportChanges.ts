import type { AgentReport } from './ServerEntry.js';

/** What of a report differs from the one before; the whole report where there was none. */
export type ReportChanges = Partial<AgentReport> & Pick<AgentReport, 'address'>;

/**
 * Finds what differs between two reports of one agent, so that what stays is not sent again.
 * @param before - Report that the other end has, if any.
 * @param now - Report that it is to have.
 */
export function findReportChanges(before: AgentReport | undefined, now: AgentReport): ReportChanges {
  if (!before) {
    return now;
  }
  const changes: Record<string, unknown> = { address: now.address };
  for (const [field, value] of Object.entries(now)) {
    if (JSON.stringify(before[field as keyof AgentReport]) !== JSON.stringify(value)) {
      changes[field] = value;
    }
  }
  if (before.loadingModel !== undefined && now.loadingModel === undefined) {
    // JSON has no undefined, so that a load is over is said with an empty name.
    changes.loadingModel = '';
  }
  return changes as ReportChanges;
}

/**
 * Applies changes to the report that they are based on.
 * @param before - That report; absent when the changes are a whole report.
 * @param changes - What differs.
 */
export function applyReportChanges(before: AgentReport | undefined, changes: ReportChanges): AgentReport {
  const report = { ...before, ...changes } as AgentReport;
  return report.loadingModel === '' ? { ...report, loadingModel: undefined } : report;
}
