/** Loaded before a program of the soak; adds the delays of its event loop to its output. */
import { formatDelay, watchEventLoop } from './watchEventLoop.js';

watchEventLoop((delay) => process.stderr.write(`${formatDelay(delay)}\n`));
