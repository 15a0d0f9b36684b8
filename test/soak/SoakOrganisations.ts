import type { Random } from '../../src/kernel/index.js';
import { sleepMs } from '../waiting.js';
import type { SoakCallers } from './SoakCallers.js';
import { sendUnfinishedBodies } from './SoakCrowd.js';
import type { SoakFleet } from './SoakFleet.js';
import type { SoakRecorder } from './SoakRecorder.js';

/** Key that no configuration ever holds. */
const UNKNOWN_KEY = 'k-unknown';
const UNKNOWN_KEY_PROBABILITY = 0.02;
/** Keys by organisation; the second one of an organisation is revoked and reinstated. */
const KEYS: Readonly<Record<string, readonly string[]>> = {
  acme: ['k-acme-1', 'k-acme-2'],
  globex: ['k-globex-1', 'k-globex-2'],
  hot: ['k-hot'],
};
/** Organisation with a quota. */
export const LIMITED_ORGANISATION = 'hot';
/** Numbers of requests per second that the quota changes between; its burst is half of that. */
const RATES = [20, 10, 40];
/** Time between two changes, and range of its random part, in milliseconds. */
const MIN_CHANGE_INTERVAL_MS = 600;
const CHANGE_INTERVAL_RANGE_MS = 1_200;
/** Number of extra requests of the limited organisation in a burst, and time between two of them, in milliseconds. */
const BURST_COUNT = 60;
const BURST_INTERVAL_MS = 15;

/** Key with which a caller sends a request, and the organisation it belongs to; none for an unknown key. */
export interface DrawnKey {
  readonly key: string;
  readonly organisation: string | undefined;
}

/** Organisations of the configuration: draws the keys of callers, and changes keys, quotas and load. */
export class SoakOrganisations {
  private readonly revokedKeys = new Set<string>();
  private ratePerSecond = RATES[0] ?? 0;
  private timer: NodeJS.Timeout | undefined;
  private pendingChange: Promise<void> = Promise.resolve();

  constructor(
    private readonly fleet: SoakFleet,
    private readonly recorder: SoakRecorder,
    private readonly random: Random,
  ) {}

  /** Organisations in the format of the configuration. */
  getEntries(): Record<string, unknown>[] {
    return Object.entries(KEYS).map(([Name, keys]) => ({
      Name,
      ApiKeys: keys.filter((key) => !this.revokedKeys.has(key)),
      ...(Name === LIMITED_ORGANISATION
        ? { Unit: 'requests', RatePerS: this.ratePerSecond, Burst: this.ratePerSecond / 2 }
        : {}),
    }));
  }

  /** Draws the key of a request. */
  drawKey(): DrawnKey {
    if (this.random.nextFraction() < UNKNOWN_KEY_PROBABILITY) {
      return { key: UNKNOWN_KEY, organisation: undefined };
    }
    const names = Object.keys(KEYS);
    return this.drawKeyOf(names[this.random.nextInt(names.length)] ?? '');
  }

  /** Records the limits that apply from now on, and begins to change keys, quotas and load. */
  start(callers: SoakCallers): void {
    this.recordQuota();
    this.scheduleNextChange(callers);
  }

  async stop(): Promise<void> {
    clearTimeout(this.timer);
    await this.pendingChange;
  }

  private drawKeyOf(organisation: string): DrawnKey {
    const keys = KEYS[organisation] ?? [];
    return { key: keys[this.random.nextInt(keys.length)] ?? UNKNOWN_KEY, organisation };
  }

  private scheduleNextChange(callers: SoakCallers): void {
    const intervalMs = MIN_CHANGE_INTERVAL_MS + this.random.nextInt(CHANGE_INTERVAL_RANGE_MS);
    this.timer = setTimeout(() => {
      this.pendingChange = this.change(callers);
      this.scheduleNextChange(callers);
    }, intervalMs);
  }

  private async change(callers: SoakCallers): Promise<void> {
    switch (this.random.nextInt(4)) {
      case 0:
        this.changeKey();
        return;
      case 1:
        this.ratePerSecond = RATES[this.random.nextInt(RATES.length)] ?? this.ratePerSecond;
        this.fleet.publishConfiguration();
        this.recordQuota();
        return;
      case 2: {
        const { routers, callerPort } = this.fleet;
        const router = routers[this.random.nextInt(routers.length)];
        await sendUnfinishedBodies(router?.ip ?? '', callerPort, this.drawKeyOf('acme').key);
        return;
      }
      default:
        for (let count = 0; count < BURST_COUNT; count++) {
          callers.send('read', this.drawKeyOf(LIMITED_ORGANISATION));
          await sleepMs(BURST_INTERVAL_MS);
        }
    }
  }

  /** Revokes the second key of an organisation, or reinstates it. */
  private changeKey(): void {
    const key = [KEYS.acme?.[1], KEYS.globex?.[1]][this.random.nextInt(2)] ?? '';
    const isValid = this.revokedKeys.delete(key);
    if (!isValid) {
      this.revokedKeys.add(key);
    }
    this.fleet.publishConfiguration();
    this.recorder.keyChanges.push({ key, isValid, atMs: Date.now() });
  }

  private recordQuota(): void {
    this.recorder.quotaChanges.push({ ratePerSecond: this.ratePerSecond, atMs: Date.now() });
  }
}
