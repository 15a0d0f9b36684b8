import { expect } from 'chai';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { StoreClient } from '../../platform/StoreClient.js';
import { StoreFleetSource } from '../../platform/StoreFleetSource.js';
import { toServerId } from '../../src/domain/index.js';
import { FleetView, FleetWatcher } from '../../src/direct/index.js';
import { Random, SystemClock } from '../../src/kernel/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';

/** The shorter of the platform's bounds for a configuration (`ConfigApplyMs`) and for a leaving server (`DrainMs`). */
const BOUND_MS = 2_000;

const LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 100_000,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

/** Store whose objects the test sets; every watch that is open at a change falls silent instead of telling of it. */
class ForgetfulStore {
  version = 1;
  state = 'ready';
  private changedAtMs = Infinity;
  private silentForMs = 0;
  private readonly server: Server;

  constructor() {
    this.server = createServer((incoming, response) => {
      const url = new URL(incoming.url ?? '', 'http://store');
      const kind = url.pathname.split('/').at(-1) ?? '';
      const openedAtMs = Date.now();
      const waitMs = Number(url.searchParams.get('WaitMs') ?? 0);
      const since = url.searchParams.get('Watch');
      const reply = () => {
        if (openedAtMs < this.changedAtMs + this.silentForMs && Date.now() >= this.changedAtMs) {
          return;
        }
        const items = kind === 'config' ? [this.configuration] : [this.entry];
        const events =
          Number(since) < this.version ? items.map((Object) => ({ Tombstone: false, Object })) : [];
        const page = since === null ? { items, HasMore: false } : { events };
        response.end(JSON.stringify({ ...page, StoreRevision: this.version }));
      };
      setTimeout(reply, since === null || Number(since) < this.version ? 0 : waitMs);
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Writes a newer configuration and lets the server leave; watches opened until `silentForMs` later are silent too. */
  change(silentForMs: number): void {
    this.version++;
    this.state = 'draining';
    this.changedAtMs = Date.now();
    this.silentForMs = silentForMs;
  }

  /** Writes both again as they are, so that all watches tell of a change. */
  touch(): void {
    this.version++;
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private get configuration() {
    const spec = { Version: this.version, Routes: [], Services: [], Limits: LIMITS };
    return { Metadata: { Name: 'main', Rev: this.version }, Spec: spec };
  }

  private get entry() {
    const spec = { Service: 's', Address: '10.0.0.1:1', Zone: 'z', Slots: 4, State: this.state };
    return { Metadata: { Name: 'i-1', Rev: this.version }, Spec: spec };
  }
}

describe('a watch that falls silent', () => {
  let store: ForgetfulStore;
  let view: FleetView;
  let watcher: FleetWatcher;

  beforeEach(async () => {
    store = new ForgetfulStore();
    const address = await store.listen();
    view = new FleetView();
    watcher = new FleetWatcher({
      clock: new SystemClock(),
      random: new Random(1),
      source: new StoreFleetSource(new StoreClient(() => address)),
      view,
      log: new Log('test', () => undefined),
      metrics: new Metrics(),
    });
    await watcher.start();
    await until(() => view.isComplete, 1_000);
  });

  afterEach(async () => {
    await watcher.stop();
    store.close();
  });

  async function expectNewsInTime(): Promise<void> {
    const version = store.version;
    const isTold = () =>
      view.configuration?.version === version && view.getEntry(toServerId('i-1'))?.isLeaving === true;
    await until(isTold, BOUND_MS);
    expect(isTold()).to.equal(true);
  }

  it('delays neither a configuration nor a leaving server beyond their bounds', async () => {
    // Both watches have only just begun, so their time-outs are as far off as they can be.
    await pauseMs(30);
    store.change(0);
    await expectNewsInTime();
  });

  it('does not, either, when it follows the pause after other changes', async () => {
    store.touch();
    await until(() => view.configuration?.version === store.version, 1_500);
    store.change(700);
    await expectNewsInTime();
  });
});

function pauseMs(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Waits until something is so, or the time is over. */
async function until(isSo: () => boolean, limitMs: number): Promise<void> {
  const endsAtMs = Date.now() + limitMs;
  while (!isSo() && Date.now() < endsAtMs) {
    await pauseMs(10);
  }
}
