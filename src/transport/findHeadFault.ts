import type { IncomingMessage } from 'node:http';

/** Lowest status with which a response can end; lower ones belong to interim responses or to none. */
const MIN_FINAL_STATUS = 200;
/** Highest status; RFC 9110, section 15. */
const MAX_STATUS = 599;
/** Major version whose syntax the connection has; RFC 9112, section 2.3. */
const MAJOR_VERSION = 1;

/**
 * Whether a status is one with which a response can end.
 * @param status - Status of a response.
 */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}

/**
 * Returns what is wrong with the first line of a response that could be parsed; undefined if nothing is.
 * @param response - Response of which the head was received.
 */
export function findHeadFault({
  statusCode,
  httpVersion,
  httpVersionMajor,
}: IncomingMessage): string | undefined {
  if (httpVersionMajor !== MAJOR_VERSION) {
    return `the answer is of version ${httpVersion} of the protocol`;
  }
  return isFinalStatus(statusCode ?? 0) ? undefined : `the status ${statusCode ?? 0} is not a final one`;
}
