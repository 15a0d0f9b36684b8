import { SystemClock } from '../kernel/index.js';
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

if (process.argv.some((argument) => argument.startsWith('--settings'))) {
  lifecycle.logStartAndEnd();
}
