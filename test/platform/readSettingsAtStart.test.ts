import { expect } from 'chai';
import { SettingsError } from '../../src/settings/index.js';
import { IncompleteFileError } from '../../platform/IncompleteFileError.js';
import type { NodeSettings } from '../../platform/NodeSettings.js';
import { readSettingsAtStart } from '../../platform/readSettingsAtStart.js';
import { ManualClock } from '../fakes/ManualClock.js';
import { flushPromises } from '../waiting.js';

/** Time by which the clock advances between two checks, in milliseconds. */
const STEP_MS = 50;

describe('readSettingsAtStart', () => {
  const settings = { instanceId: 'front-1' } as NodeSettings;
  let clock: ManualClock;
  let readCount: number;

  beforeEach(() => {
    clock = new ManualClock();
    readCount = 0;
  });

  /** Starts to read; the file is complete at a time, and the error is thrown until then. */
  function start(completeAtMs: number, error: Error): Promise<unknown> {
    const read = () => {
      readCount++;
      return clock.nowMs() >= completeAtMs ? Promise.resolve(settings) : Promise.reject(error);
    };
    return readSettingsAtStart(clock, read).catch((reason: unknown) => reason);
  }

  async function advance(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      await flushPromises();
      clock.advance(STEP_MS);
    }
    await flushPromises();
  }

  it('returns the settings of a file that is completed in time', async () => {
    const result = start(1_500, new IncompleteFileError('node.json: is not JSON'));
    await advance(1_600);
    expect(await result).to.equal(settings);
  });

  it('throws the last error when the file is still incomplete after two seconds', async () => {
    const error = new IncompleteFileError('node.json: cannot be read (ENOENT).');
    const result = start(Infinity, error);
    await advance(2_100);
    expect(await result).to.equal(error);
    expect(readCount).to.equal(41);
  });

  it('throws at once when a field is invalid', async () => {
    const error = new SettingsError('node.json: Platform.Address: an IPv4 address and a port');
    expect(await start(1_000, error)).to.equal(error);
    expect(readCount).to.equal(1);
  });
});
