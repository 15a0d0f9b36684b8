/** Loaded before a program of the soak; adds the delays of its event loop to its output. */
import { watchEventLoop } from './watchEventLoop.js';

watchEventLoop((line) => process.stderr.write(`${line}\n`));
