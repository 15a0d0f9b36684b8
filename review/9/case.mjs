/** A router is killed while its client reads an answer that the worker sent whole, without a length. */
import { connect } from 'node:net';
import { createHash } from 'node:crypto';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { makeRequestId } from '../lib-2/client.mjs';
import { CALLER_LIMITS, Store } from '../lib-2/store.mjs';
import {
  BROKEN,
  COULD_NOT_RUN,
  HELD,
  isReady,
  isTroubled,
  reserveMachine,
  runCase,
  sleep,
  waitUntil,
} from '../lib-2/system.mjs';
import { HEALTH_PATH, PlainWorker } from '../lib-2/workers.mjs';

const HOST = 'desk.example';
const DEADLINE_MS = 12_000;
/** Size of the answer, in bytes: more than the sockets of both sides hold. */
const ANSWER_BYTES = 6 * 1024 * 1024;
/** Bytes that the client reads at once, and the time between two reads in milliseconds: about 8 Mbit/s. */
const READ_BYTES = 20_000;
const READ_INTERVAL_MS = 20;
/** Time from the first byte of the answer until the router is killed, in milliseconds. */
const KILL_AFTER_MS = 500;

const digest = (bytes) => createHash('sha256').update(bytes).digest('hex').slice(0, 16);

await runCase(dirname(fileURLToPath(import.meta.url)), {}, async (system, recorder) => {
  const store = new Store();
  await store.start();
  const routerIp = await reserveMachine([8149, 8141]);
  const workerIp = await reserveMachine([8501]);
  store.put('config', 'main', {
    Version: 3,
    Routes: [
      {
        Name: 'read',
        Hostname: HOST,
        PathPrefix: '/read/',
        Kind: 'idempotent',
        TimeoutMs: DEADLINE_MS,
        TargetLatencyMs: 1_000,
        Priority: 2,
        Service: 'pedidos',
        MaxAttempts: 2,
      },
    ],
    Services: [{ Name: 'pedidos', HealthPath: HEALTH_PATH, MaxConns: 110 }],
    Limits: CALLER_LIMITS,
  });
  const answerBody = Buffer.alloc(ANSWER_BYTES);
  for (let offset = 0; offset < ANSWER_BYTES; offset += 4) {
    answerBody.writeUInt32BE(offset, offset);
  }
  let isSentWhole = false;
  const worker = new PlainWorker({
    id: 'i-a',
    service: 'pedidos',
    host: workerIp,
    port: 8501,
    store,
    recorder,
    serve: (incoming, response, { id }) => {
      const requestId = String(incoming.headers['request-id']);
      recorder.add(`worker ${id} runs ${requestId}`);
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
      response.writeHead(200, {
        'request-id': requestId,
        'response-stamp': `${id}.${requestId}`,
        'content-type': 'application/octet-stream',
      });
      response.end(answerBody, () => {
        isSentWhole = true;
        recorder.add(
          `worker ${id} has sent its whole answer to ${requestId}: ${ANSWER_BYTES} bytes, ${digest(answerBody)}, without a length`,
        );
      });
    },
  });
  await worker.start();
  const router = system.startRouter('front-1', routerIp, store.address);
  if (!(await waitUntil(() => isReady(routerIp), 10_000))) {
    return { code: COULD_NOT_RUN, text: 'the router did not become ready' };
  }
  const requestId = makeRequestId();
  const { bytes, end } = await readSlowly(routerIp, requestId, recorder, async () => {
    await sleep(KILL_AFTER_MS);
    if (isTroubled) {
      recorder.add('the router is killed');
      router.kill('SIGKILL');
    }
  });
  await worker.stop();
  store.stop();
  const headEnd = bytes.indexOf('\r\n\r\n');
  const head = bytes.subarray(0, Math.max(0, headEnd)).toString('latin1');
  const body = bytes.subarray(headEnd + 4);
  const isFramed = /^(content-length|transfer-encoding):/im.test(head);
  recorder.add(`answer to ${requestId}: ${head.replaceAll('\r\n', ' | ')}`);
  recorder.add(`body: ${body.length} bytes, ${digest(body)}; connection: ${end}`);
  if (!isSentWhole || !head.startsWith('HTTP/1.1 200')) {
    return { code: COULD_NOT_RUN, text: `no success arrived (${head.split('\r\n')[0]})` };
  }
  const isWhole = body.equals(answerBody);
  const looksComplete = !isFramed && end === 'ended';
  return !isWhole && looksComplete
    ? {
        code: BROKEN,
        text: `MIXED: the client got 200 with ${body.length} of ${ANSWER_BYTES} bytes, and nothing shows that it ended early`,
      }
    : { code: HELD, text: isWhole ? 'the body is whole' : `the answer is visibly broken off: ${end}` };
});

/** Sends a request and reads its answer slowly; resolves with what arrived and how the connection ended. */
function readSlowly(host, requestId, recorder, onFirstByte) {
  return new Promise((resolve) => {
    const socket = connect({ host, port: 8149 });
    const parts = [];
    let hasBegun = false;
    let end = 'ended';
    recorder.add(`request ${requestId} sent`);
    socket.write(
      `GET /read/2f HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: ${requestId}\r\nDeadline-Ms: ${DEADLINE_MS}\r\n\r\n`,
    );
    socket.on('error', (error) => (end = `reset: ${error.code}`));
    socket.on('close', () => {
      clearInterval(timer);
      resolve({ bytes: Buffer.concat(parts), end });
    });
    // Paused between two reads, the stream takes no more from the system than its buffer holds.
    socket.pause();
    const timer = setInterval(() => {
      const bytes = socket.read(Math.min(READ_BYTES, socket.readableLength)) ?? undefined;
      if (bytes !== undefined) {
        parts.push(bytes);
        if (!hasBegun) {
          hasBegun = true;
          void onFirstByte();
        }
      }
    }, READ_INTERVAL_MS);
    socket.on('readable', () => undefined);
  });
}
