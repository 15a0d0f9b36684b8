import { join } from 'node:path';
import { Platform } from './Platform.mjs';
import { Recorder, waitUntil } from './Recorder.mjs';
import { Store } from './Store.mjs';

/** Longest time that a case may take, in milliseconds. */
const MAX_CASE_MS = 115_000;

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * Runs a case and ends the process: with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
 * @param folder - Folder of the case, which gets the record.
 * @param run - The case; returns a text that says how the rule was broken, or undefined if it held.
 */
export async function runCase(folder, run) {
  const recorder = new Recorder(join(folder, 'record.txt'));
  const platform = new Platform(recorder);
  const store = new Store();
  const context = { recorder, platform, store, workers: [], routers: [] };
  let code = 2;
  let timer;
  const abort = (cause) => {
    recorder.write(`CASE COULD NOT RUN: ${String(cause?.stack ?? cause)}`);
    console.log(`the case could not run: ${String(cause)}`);
    void platform.stop().then(() => process.exit(2));
  };
  for (const event of ['uncaughtException', 'unhandledRejection', 'SIGTERM', 'SIGINT', 'SIGHUP']) {
    process.once(event, abort);
  }
  try {
    await platform.reserveSubnet();
    await store.start(platform.getAddress(250), 8_142);
    recorder.write('case begins', { hasTrouble });
    const timeout = new Promise((_, reject) => {
      timer = setTimeout(() => reject(new Error('the case took too long')), MAX_CASE_MS);
    });
    const broken = await Promise.race([run(context), timeout]);
    code = broken === undefined ? 0 : 1;
    recorder.write(broken === undefined ? 'RULE HELD' : `RULE BROKEN: ${broken}`);
    console.log(broken === undefined ? 'rule held' : `rule broken: ${broken}`);
  } catch (error) {
    recorder.write(`CASE COULD NOT RUN: ${String(error)}`);
    console.log(`the case could not run: ${String(error)}`);
  }
  clearTimeout(timer);
  for (const worker of context.workers) {
    worker.stop();
  }
  store.stop();
  await platform.stop();
  process.exit(code);
}

/** Starts routers and waits until all are ready. */
export async function startRouters({ platform, store, routers }, count) {
  const zones = ['salto', 'paysandu', 'montevideo'];
  for (let index = 1; index <= count; index++) {
    const zone = zones[index % 3];
    const name = `front-${zone}-${index}`;
    routers.push(
      platform.addMachine({ name, role: 'router', zone, hostNumber: index, storeAddress: store.address }),
    );
  }
  for (const router of routers) {
    if (!(await waitUntil(() => platform.isReady(router)))) {
      throw new Error(`${router.name} does not become ready`);
    }
  }
}

/** Route with the fields of the platform's configuration. */
export function makeRoute(name, kind, service, overrides) {
  return {
    Name: `r-${name}`,
    Hostname: 'quotes.example',
    PathPrefix: `/${name}/`,
    Kind: kind,
    Priority: 1,
    Service: service,
    MaxAttempts: 1,
    Sticky: false,
    CanResume: false,
    ...overrides,
  };
}

/** Limits of the configurations. */
export const LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 4_194_304,
  HeaderTimeoutMs: 5_000,
  IdleTimeoutMs: 15_000,
};
