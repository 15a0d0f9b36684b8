import { Random } from '../../src/kernel/index.js';
import { damage, draw, drawBytes, pick } from './drawRequest.js';

const TEXT_OPCODE = 1;
const MASK_BIT = 0x80;
const FINAL_BIT = 0x80;
/** Longest payload whose length stands in the second byte of a frame, in bytes. */
const MAX_SHORT_LENGTH = 125;
const LENGTH_16_BIT = 126;
const LENGTH_64_BIT = 127;
const MAX_MESSAGE_COUNT = 8;
const MAX_FIELD_COUNT = 7;

/** Field names of the messages between processes. */
const FIELDS = (
  'kind attemptId serverId requestId incarnation modelId fingerprint detail requestClass outcome organisationId model leaving ' +
  'serviceId remainingMs promptParts path method key isInteractive claimShard bornAtMs body address adapterId weightsMb ' +
  'tokenCount target status routerCount report placement placementVersion phase models maxWaitMs maxRequestsPerSecond ' +
  'keptModels idempotencyKey histories head fromOrdinal excludedServerIds evictableModels earlierAttemptDidNotRun ' +
  'deadlineAtMs crashCount configurationVersion assignment adapterSlotCount adapter revision wantsInstances permitId itemId ' +
  'request cacheSalt softwareVersion __proto__'
).split(' ');
const VALUES: readonly unknown[] = [
  null,
  true,
  0,
  -1,
  1,
  1e300,
  0.5,
  '',
  'a',
  '../../x',
  '__proto__',
  [],
  [null],
  ['a'],
  [['a', null]],
  [['a', { weightsMb: 'x' }]],
  {},
  { a: null },
  { kind: 'a' },
  { version: 1, serverIds: null },
  { modelId: 'a', serverId: null },
];

/** Secret and methods of a process's port for peers. */
export interface PeerAccess {
  readonly secret: string;
  readonly methods: readonly string[];
}

/** Draws the bytes that a dialer sends to a port for peers: an opening handshake and frames, often malformed. */
export function drawPeerBytes(random: Random, access: PeerAccess): Buffer {
  const secret = draw(random, 0.7) ? access.secret : 'wrong';
  const handshake = drawHandshake(random, secret);
  const messages = Array.from({ length: random.nextInt(MAX_MESSAGE_COUNT) }, () => drawFrame(random, access));
  const bytes = Buffer.concat([Buffer.from(handshake, 'latin1'), ...messages]);
  return draw(random, 0.3) ? damage(random, bytes) : bytes;
}

function drawHandshake(random: Random, secret: string): string {
  const isValid = draw(random, 0.8);
  const headers = [
    'Host: x',
    'Connection: Upgrade',
    `Upgrade: ${isValid ? 'websocket' : pick(random, ['other', 'h2c', 'websocket, x'])}`,
    `Authorization: Bearer ${secret}`,
    `Sec-WebSocket-Version: ${isValid ? 13 : pick(random, ['8', '99', 'x'])}`,
    `Sec-WebSocket-Key: ${isValid || draw(random, 0.5) ? 'dGhlIHNhbXBsZSBub25jZQ==' : 'short'}`,
  ];
  if (draw(random, 0.2)) {
    headers.push(
      pick(random, [
        'X-Monsoonglade-Peer: \u00ff',
        'Sec-WebSocket-Extensions: permessage-deflate; x=;;',
        'Sec-WebSocket-Protocol: a,,b',
        'Content-Length: 10',
      ]),
    );
  }
  return `${pick(random, ['GET', 'GET', 'GET', 'POST'])} ${pick(random, ['/', '/', '//'])} HTTP/1.1\r\n${headers.join('\r\n')}\r\n\r\n`;
}

function drawFrame(random: Random, access: PeerAccess): Buffer {
  if (draw(random, 0.1)) {
    return drawOddFrame(random);
  }
  const message = draw(random, 0.9) ? JSON.stringify(drawMessage(random, access)) : '{"jsonrpc":"2.0","meth';
  return makeFrame(TEXT_OPCODE, Buffer.from(message));
}

/** Draws a frame that breaks the rules of WebSocket connections, or a rarely used one. */
function drawOddFrame(random: Random): Buffer {
  const payload = drawBytes(random);
  switch (random.nextInt(7)) {
    case 0:
      return payload;
    case 1:
      return makeFrame(random.nextInt(16), payload);
    case 2:
      return makeFrame(TEXT_OPCODE, payload);
    case 3:
      return Buffer.from([FINAL_BIT | TEXT_OPCODE, 1, 0x61]);
    case 4:
      return Buffer.concat([
        Buffer.from([FINAL_BIT | TEXT_OPCODE, MASK_BIT | LENGTH_64_BIT]),
        Buffer.alloc(8, 0xff),
        payload,
      ]);
    case 5:
      return makeFrame(8, Buffer.from([0, random.nextInt(256)]));
    default: {
      const frame = makeFrame(TEXT_OPCODE, payload);
      frame[0] = random.nextInt(256);
      return frame;
    }
  }
}

function drawMessage(random: Random, access: PeerAccess): unknown {
  const kind = random.nextInt(12);
  switch (kind) {
    case 0:
      return pick(random, VALUES);
    case 1:
      return { jsonrpc: '2.0', id: pick(random, VALUES), result: pick(random, VALUES) };
    case 2:
      return { jsonrpc: '2.0', id: pick(random, VALUES), error: pick(random, VALUES) };
    case 3:
      return Array.from({ length: random.nextInt(5) }, () => drawCall(random, access));
    default:
      return drawCall(random, access);
  }
}

function drawCall(random: Random, access: PeerAccess): unknown {
  const method = draw(random, 0.95) ? pick(random, access.methods) : pick(random, VALUES);
  const id = draw(random, 0.5) ? { id: random.nextInt(100) } : {};
  return {
    jsonrpc: '2.0',
    ...id,
    method,
    params: draw(random, 0.8) ? drawParams(random) : pick(random, VALUES),
  };
}

function drawParams(random: Random): Record<string, unknown> {
  const params: Record<string, unknown> = {};
  for (let count = random.nextInt(MAX_FIELD_COUNT); count > 0; count--) {
    params[pick(random, FIELDS)] = draw(random, 0.2) ? drawParams(random) : pick(random, VALUES);
  }
  return params;
}

/** Returns a final frame with a mask of zeros. */
function makeFrame(opcode: number, payload: Buffer): Buffer {
  const mask = Buffer.alloc(4);
  if (payload.length <= MAX_SHORT_LENGTH) {
    return Buffer.concat([Buffer.from([FINAL_BIT | opcode, MASK_BIT | payload.length]), mask, payload]);
  }
  const head = Buffer.from([FINAL_BIT | opcode, MASK_BIT | LENGTH_16_BIT, 0, 0]);
  head.writeUInt16BE(payload.length, 2);
  return Buffer.concat([head, mask, payload]);
}
