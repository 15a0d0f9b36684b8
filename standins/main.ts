/** Runs one stand-in as a separate process: `main.js KIND OPTIONS_JSON`; prints `ready PORT` once it listens. */
import { EngineStandIn, type EngineOptions } from './EngineStandIn.js';
import { OrderServiceStandIn } from './OrderServiceStandIn.js';
import { PlatformStandIn } from './PlatformStandIn.js';
import type { WeightStoreLimits } from './WeightStoreStandIn.js';

const [kind, optionsJson = '{}'] = process.argv.slice(2);
const options = JSON.parse(optionsJson) as { port?: number } & Record<string, unknown>;

async function main(): Promise<number> {
  switch (kind) {
    case 'platform':
      return new PlatformStandIn(options as unknown as WeightStoreLimits).start(options.port);
    case 'engine':
      return new EngineStandIn(options as unknown as EngineOptions).start(options.port);
    case 'orders':
      return new OrderServiceStandIn(Number(options.workMs ?? 20)).start(options.port);
    case undefined:
    default:
      throw new Error(`Unknown stand-in ${String(kind)}; allowed: platform, engine, orders.`);
  }
}

process.stdout.write(`ready ${await main()}\n`);
