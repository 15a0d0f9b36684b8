import { SystemClock } from '../kernel/SystemClock.js';
import { BoundedOutput } from '../telemetry/BoundedOutput.js';
import { ProcessLifecycle } from './ProcessLifecycle.js';

/** Standard output of this process. */
export const output = new BoundedOutput(new SystemClock());

/** Lifecycle of this process, which logs to the standard output; handles its signals from the first import of this module on. */
export const lifecycle = new ProcessLifecycle(
  process,
  {
    writeLine: (line) => output.writeUrgent(line),
    flush: () => output.stop(),
    writeLastLine: (line) => process.stdout.write(`${line}\n`),
  },
  true,
);

lifecycle.logStartAndEnd();
