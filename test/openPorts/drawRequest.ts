import { Random } from '../../src/kernel/index.js';

const METHODS = [
  'GET',
  'GET',
  'POST',
  'POST',
  'PUT',
  'HEAD',
  'OPTIONS',
  'CONNECT',
  'TRACE',
  'get',
  'PRI',
  '',
];
const COMMON_TARGETS = [
  '/',
  '//',
  '///',
  '*',
  '',
  'http://',
  'http://[',
  'http://a.example/read/1',
  'a.example:443',
  '/%',
  '/%ff%zz?%=%',
  '/\u00e9\u00ff',
  '/read/\u0001',
  '/../..',
  '/read/../x?#',
  '/__proto__/constructor',
  `/${'a'.repeat(20_000)}`,
  `/${'/'.repeat(5_000)}`,
];
const VERSIONS = ['1.1', '1.1', '1.1', '1.1', '1.0', '0.9', '2.0', '9.9', 'x'];
const HEADERS = [
  'Host: a.example',
  'Host: a.example',
  'Host: [',
  'Host: a.example:99999:1',
  'Host:',
  'Connection: close',
  'Connection: keep-alive, Host, Request-Id',
  'Connection: Upgrade\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQ',
  'Connection: Upgrade\r\nUpgrade: websocket',
  'Content-Length: 2',
  'Content-Length: 2\r\nContent-Length: 3',
  'Content-Length: -1',
  'Content-Length: 99999999999999999999999',
  'Content-Length: 900000000',
  'Transfer-Encoding: chunked',
  'Transfer-Encoding: chunked\r\nContent-Length: 2',
  'Transfer-Encoding: gzip, chunked',
  'Transfer-Encoding: identity',
  'Transfer-Encoding: \u000bchunked',
  'Expect: 100-continue',
  'Expect: nothing',
  'Trailer: x',
  'TE: trailers',
  'Authorization: Bearer wrong',
  'Authorization: \u00ff',
  'Request-Id: q1',
  'Request-Id: q1\r\nRequest-Id: q2',
  'Request-Id: \u00e9\u00ff',
  'Request-Id: a\tb',
  'Request-Id: \u0000',
  'Request-Id:',
  `Request-Id: ${'q'.repeat(9_000)}`,
  'Deadline-Ms: -1',
  'Deadline-Ms: 1',
  'Deadline-Ms: 1e999',
  'Deadline-Ms: 99999999999999999999',
  'Deadline-Ms: \u00ff',
  'Model: \u00e9',
  'Model: /',
  'Model: __proto__/constructor',
  'Token-Count: -1,1e400',
  'Token-Count: ,,,',
  'Prompt-Prefix: ff:1,ff:1,:,g:1,0:999999999',
  `Prompt-Prefix: ${'ab:1,'.repeat(500)}`,
  'Last-Event-Id: \u00ff',
  'Last-Event-Id: 99999999999999999999',
  'Resumes: \u00e9',
  'Idempotency-Key: ../../x',
  'Idempotency-Key: \u00e9',
  'Request-Timeout-Ms: -1e99',
  'Request-Timeout-Ms: x',
  '__proto__: x',
  'constructor: x',
  'No colon',
  ': empty name',
  'X-Bad\u0000Name: x',
  ' folded',
];
const BODIES = [
  '',
  'hi',
  '{}',
  'null',
  '[]',
  '"',
  '{"model":null,"messages":[null]}',
  '{"model":"quotes/base","messages":[{"role":"user","content":"a"}],"max_tokens":1}',
  '{"model":"quotes/base","messages":[{"role":"user","content":"a"}],"max_tokens":-1e400,"stream":1}',
  '{"model":"__proto__/constructor","messages":{},"max_tokens":null}',
  '2\r\nhi\r\n0\r\n\r\n',
  '2;a=b\r\nhi\r\n0\r\nX: y\r\n\r\n',
  'zz\r\n',
  'fffffffffffffffff\r\n',
  'a'.repeat(100_000),
];
const MAX_HEADER_COUNT = 6;
const MAX_RANDOM_BYTES = 300;
const BYTE_COUNT = 256;

/** Parts of requests that a process knows, so that random requests get past its first checks. */
export interface KnownParts {
  readonly targets: readonly string[];
  readonly headers: readonly string[];
}

/** Draws one of several values. */
export function pick<T>(random: Random, values: readonly T[]): T {
  return values[random.nextInt(values.length)]!;
}

/** Draws whether something with the given probability happens. */
export function draw(random: Random, probability: number): boolean {
  return random.nextFraction() < probability;
}

/** Draws bytes of any value. */
export function drawBytes(random: Random): Buffer {
  return Buffer.from(
    Array.from({ length: random.nextInt(MAX_RANDOM_BYTES) }, () => random.nextInt(BYTE_COUNT)),
  );
}

/** Draws the bytes that a caller sends on one connection: requests with odd parts, often cut or damaged. */
export function drawRequests(random: Random, known: KnownParts): Buffer {
  if (draw(random, 0.1)) {
    return drawBytes(random);
  }
  const count = draw(random, 0.2) ? 2 + random.nextInt(20) : 1;
  const requests = Array.from({ length: count }, () => drawRequest(random, known));
  return damage(random, Buffer.from(requests.join(''), 'latin1'));
}

/** Cuts bytes at a random place, or replaces some of them. */
export function damage(random: Random, bytes: Buffer): Buffer {
  const kind = random.nextInt(6);
  const at = random.nextInt(bytes.length + 1);
  if (kind === 0) {
    return bytes.subarray(0, at);
  }
  if (kind === 1) {
    return Buffer.concat([bytes.subarray(0, at), drawBytes(random), bytes.subarray(at + random.nextInt(9))]);
  }
  return bytes;
}

function drawRequest(random: Random, known: KnownParts): string {
  const isKnown = draw(random, 0.5);
  const target = pick(random, isKnown ? known.targets : [...COMMON_TARGETS, ...known.targets]);
  const headers = isKnown ? [...known.headers] : [];
  for (let count = random.nextInt(MAX_HEADER_COUNT); count > 0; count--) {
    headers.push(pick(random, draw(random, 0.2) ? known.headers : HEADERS));
  }
  const body = pick(random, BODIES);
  if (draw(random, 0.5)) {
    headers.push(`Content-Length: ${body.length}`);
  }
  const head = `${pick(random, METHODS)} ${target} HTTP/${pick(random, VERSIONS)}`;
  return `${[head, ...headers].join('\r\n')}\r\n\r\n${body}`;
}
