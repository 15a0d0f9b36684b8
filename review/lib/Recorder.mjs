import { appendFileSync, writeFileSync } from 'node:fs';

/** Writes what was sent, answered and run to the record file of a case, one line each with the time since the start. */
export class Recorder {
  constructor(file) {
    this.file = file;
    this.startedAtMs = performance.now();
    writeFileSync(file, '');
  }

  /** Time since the start, in milliseconds. */
  nowMs() {
    return Math.round(performance.now() - this.startedAtMs);
  }

  /** Writes one line. */
  write(what, fields = {}) {
    const text = Object.entries(fields)
      .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
      .join(' ');
    appendFileSync(this.file, `${String(this.nowMs()).padStart(6)} ms  ${what}${text ? `  ${text}` : ''}\n`);
  }
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Polls a condition; returns false if it does not hold in time. */
export async function waitUntil(condition, timeoutMs = 15_000) {
  const untilMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > untilMs) {
      return false;
    }
    await sleep(25);
  }
  return true;
}
