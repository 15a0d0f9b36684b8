import { SystemClock } from '../kernel/SystemClock.js';
import { ProcessLifecycle } from './ProcessLifecycle.js';

/** Lifecycle of this process, which logs to the standard error; handles its signals from the first import of this module on. */
export const lifecycle = new ProcessLifecycle({
  target: process,
  clock: new SystemClock(),
  output: {
    writeLine: (line) => process.stderr.write(`${line}\n`),
    flush: () => Promise.resolve(),
    writeLastLine: (line) => process.stderr.write(`${line}\n`),
  },
  canReload: false,
});

for (const stream of [process.stdout, process.stderr]) {
  // A reader that has gone is no reason to end, and nowhere is left to log it.
  stream.on('error', () => undefined);
}

if (process.argv.some((argument) => argument.startsWith('--settings'))) {
  lifecycle.logStartAndEnd();
}
