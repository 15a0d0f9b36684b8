/** Starts the system on one machine, sends three requests, and runs until interrupted, or with `--once` stops then. */
import { spawnSync } from 'node:child_process';
import { rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { ChildProcess } from './ChildProcess.js';
import { DEMO_ENVIRONMENT, DemoFleet } from './DemoFleet.js';
import { getExpectedTokens } from './EngineStandIn.js';

const GIB = 1024 ** 3;
const ACCESS_TOKEN = 'mosquitero-demo-token';
const MODEL = 'quote-assistant/quotes';
const TOKEN_COUNT = 12;
const stopsWhenDone = process.argv.includes('--once');
const standInProcesses: ChildProcess[] = [];
let fleet: DemoFleet | undefined;

async function startStandIn(kind: string, options: object): Promise<string> {
  const started = await ChildProcess.start(kind, 'standins/main.js', [kind, JSON.stringify(options)]);
  standInProcesses.push(started.process);
  return `http://127.0.0.1:${started.ready}`;
}

async function startSystem(): Promise<DemoFleet> {
  const platformUrl = await startStandIn('platform', { readMs: 800, readsPerSecond: 3, fullSpeedReads: 4 });
  const newFleet = await DemoFleet.create(platformUrl);
  fleet = newFleet;
  const engine = {
    capacityBytes: 40 * GIB,
    slotCount: 8,
    tokenMs: 10,
    loadMsByTier: { memory: 50, disk: 300 },
    weightStoreUrl: platformUrl,
    adapterLoadMs: 5,
    fencing: true,
    restartMs: 500,
  };
  for (const [id, dataCentre] of [
    ['engine-1', 'salto'],
    ['engine-2', 'paysandu'],
  ] as const) {
    await newFleet.startAgent(id, dataCentre, 'engines', {
      kind: 'engine',
      url: await startStandIn('engine', engine),
    });
  }
  const ordersUrl = await startStandIn('orders', { workMs: 20 });
  await newFleet.startAgent('orders-1', 'montevideo', 'orders', {
    kind: 'plain',
    url: ordersUrl,
    slotCount: 16,
  });
  await newFleet.startRouter('router-1', 'salto');
  await newFleet.startRouter('router-2', 'montevideo');
  publishExamples(platformUrl);
  return newFleet;
}

function publishExamples(platformUrl: string): void {
  const cliScript = fileURLToPath(new URL('../src/cli/main.js', import.meta.url));
  const recordFile = join(tmpdir(), `monsoonglade-quickstart-${process.pid}.json`);
  const args = [cliScript, 'publish', 'examples', '--yes', '--record', recordFile, '--platform', platformUrl];
  const result = spawnSync(process.execPath, args, {
    env: { ...process.env, ...DEMO_ENVIRONMENT },
    encoding: 'utf8',
  });
  process.stdout.write(result.stdout);
  void rm(recordFile, { force: true });
  if (result.status !== 0) {
    throw new Error(`publish failed: ${result.stderr}`);
  }
}

/** Sends a streamed chat request and checks the content of the response. */
async function sendChat(title: string, entryUrl: string, prompt: string): Promise<void> {
  const startedAtMs = Date.now();
  const response = await fetch(`${entryUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${ACCESS_TOKEN}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: MODEL,
      messages: [{ role: 'user', content: prompt }],
      stream: true,
      max_tokens: TOKEN_COUNT,
    }),
  });
  let text = '';
  let firstTokenMs = 0;
  for await (const chunk of response.body ?? []) {
    firstTokenMs ||= Date.now() - startedAtMs;
    text += Buffer.from(chunk as Uint8Array).toString();
  }
  const contents = [...text.matchAll(/^data: (\{.*\})$/gm)].map((match) => parseContent(match[1] ?? ''));
  const content = contents.join('');
  const isComplete =
    text.endsWith('data: [DONE]\n\n') && content === getExpectedTokens(MODEL, prompt, TOKEN_COUNT).join('');
  const timing = await readTimings();
  process.stdout.write(
    `\n${title}\n  ${content}\n  first token ${firstTokenMs} ms, total ${Date.now() - startedAtMs} ms${timing}\n`,
  );
  if (!isComplete) {
    throw new Error(
      `${title}: the response is incomplete or has the wrong content (status ${response.status}): ${text}`,
    );
  }
}

function parseContent(json: string): string {
  const event = JSON.parse(json) as { choices: { delta: { content?: string } }[] };
  return event.choices[0]?.delta.content ?? '';
}

/** Reads the mean load and generation times from the owner router of the model. */
async function readTimings(): Promise<string> {
  for (const daemon of fleet?.daemons.values() ?? []) {
    const response = await fetch(`${daemon.adminUrl}/explain?model=${encodeURIComponent(MODEL)}`, {
      headers: { authorization: `Bearer ${DEMO_ENVIRONMENT.MONSOONGLADE_ADMIN_TOKEN}` },
    });
    const explanation = (await response.json()) as { loadMeanMs?: number; serviceMeanMs?: number };
    if (explanation.loadMeanMs !== undefined) {
      return ` (load ${explanation.loadMeanMs} ms and generation ${explanation.serviceMeanMs ?? 0} ms on average so far)`;
    }
  }
  return '';
}

async function sendOrder(entryUrl: string): Promise<void> {
  const response = await fetch(`${entryUrl}/services/frame-orders/orders`, {
    method: 'POST',
    headers: { authorization: `Bearer ${ACCESS_TOKEN}`, 'idempotency-key': `frame-${process.pid}` },
    body: JSON.stringify({ reference: 'window-42', widthMm: 900, heightMm: 1200 }),
  });
  const text = await response.text();
  process.stdout.write(`\nOne frame order\n  ${text}\n  ${response.headers.get('server-timing') ?? ''}\n`);
  if (response.status !== 201 || !text.includes('"execution":1')) {
    throw new Error(`The order was not executed exactly once: ${response.status} ${text}`);
  }
}

/** Waits until a router accepts the published access token. */
async function waitUntilConfigured(entryUrl: string): Promise<void> {
  for (let attempt = 0; attempt < 100; attempt++) {
    const response = await fetch(`${entryUrl}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${ACCESS_TOKEN}` },
      body: '{}',
    });
    await response.text();
    if (response.status !== 401) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  throw new Error('The published configuration did not take effect in time.');
}

async function stopSystem(): Promise<void> {
  await fleet?.stop();
  await Promise.all(standInProcesses.map((standIn) => standIn.stop()));
}

try {
  const { daemons } = await startSystem();
  const [firstEntryUrl = '', secondEntryUrl = ''] = [...daemons.values()].flatMap(
    (daemon) => daemon.entryUrl ?? [],
  );
  await waitUntilConfigured(firstEntryUrl);
  await waitUntilConfigured(secondEntryUrl);
  await sendChat(
    'A cold start: no replica of the model is loaded',
    firstEntryUrl,
    'Quote for two screens in Salto',
  );
  await sendChat('Its warm replica, through the other router', secondEntryUrl, 'Quote for a door screen');
  await sendOrder(secondEntryUrl);
  if (!stopsWhenDone) {
    process.stdout.write('\nThe system stays up; press Ctrl-C to end it.\n');
    for (const daemon of daemons.values()) {
      process.stdout.write(
        `  ${daemon.id}: admin ${daemon.adminUrl}${daemon.entryUrl ? `, callers ${daemon.entryUrl}` : ''}\n`,
      );
    }
    process.stdout.write(`  platform: ${fleet?.platformUrl ?? ''}\n`);
    await new Promise((resolve) => {
      process.once('SIGINT', resolve);
      process.once('SIGTERM', resolve);
    });
  }
} catch (error) {
  process.stderr.write(`${(error as Error).message}\n`);
  process.exitCode = 1;
} finally {
  await stopSystem();
}
