import { expect } from 'chai';
import { toOrganisationId, toServerId } from '../../src/domain/index.js';
import type { ServingConfiguration } from '../../src/direct/index.js';
import type { CallerAccess } from '../../src/organisations/index.js';
import { decodeConfiguration } from '../../platform/configurationCodec.js';
import { PlatformHeaderCodec } from '../../platform/PlatformHeaderCodec.js';
import { decodeEngineReport, decodeServerEntry } from '../../platform/serverCodec.js';

const UNMANAGED = { kind: 'unmanaged' } as const;
const ENTRY = {
  Service: 'svc',
  Address: '10.0.0.1:80',
  Zone: 'north',
  Version: 'v1.1',
  Slots: 48,
  State: 'ready',
  ColdLeftMs: 0,
  born: 12,
  Models: [{ Name: 'm', Version: 1, Adapters: ['a1'] }],
  AtHand: { InMemory: ['m'], OnDisk: ['m', 'n'] },
};

describe('decodeServerEntry', () => {
  it('decodes an entry', () => {
    expect(decodeServerEntry('i-1', ENTRY)).to.deep.equal({
      serverId: 'i-1',
      serviceId: 'svc',
      address: '10.0.0.1:80',
      dataCentre: 'north',
      softwareVersion: 'v1.1',
      slotCount: 48,
      isLeaving: false,
      bornAtMs: 12,
      heldModels: [{ name: 'm', adapters: ['a1'] }],
      modelsInMemory: ['m'],
      modelsOnDisk: ['m', 'n'],
    });
    expect(decodeServerEntry('i-1', { ...ENTRY, State: 'draining' })?.isLeaving).to.equal(true);
  });

  it('is undefined for an invalid entry', () => {
    const invalidEntries: unknown[] = [
      null,
      'text',
      [],
      { ...ENTRY, State: 'odd' },
      { ...ENTRY, Address: 5 },
      { ...ENTRY, Slots: '48' },
      { ...ENTRY, Version: 1 },
      { ...ENTRY, Service: undefined },
      { ...ENTRY, born: 1.5 },
      { ...ENTRY, Models: 'm' },
    ];
    for (const value of invalidEntries) {
      expect(decodeServerEntry('i-1', value)).to.equal(undefined);
    }
  });

  it('is undefined for an address to which no connection can be opened', () => {
    for (const address of ['10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:99999999999999999999']) {
      expect(decodeServerEntry('i-1', { ...ENTRY, Address: address }), address).to.equal(undefined);
    }
  });

  it('is undefined for a name that cannot be sent in a header', () => {
    for (const name of ['', 'i\n1', 'i-\u20ac', 'i 1', '\ud800']) {
      expect(decodeServerEntry(name, ENTRY), JSON.stringify(name)).to.equal(undefined);
    }
  });
});

describe('decodeEngineReport', () => {
  it('decodes a report', () => {
    const report = decodeEngineReport({
      Stage: 'mixed',
      Models: ENTRY.Models,
      Coming: ['m/a2@3'],
      Busy: true,
      Sequence: 4,
      QueueDepth: 1,
      InFlight: 12,
      KvUsed: 41_000,
      KvTotal: 90_000,
      AtHand: ENTRY.AtHand,
      born: 12,
    });
    expect(report?.orderCount).to.equal(4);
    expect(report?.comingAdapters).to.deep.equal(['m/a2']);
    expect(report?.isBusy).to.equal(true);
    expect(report?.usedCacheTokens).to.equal(41_000);
  });

  it('takes from the headers whether the engine is leaving', () => {
    expect(decodeEngineReport({ Sequence: 1 })?.isLeaving).to.equal(false);
    expect(decodeEngineReport({ Sequence: 1 }, true)?.isLeaving).to.equal(true);
  });

  it('is undefined for an invalid report', () => expect(decodeEngineReport({})).to.equal(undefined));
});

/** Returns the decoded configuration; undefined if it is invalid. */
function decodeValid(value: unknown): ServingConfiguration | undefined {
  const decoded = decodeConfiguration(value);
  return decoded.kind === 'decoded' ? decoded.configuration : undefined;
}

describe('decodeConfiguration', () => {
  const configuration = {
    Version: 7,
    Routes: [
      {
        Name: 'r',
        Hostname: 'h.example',
        PathPrefix: '/p/',
        Kind: 'stream',
        TimeoutMs: 12_000,
        TargetLatencyMs: 500,
        Priority: 2,
        TrafficSplit: [
          { Service: 's', Weight: 90 },
          { Service: 't', Weight: 10 },
        ],
        MaxAttempts: 2,
        CanResume: true,
        GapAimMs: 150,
      },
    ],
    Services: [
      {
        Name: 's',
        HealthPath: '/health',
        MaxConns: 300,
        Engine: {
          Slots: 48,
          WeightsMb: 200_000,
          AdapterSlots: 8,
          LoadsPerS: 2.9,
          Models: [
            { Name: 'm', WeightsMb: 42_700, LoadS: 6, Adapters: 37, AdapterMb: 66, WarmS: 0.44, DiskS: 0.68 },
          ],
        },
      },
      { Name: 't', MaxConns: 110 },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
  };

  it('decodes routes, engines and limits', () => {
    const decoded = decodeValid(configuration);
    expect(decoded?.routes[0]?.targets.map(({ weight }) => weight)).to.deep.equal([90, 10]);
    const engine = [...(decoded?.services.values() ?? [])][0]?.engine;
    expect(engine?.weightsMb).to.equal(200_000);
    expect(engine?.healthPath).to.equal('/health');
    expect(engine?.models.get('m')).to.deep.equal({
      weightsMb: 42_700,
      adapterMb: 66,
      adapterCount: 37,
      storeLoadMs: 6_000,
      diskLoadMs: 680,
      memoryLoadMs: 440,
    });
    expect(decoded?.callerLimits.idleTimeoutMs).to.equal(15_000);
  });

  it('takes a health path that cannot be requested for none', () => {
    for (const HealthPath of ['health', '/a b', '', 7, null]) {
      const Services = [{ ...configuration.Services[0], HealthPath }];
      const [service] = [...(decodeValid({ ...configuration, Services })?.services.values() ?? [])];
      expect(service?.engine).to.include({ weightsMb: 200_000, healthPath: undefined });
    }
  });

  // Issue 50, CONFIG: a null in a field that may be absent made the whole configuration unreadable.
  it('takes null for absent where a field may be absent', () => {
    const Routes = [
      {
        ...configuration.Routes[0],
        Priority: null,
        TrafficSplit: null,
        Service: 's',
        MaxAttempts: null,
        CanResume: null,
        Public: null,
        GapAimMs: null,
      },
    ];
    const models = [
      { Name: 'm', WeightsMb: 1, LoadS: 6, Adapters: null, AdapterMb: null, WarmS: null, DiskS: null },
    ];
    const Engine = { Slots: 48, WeightsMb: 2, AdapterSlots: null, LoadsPerS: 2.9, Models: models };
    const Services = [
      { Name: 's', MaxConns: 300, Engine },
      { Name: 't', MaxConns: 110, Engine: null },
    ];
    const decoded = decodeValid({ ...configuration, Routes, Services });
    expect(decoded?.routes[0]).to.deep.include({
      priority: 0,
      targets: [{ serviceId: 's', weight: 1 }],
      maxAttempts: 1,
      isResumable: false,
      isPublic: false,
      maxGapMs: undefined,
    });
    const [engines, plain] = [...(decoded?.services.values() ?? [])];
    expect(engines?.engine?.models.get('m')).to.deep.include({ adapterCount: 0, diskLoadMs: 6_000 });
    expect(plain?.engine).to.equal(undefined);
  });

  it('names the fields of an invalid configuration', () => {
    const decoded = decodeConfiguration({ ...configuration, Routes: 'none' });
    expect(decoded.kind === 'invalid' && decoded.problem).to.match(/^Routes: /);
  });
});

describe('PlatformHeaderCodec', () => {
  const codec = new PlatformHeaderCodec();
  const serverId = toServerId('i-1');

  it('forwards the end-to-end headers of a caller except those that only the router may set', () => {
    const request = codec.decodeRequest({
      host: 'h.example',
      'request-id': 'r1',
      model: 'm/a3',
      'token-count': '1460,80',
      'deadline-ms': '12000',
      'last-event-id': '12',
      connection: 'keep-alive, x-hop',
      'x-hop': '1',
      'x-own': '2',
      'transfer-encoding': 'chunked',
      'expect-instance': 'i-9',
      'request-urgency': '0',
      hold: 'h',
      'pin-ms': '1',
      'kv-backup': 'k',
      'kv-from': 'k',
    });
    expect(request?.model).to.equal('m');
    expect(request?.adapter).to.equal('a3');
    expect(request?.promptTokens).to.equal(1_460);
    expect(request?.deadlineMs).to.equal(12_000);
    expect(
      request && codec.encodeAttempt(request, { serverId, remainingMs: 99.7, urgency: 2, access: UNMANAGED }),
    ).to.deep.equal({
      host: 'h.example',
      'request-id': 'r1',
      model: 'm/a3',
      'token-count': '1460,80',
      'last-event-id': '12',
      'x-own': '2',
      'Deadline-Ms': '99',
      'Expect-Instance': 'i-1',
      'Request-Urgency': '2',
    });
  });

  it('decodes the parts of a prompt and ignores those that cannot be read', () => {
    const decode = (prefix?: string) =>
      codec.decodeRequest({ 'request-id': 'r1', 'prompt-prefix': prefix })?.promptParts;
    expect(decode('5c1e07a2:800, 91BD3F06:410,e4402b7d:250')).to.deep.equal([
      { id: '5c1e07a2', tokenCount: 800 },
      { id: '91bd3f06', tokenCount: 410 },
      { id: 'e4402b7d', tokenCount: 250 },
    ]);
    expect(decode('5c:8,no:1,:2,aa,bb:x,cc:3')).to.deep.equal([
      { id: '5c', tokenCount: 8 },
      { id: 'cc', tokenCount: 3 },
    ]);
    expect(decode()).to.deep.equal([]);
    expect(decode('aa:1,'.repeat(1_000))?.length).to.equal(64);
  });

  it('is undefined for a request without an id', () =>
    expect(codec.decodeRequest({ host: 'h' })).to.equal(undefined));

  // The key passed on, or a name that the caller chose, would let backend servers take a caller for another one.
  it('sends the name of the organisation in place of the key and of what the caller names', () => {
    const request = codec.decodeRequest({ 'request-id': 'r1', authorization: 'Bearer k1', tenant: 'other' });
    const encode = (access: CallerAccess) =>
      request && codec.encodeAttempt(request, { serverId, remainingMs: 5, access });
    const organisation = { organisationId: toOrganisationId('acme'), keyDigests: [] };
    expect(encode({ kind: 'organisation', organisation, keyDigest: '' })).to.deep.equal({
      'request-id': 'r1',
      'Deadline-Ms': '5',
      'Expect-Instance': 'i-1',
      Tenant: 'acme',
    });
    expect(encode({ kind: 'public' })).to.have.keys('request-id', 'Deadline-Ms', 'Expect-Instance');
    expect(encode(UNMANAGED)).to.include({ authorization: 'Bearer k1', tenant: 'other' });
  });

  it('finds the key of a request', () => {
    expect(codec.getKey({ authorization: 'Bearer k1' })).to.equal('k1');
    expect(codec.getKey({ authorization: 'bearer  k1 ' })).to.equal('k1');
    for (const authorization of [undefined, '', 'Bearer', 'Basic k1', 'Bearer k1 k2']) {
      expect(codec.getKey({ authorization }), authorization).to.equal(undefined);
    }
  });

  it('resumes after the last delivered event', () => {
    const request = codec.decodeRequest({ 'request-id': 'r1', 'last-event-id': '3' });
    const headers =
      request &&
      codec.encodeAttempt(request, { serverId, remainingMs: 5, access: UNMANAGED, lastEventId: '7' });
    expect(headers?.['last-event-id']).to.equal('7');
  });

  it('decodes which request began the stream that a caller takes up', () => {
    const decode = (headers: Record<string, string>) =>
      codec.decodeRequest({ 'request-id': 'r2', ...headers });
    expect(decode({ resumes: 'r1' })?.resumedRequestId).to.equal('r1');
    expect(decode({ resumes: 'r1' })?.forwarded).to.include({ resumes: 'r1' });
    expect(decode({})?.resumedRequestId).to.equal(undefined);
  });

  it('marks a request as not run only when the server states it', () => {
    const expectNotRun = (status: number, headers: Record<string, string>, expected: boolean) =>
      expect(codec.decodeResponse(status, headers, 'r1', serverId).isNotRun).to.equal(expected);
    expectNotRun(503, { 'not-run': '1' }, true);
    expectNotRun(421, { 'instance-id': 'i-2' }, true);
    expectNotRun(503, {}, false);
    expectNotRun(500, { 'not-run': '1' }, false);
    expectNotRun(503, { 'not-run': '1', 'request-id': 'other' }, false);
  });

  it('decodes what a server states about itself', () => {
    const getNotice = (status: number, headers: Record<string, string>) =>
      codec.decodeResponse(status, headers, 'r1', serverId).serverNotice;
    const none = { isLeaving: false, pauseMs: undefined, maxRequestsPerSecond: undefined };
    expect(getNotice(200, {})).to.deep.equal(none);
    expect(getNotice(200, { 'server-leaving': '1' })).to.deep.equal({ ...none, isLeaving: true });
    expect(getNotice(503, { 'server-leaving': '0' })).to.deep.equal(none);
    expect(getNotice(503, { 'retry-after': '2.5' })).to.deep.equal({ ...none, pauseMs: 2_500 });
    expect(getNotice(429, { 'retry-after': '2.5' })).to.deep.equal(none);
    for (const value of ['-1', 'soon', '', 'NaN']) {
      expect(getNotice(503, { 'retry-after': value })).to.deep.equal(none);
    }
    expect(getNotice(421, { 'server-leaving': '1', 'instance-id': 'i-2' }).isLeaving).to.equal(false);
  });

  it('decodes the limit that a server names, and that a credible response names none', () => {
    const getLimit = (status: number, headers: Record<string, string>) =>
      codec.decodeResponse(status, headers, 'r1', serverId).serverNotice.maxRequestsPerSecond;
    const signed = { 'response-stamp': 's', 'request-id': 'r1' };
    expect(getLimit(200, { ...signed, 'server-limit': '2.4' })).to.equal(2.4);
    expect(getLimit(503, { 'server-limit': '0' })).to.equal(0);
    expect(getLimit(200, signed)).to.equal(Infinity);
    expect(getLimit(503, { 'not-run': '1' })).to.equal(Infinity);
    expect(getLimit(200, {})).to.equal(undefined);
    expect(getLimit(200, { 'server-limit': '2.4', 'instance-id': 'i-2' })).to.equal(undefined);
    for (const value of ['-1', '1e9', 'soon', '', '2,4']) {
      expect(getLimit(200, { ...signed, 'server-limit': value })).to.equal(Infinity);
    }
  });

  it('marks a response as authentic only with a stamp, the id of the request and no content encoding', () => {
    const authentic = { 'response-stamp': 's', 'request-id': 'r1' };
    const expectAuthentic = (headers: Record<string, string>, expected: boolean) =>
      expect(codec.decodeResponse(200, headers, 'r1', serverId).isAuthentic).to.equal(expected);
    expectAuthentic(authentic, true);
    expectAuthentic({ 'request-id': 'r1' }, false);
    expectAuthentic({ ...authentic, 'request-id': 'r2' }, false);
    expectAuthentic({ ...authentic, 'content-encoding': 'gzip' }, false);
  });

  it('encodes the retry time in seconds', () => {
    expect(codec.encodeRefusal('r1', 1_500)).to.deep.equal({ 'Request-Id': 'r1', 'Retry-After': '1.500' });
    expect(codec.encodeRefusal(undefined, undefined)).to.deep.equal({});
  });
});
