import { expect } from 'chai';
import { explainRefusal } from '../../src/cli/explainRefusal.js';

function line(message: string, context: Record<string, unknown>): string {
  return JSON.stringify({
    message,
    context: { instanceId: 'router-1', requestId: 'r1', ...context },
    time: 1,
  });
}

describe('explainRefusal', () => {
  it('names the configuration by which a key was refused', () => {
    const refusal = {
      status: 401,
      detail: 'the key is not valid',
      configurationVersion: 7,
      confirmedAgeMs: 40,
    };
    expect(explainRefusal([line('request refused', refusal)], 'r1')).to.deep.equal([
      'router-1 answered 401: the key is not valid.',
      'It had version 7 of the configuration, which the store had confirmed 40 ms before.',
    ]);
  });

  it('names the quota, what was spent and who decided', () => {
    const quota = {
      organisationId: 'acme',
      unit: 'tokens',
      ratePerSecond: 100,
      burst: 50,
      cost: 60,
      spent: 790,
      knowledgeAgeMs: 3,
      issuer: '10.0.0.1:1',
      retryInMs: 600,
    };
    const refusal = { status: 429, detail: 'the organisation has used its quota' };
    expect(
      explainRefusal([line('quota exceeded', quota), line('request refused', refusal)], 'r1'),
    ).to.deep.equal([
      'Organisation acme may use 100 tokens per second and 50 at once; the request costs 60.',
      'Spent in the window: 790 tokens, as of 3 ms before. Decided by the agent 10.0.0.1:1; its caller may return after 600 ms.',
      'router-1 answered 429: the organisation has used its quota.',
    ]);
  });

  it('is empty for a request that was not refused', () =>
    expect(explainRefusal([line('request ended', {})], 'r1')).to.deep.equal([]));
});
