import { expect } from 'chai';
import { SettingsReloader } from '../../src/settings/index.js';
import { Log } from '../../src/telemetry/index.js';
import { ManualClock } from '../fakes/ManualClock.js';

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
  });
});
