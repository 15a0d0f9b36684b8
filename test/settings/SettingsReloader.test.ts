import { expect } from 'chai';
import { SettingsReloader } from '../../src/settings/index.js';
import { Log } from '../../src/telemetry/index.js';
import { ManualClock } from '../fakes/ManualClock.js';
import { flushPromises } from '../waiting.js';

/** Number of signals in a series. */
const SERIES_LENGTH = 2_000;
/** Maximum number of lines in a period about reads that change nothing. */
const MAX_LINES = 20;
const LINE_PERIOD_MS = 10_000;

/** Log that records the fields of its lines. */
class RecordingLog extends Log {
  readonly lines: Readonly<Record<string, unknown>>[] = [];

  constructor() {
    super('test', () => undefined);
  }

  override info(_change: string, fields: Readonly<Record<string, string | number | boolean>>): void {
    this.lines.push(fields);
  }

  override warn(_change: string, fields: Readonly<Record<string, string | number | boolean>>): void {
    this.lines.push(fields);
  }
}

describe('SettingsReloader', () => {
  describe('reload', () => {
    it('applies new settings and keeps the previous ones when the new ones are invalid', async () => {
      let file: { value: number } | Error = { value: 1 };
      let applied = { value: 0 };
      const reloader = new SettingsReloader({
        clock: new ManualClock(),
        log: new Log('test', () => undefined),
        read: () => (file instanceof Error ? Promise.reject(file) : Promise.resolve(file)),
        apply: (settings) => {
          applied = settings;
        },
      });
      await reloader.reload('signal');
      expect(applied.value).to.equal(1);
      file = new Error('not JSON');
      await reloader.reload('signal');
      expect(applied.value).to.equal(1);
    });

    it('reloads periodically without a signal', async () => {
      const clock = new ManualClock();
      let readCount = 0;
      const reloader = new SettingsReloader({
        clock,
        log: new Log('test', () => undefined),
        read: () => Promise.resolve(++readCount),
        apply: () => undefined,
      });
      await reloader.start();
      clock.advance(11_000);
      await reloader.stop();
      clock.advance(11_000);
      expect(readCount).to.equal(2);
    });

    // Issue 39, FAULT: of two reads that overlapped, the older one could end last and apply the older file for up to 5 s.
    it('applies the newest file when the reads take different times', async () => {
      const reads: ((file: string) => void)[] = [];
      let applied = '';
      const reloader = new SettingsReloader({
        clock: new ManualClock(),
        log: new Log('test', () => undefined),
        read: () => new Promise<string>((resolve) => reads.push(resolve)),
        apply: (settings) => {
          applied = settings;
        },
      });
      const first = reloader.reload('signal');
      const second = reloader.reload('signal');
      reads[1]?.('new');
      await flushPromises();
      reads[0]?.('old');
      await first;
      reads[1]?.('new');
      await second;
      expect(applied).to.equal('new');
    });

    // Issue 39, FAULT: each signal of a series began a read of its own, all at the same time.
    it('reads once more for all calls during a read, and resolves them after that read', async () => {
      const reads: ((file: string) => void)[] = [];
      const log = new RecordingLog();
      const reloader = new SettingsReloader({
        clock: new ManualClock(),
        log,
        read: () => new Promise<string>((resolve) => reads.push(resolve)),
        apply: () => undefined,
      });
      const first = reloader.reload('signal');
      let resolvedCount = 0;
      const count = () => resolvedCount++;
      const later = Array.from({ length: SERIES_LENGTH }, () => reloader.reload('signal').then(count));
      void reloader.reload('interval');
      expect(reads).to.have.length(1);
      reads[0]?.('file');
      await first;
      await flushPromises();
      expect(reads).to.have.length(2);
      expect(resolvedCount).to.equal(0);
      reads[1]?.('file');
      await Promise.all(later);
      expect(resolvedCount).to.equal(SERIES_LENGTH);
      expect(reads).to.have.length(2);
      expect(log.lines.map(({ cause }) => cause)).to.deep.equal(['signal', 'signal']);
    });

    it('reads again after a read that failed, for a call during it', async () => {
      const reads: { resolve: (file: string) => void; reject: (error: Error) => void }[] = [];
      let applied = '';
      const reloader = new SettingsReloader({
        clock: new ManualClock(),
        log: new Log('test', () => undefined),
        read: () => new Promise<string>((resolve, reject) => reads.push({ resolve, reject })),
        apply: (settings) => {
          applied = settings;
        },
      });
      const first = reloader.reload('signal');
      const second = reloader.reload('interval');
      reads[0]?.reject(new Error('not JSON'));
      await first;
      reads[1]?.resolve('new');
      await second;
      expect(applied).to.equal('new');
    });

    for (const file of ['valid', 'invalid'] as const) {
      // Issue 39, FAULT: 2,000 SIGHUP gave 2,000 lines about the settings.
      it(`logs a limited number of lines when a ${file} file is read in a series`, async () => {
        const clock = new ManualClock();
        const log = new RecordingLog();
        const reloader = new SettingsReloader({
          clock,
          log,
          read: () => (file === 'valid' ? Promise.resolve(file) : Promise.reject(new Error('not JSON'))),
          apply: () => undefined,
        });
        for (let count = 0; count < SERIES_LENGTH; count++) {
          await reloader.reload('signal');
        }
        expect(log.lines).to.have.length(MAX_LINES);
        clock.advance(LINE_PERIOD_MS);
        await reloader.reload('signal');
        expect(log.lines).to.have.length(MAX_LINES + 1);
      });
    }

    it('logs each change, whatever the number of lines', async () => {
      const log = new RecordingLog();
      let readCount = 0;
      const reloader = new SettingsReloader({
        clock: new ManualClock(),
        log,
        read: () => Promise.resolve(Math.max(0, ++readCount - SERIES_LENGTH)),
        apply: () => undefined,
      });
      for (let count = 0; count < SERIES_LENGTH; count++) {
        await reloader.reload('signal');
      }
      await reloader.reload('signal');
      expect(log.lines.at(-1)?.isChanged).to.equal(true);
      expect(log.lines).to.have.length(MAX_LINES + 1);
    });
  });
});
