import { connect } from 'node:net';
import { expect } from 'chai';
import OpenAI from 'openai';
import { getExpectedTokens } from '../../standins/EngineStandIn.js';
import { parseStreamedText, TestSystem, TOKENS, type ChatExtra } from './TestSystem.js';

const MODEL = 'quotes/base';

describe('the request path from caller to engine', () => {
  let system: TestSystem;

  before(async () => {
    const shared = { service: 'shared', organisations: ['mosquitero', 'rimalia'] };
    system = await TestSystem.start({ engine: { slotCount: 64 }, services: [{}, shared] });
  });

  after(() => system.stop());

  it('returns to each of 200 concurrent streams through two routers the exact text of its prompt', async () => {
    const prompts = Array.from({ length: 200 }, (_, index) => `prompt ${index} ${'x'.repeat(index % 7)}`);
    const responses = await Promise.all(
      prompts.map((prompt, index) =>
        system.chat(`router-${(index % 2) + 1}`, prompt, { stream: true, max_tokens: 6 }),
      ),
    );
    for (const [index, response] of responses.entries()) {
      expect(parseStreamedText(response.text)).to.equal(
        getExpectedTokens(MODEL, prompts[index]!, 6).join(''),
      );
    }
    expect(system.countLoadedReplicas(MODEL)).to.be.at.most(2);
  });

  it('supports the openai client, with and without streaming', async () => {
    const client = new OpenAI({
      apiKey: TOKENS.mosquitero,
      baseURL: `${system.fleet.getOrThrow('router-1').entryUrl}/v1`,
      maxRetries: 0,
    });
    const request = {
      model: MODEL,
      messages: [{ role: 'user' as const, content: 'screens' }],
      max_tokens: 4,
    };
    const completion = await client.chat.completions.create(request);
    let streamed = '';
    for await (const event of await client.chat.completions.create({ ...request, stream: true })) {
      streamed += event.choices[0]?.delta.content ?? '';
    }
    const expected = getExpectedTokens(MODEL, 'screens', 4).join('');
    expect(completion.choices[0]?.message.content).to.equal(expected);
    expect(streamed).to.equal(expected);
    const listed = await client.models.list();
    const names = ['quotes/base', 'quotes/base:salto', 'shared/base', 'shared/base:salto'];
    expect(listed.data.map((model) => model.id).sort()).to.deep.equal(names);
  });

  it('serves requests for an adapter', async () => {
    const response = await system.chat('router-2', 'in Salto', { model: 'quotes/base:salto', stream: true });
    expect(parseStreamedText(response.text)).to.equal(
      getExpectedTokens('quotes/base:salto', 'in Salto', 5).join(''),
    );
  });

  it('separates the prompt caches of organisations by salt, and uses the same salt on all routers', async () => {
    const getSalt = async (token: string, router: string, prompt: string) => {
      expect((await system.chat(router, prompt, { token, model: 'shared/base' })).status).to.equal(200);
      return system.engines
        .map((engine) => engine.saltByPrompt.get(prompt))
        .find((salt) => salt !== undefined);
    };
    const first = await getSalt(TOKENS.mosquitero, 'router-1', 'first');
    expect(first).to.match(/^[0-9a-f]{64}$/);
    expect(await getSalt(TOKENS.mosquitero, 'router-2', 'second')).to.equal(first);
    expect(await getSalt(TOKENS.rimalia, 'router-1', 'third')).to.not.equal(first);
  });

  describe('invalid input', () => {
    async function doTest(extra: ChatExtra, status: number, title: string): Promise<void> {
      const response = await system.chat('router-1', 'p', extra);
      const problem = JSON.parse(response.text) as Record<string, unknown>;
      expect(response.status).to.equal(status);
      expect(problem.title).to.equal(title);
      expect(problem.verdict).to.equal('didNotRun');
      expect(response.headers.get('content-type')).to.equal('application/problem+json');
    }

    it('refuses a wrong token', () => doTest({ token: 'wrong' }, 401, 'unauthenticated'));
    it('refuses an unknown model', () => doTest({ model: 'quotes/none' }, 404, 'unknownModel'));
    it('refuses an unknown adapter', () => doTest({ model: 'quotes/base:none' }, 404, 'unknownModel'));
    it("refuses another organisation's model as unknown", () =>
      doTest({ token: TOKENS.rimalia }, 404, 'unknownModel'));
    it('refuses a deadline that has passed', () =>
      doTest({ headers: { 'request-timeout-ms': '0' } }, 504, 'deadlinePassed'));
    it('refuses a deadline that is not a number', () =>
      doTest({ headers: { 'request-timeout-ms': 'soon' } }, 400, 'malformedRequest'));
    it('refuses a field of the wrong type', () => doTest({ max_tokens: -1 }, 400, 'malformedRequest'));

    it('refuses a body that is not JSON', async () => {
      const response = await system.request('router-1', '/v1/chat/completions', {
        method: 'POST',
        body: '{"model":',
      });
      expect(response.status).to.equal(400);
    });

    it('refuses a body over the limit', async () => {
      const body = JSON.stringify({
        model: MODEL,
        messages: [{ role: 'user', content: 'x'.repeat(1_100_000) }],
      });
      const response = await system.request('router-1', '/v1/chat/completions', { method: 'POST', body });
      expect(response.status).to.equal(413);
    });

    it('refuses a path that is not served', async () => {
      expect((await system.request('router-1', '/v2/none')).status).to.equal(404);
    });

    it('refuses a peer without the secret', async () => {
      const [host = '', port] = system.fleet.getOrThrow('router-1').instance.peerAddress.split(':');
      const response = await new Promise<string>((resolve) => {
        const socket = connect(Number(port), host);
        socket.on('data', (chunk) => resolve(String(chunk)));
        socket.write(
          'GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n',
        );
      });
      expect(response).to.match(/^HTTP\/1.1 401/);
    });

    it('refuses an operator without the token', async () => {
      const response = await fetch(`${system.fleet.getOrThrow('router-1').adminUrl}/status`);
      expect(response.status).to.equal(401);
    });
  });

  it('cancels the stream on the engine when the caller disconnects', async () => {
    const before = system.engines.reduce((sum, engine) => sum + engine.cancelledCount, 0);
    const abortController = new AbortController();
    const response = await fetch(`${system.fleet.getOrThrow('router-1').entryUrl}/v1/chat/completions`, {
      method: 'POST',
      signal: abortController.signal,
      headers: { authorization: `Bearer ${TOKENS.mosquitero}` },
      body: JSON.stringify({
        model: MODEL,
        messages: [{ role: 'user', content: 'long' }],
        stream: true,
        max_tokens: 2_000,
      }),
    });
    await response.body?.getReader().read();
    abortController.abort();
    await system.waitUntil(
      'the engine receives the cancellation',
      () => system.engines.reduce((sum, engine) => sum + engine.cancelledCount, 0) > before,
    );
  });

  it('names the port that is in use when a daemon cannot start', async () => {
    const first = system.fleet.getOrThrow('router-1');
    const failure = await system.fleet.restart('router-1').then(
      () => 'started',
      (error: Error) => error.message,
    );
    system.fleet.daemons.set('router-1', first);
    expect(failure).to.match(/peer: 127\.0\.0\.1:\d+ is in use by another process; choose a free port/);
  });
});
