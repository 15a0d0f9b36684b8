import { expect } from 'chai';
import { decodeNodeSettings } from '../../platform/NodeSettings.js';

describe('decodeNodeSettings', () => {
  const file = {
    NodeName: 'front-1',
    Ip: '10.0.0.1',
    Zone: 'north',
    Listen: { Front: '10.0.0.1:81', Ready: '10.0.0.1:82' },
    InternalPorts: [7380, 7395],
    Bounds: { RetryBudgetRatio: 0.2, RetrySlack: 56, BudgetWindowS: 10, GraceS: 8 },
    Platform: { Address: '10.0.0.9:83' },
    SomethingNew: 1,
  };

  it('decodes the fields that are used and ignores others', () => {
    const settings = decodeNodeSettings(JSON.stringify(file), 'node.json');
    expect(settings.callerAddress).to.deep.equal({ host: '10.0.0.1', port: 81 });
    expect(settings.updateLimitMs).to.equal(2_000);
    expect(settings.retryLimits).to.deep.equal({ ratio: 0.2, slack: 56, windowMs: 10_000 });
    expect(settings.engineAddress).to.equal(undefined);
  });

  // Issue 42, FAULT: the memory that the platform allows was ignored.
  it('decodes the memory of the process, and takes it as unknown where none is stated', () => {
    const decodeMemory = (Limits: unknown) =>
      decodeNodeSettings(JSON.stringify({ ...file, Limits }), 'node.json').memoryLimitBytes;
    expect(decodeMemory({ CpuShare: 0.5, MemoryMb: 160 })).to.equal(160_000_000);
    const unknown = [
      undefined,
      null,
      '',
      {},
      { MemoryMb: null },
      { MemoryMb: 0 },
      { MemoryMb: -1 },
      { MemoryMb: 'x' },
      7,
    ];
    for (const limits of unknown) {
      expect(decodeMemory(limits), JSON.stringify(limits)).to.equal(undefined);
    }
  });

  it('decodes the limits of connections, and takes invalid ones as absent', () => {
    const decode = (Limits: unknown) =>
      decodeNodeSettings(JSON.stringify({ ...file, Limits }), 'node.json').ingress;
    expect(
      decode({ Connections: 700, UnfinishedHeadsMb: 5, WaitingBytesMb: 0.5, PipelinedRequests: 6.5 }),
    ).to.deep.equal({
      connectionCount: 700,
      unfinishedBytes: 5_000_000,
      waitingBytes: 500_000,
      pipelinedCount: 6,
    });
    const absent = {
      connectionCount: undefined,
      unfinishedBytes: undefined,
      waitingBytes: undefined,
      pipelinedCount: undefined,
    };
    expect(decode({ Connections: -1, UnfinishedHeadsMb: 'x', WaitingBytesMb: null })).to.deep.equal(absent);
    expect(decode(undefined)).to.deep.equal(absent);
  });

  it('names the file and the invalid field in the error', () => {
    const invalidSettings = JSON.stringify({ ...file, Platform: { Address: 'store' } });
    expect(() => decodeNodeSettings(invalidSettings, 'node.json')).to.throw(
      'node.json: Platform.Address: an IPv4 address',
    );
    expect(() => decodeNodeSettings('{', 'node.json')).to.throw('node.json: is not JSON');
  });

  // Issue 39, FAULT: a process refused settings with absent or empty fields and ended again and again.
  describe('absent and empty fields', () => {
    const decode = (changes: object) =>
      decodeNodeSettings(JSON.stringify({ ...file, ...changes }), 'node.json');

    it('accepts null and an empty text for each optional field', () => {
      for (const empty of [null, '']) {
        const settings = decode({
          Listen: { Front: empty, Ready: empty, Control: empty },
          app: empty,
          Service: empty,
          Bounds: { ...file.Bounds, ConfigApplyMs: empty, DrainMs: empty, LoadBurstFactor: empty },
          DataDir: empty,
          Seeds: empty,
        });
        expect(settings.callerAddress).to.equal(undefined);
        expect(settings.readinessAddress).to.equal(undefined);
        expect(settings.engineAddress).to.equal(undefined);
        expect(settings.updateLimitMs).to.equal(2_000);
        expect(settings.isPaceRoutingEnabled).to.equal(true);
      }
    });

    it('accepts settings without Listen, as on a machine without callers', () => {
      for (const Listen of [undefined, null, '']) {
        const settings = decode({ Listen, app: '10.0.0.1:90' });
        expect(settings.callerAddress).to.equal(undefined);
        expect(settings.engineAddress).to.equal('10.0.0.1:90');
      }
    });

    it('allows no retries, a short stop and a window above zero when the bounds are absent', () => {
      for (const Bounds of [
        undefined,
        null,
        {},
        { RetryBudgetRatio: null, BudgetWindowS: null, GraceS: null },
      ]) {
        const settings = decode({ Bounds });
        expect(settings.retryLimits).to.deep.equal({ ratio: 0, slack: 0, windowMs: 10_000 });
        expect(settings.stopGraceMs).to.equal(5_000);
        expect(settings.updateLimitMs).to.equal(2_000);
      }
    });

    it('turns the choice of servers by pace off', () => {
      expect(decode({ Bounds: { PaceRouting: false } }).isPaceRoutingEnabled).to.equal(false);
    });

    it('takes the first of one or more internal ports', () => {
      for (const InternalPorts of [[7380], [7380, 7395], [7380, 7395, 7400], [7380, null]]) {
        expect(decode({ InternalPorts }).peerPort).to.equal(7380);
      }
    });

    it('ignores a byte order mark', () => {
      const text = `\uFEFF${JSON.stringify(file)}`;
      expect(decodeNodeSettings(text, 'node.json').instanceId).to.equal('front-1');
    });

    it('names the field, what was found and what is allowed where a process cannot run without it', () => {
      const problems: [object, string][] = [
        [{ NodeName: null }, 'NodeName: '],
        [{ NodeName: '' }, 'NodeName: '],
        [{ Ip: undefined }, 'Ip: '],
        [{ Zone: null }, 'Zone: '],
        [{ InternalPorts: [] }, 'InternalPorts'],
        [{ InternalPorts: [0, 1] }, 'InternalPorts.0: '],
        [{ Platform: null }, 'Platform: '],
        [{ Platform: { Address: '' } }, 'Platform.Address: an IPv4 address and a port; found ""'],
        [{ app: 'engine' }, 'app: an IPv4 address and a port; found "engine"'],
        [{ Listen: { Front: 81 } }, 'Listen.Front: '],
        [{ Bounds: { GraceS: '8' } }, 'Bounds.GraceS: '],
      ];
      for (const [changes, problem] of problems) {
        expect(() => decode(changes), problem)
          .to.throw(`node.json: ${problem}`)
          .with.property('message')
          .that.contains('; found ');
      }
      expect(() => decodeNodeSettings('null', 'node.json')).to.throw('(whole file)');
    });
  });
});
