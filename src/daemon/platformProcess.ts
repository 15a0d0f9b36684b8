import { SystemClock } from '../kernel/SystemClock.js';
import { BoundedOutput } from '../telemetry/BoundedOutput.js';
import { ProcessLifecycle } from './ProcessLifecycle.js';

const clock = new SystemClock();

/** Standard output of this process. */
export const output = new BoundedOutput(clock);

/** Lifecycle of this process, which logs to the standard output; handles its signals from the first import of this module on. */
export const lifecycle = new ProcessLifecycle({
  target: process,
  clock,
  output: {
    writeLine: (line) => output.writeUrgent(line),
    flush: () => output.stop(),
    writeLastLine: (line) => process.stdout.write(`${line}\n`),
  },
  canReload: true,
});

lifecycle.logStartAndEnd();
