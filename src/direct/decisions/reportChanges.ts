import type { AgentReport } from './ServerEntry.js';

/** Fields of a report that differ from the previous report; all fields where there was none. */
export type ReportChanges = Partial<AgentReport> & Pick<AgentReport, 'address'>;

/**
 * Returns the fields that differ between two reports of an agent, so that unchanged fields are not sent again.
 * @param previous - Report that the receiver has, if any.
 * @param current - Report to send.
 */
export function findReportChanges(previous: AgentReport | undefined, current: AgentReport): ReportChanges {
  if (!previous) {
    return current;
  }
  const changes: Record<string, unknown> = { address: current.address };
  for (const [field, value] of Object.entries(current)) {
    if (JSON.stringify(previous[field as keyof AgentReport]) !== JSON.stringify(value)) {
      changes[field] = value;
    }
  }
  if (previous.loadingModel !== undefined && current.loadingModel === undefined) {
    // JSON has no undefined, so an empty name marks the end of a load.
    changes.loadingModel = '';
  }
  return changes as ReportChanges;
}

/**
 * Applies changes to the report that they are based on.
 * @param previous - Report that the changes are based on; absent when the changes are a complete report.
 * @param changes - Fields that differ.
 */
export function applyReportChanges(previous: AgentReport | undefined, changes: ReportChanges): AgentReport {
  const report = { ...previous, ...changes } as AgentReport;
  return report.loadingModel === '' ? { ...report, loadingModel: undefined } : report;
}
