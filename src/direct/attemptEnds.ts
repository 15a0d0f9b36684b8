import type { AttemptEnd } from './BackendAttempt.js';

/** Whether the result of an attempt is a fault of the server rather than of the request. */
export function isServerFault(end: AttemptEnd): boolean {
  switch (end.kind) {
    case 'unreachable':
    case 'broken':
      return true;
    case 'answered':
      return end.head.status >= 500;
    case 'notRun':
      return end.status === 503;
    case 'streamed':
    case 'cancelled':
      return false;
  }
}

/** Describes the result of an attempt for the log. */
export function describeEnd(end: AttemptEnd): string {
  switch (end.kind) {
    case 'unreachable':
    case 'broken':
      return end.detail;
    case 'notRun':
      return `status ${end.status}${end.isOtherServer ? ', another server' : ''}`;
    case 'answered':
      return `status ${end.head.status}`;
    case 'streamed':
    case 'cancelled':
      return '';
  }
}
