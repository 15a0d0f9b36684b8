import * as fc from 'fast-check';
import type { Socket } from 'node:net';

/** Answer of a scripted server to one request on a kept connection. */
export interface AnswerPlan {
  readonly kind: 'idempotent' | 'nonIdempotent' | 'stream';
  readonly method: 'GET' | 'POST' | 'HEAD';
  readonly requestLength: number;
  /** Whether the server answers before it has read the body of the request. */
  readonly isEarly: boolean;
  readonly status: number;
  readonly framing: 'length' | 'chunked' | 'none';
  readonly partCount: number;
  readonly interimCount: number;
  /** Headers that a caller receives as well. */
  readonly headers: readonly string[];
  /** Number of bytes that the server writes at once. */
  readonly packetLength: number;
  readonly packetDelayMs: number;
  /** Pause after one of the packets, in milliseconds; shorter than any timeout. */
  readonly silenceMs: number;
  /** Part of the answer after which the silence comes and where a cut answer ends. */
  readonly position: number;
  readonly ending: 'kept' | 'ended' | 'reset' | 'garbage' | 'second' | 'cutByEnd' | 'cutByReset';
}

const SERVER_HEADERS = [
  'X-Note: \u00e9',
  'X-Note: a\tb',
  'X-Note:',
  'Set-Cookie: a=1\r\nSet-Cookie: b=2',
  'Connection: close',
  'Connection: keep-alive, X-Note\r\nKeep-Alive: timeout=0\r\nX-Note: 1',
  'Trailer: X-Late',
  'Upgrade: h2c',
  'Date: yesterday',
];

/** Statuses of answers; those without a body, and those that are no final status, are included. */
const STATUSES = [200, 200, 200, 200, 201, 204, 304, 404, 500, 502, 599, 600, 999, 0, 99, 101];

/** Generates answers, sound and unsound ones. */
export const ANSWER_PLANS: fc.Arbitrary<AnswerPlan> = fc.record({
  kind: fc.constantFrom('idempotent' as const, 'nonIdempotent' as const, 'stream' as const),
  method: fc.constantFrom('GET' as const, 'POST' as const, 'POST' as const, 'HEAD' as const),
  requestLength: fc.constantFrom(0, 1, 5_000, 90_000),
  isEarly: fc.boolean(),
  status: fc.constantFrom(...STATUSES),
  framing: fc.constantFrom('length' as const, 'chunked' as const, 'none' as const),
  partCount: fc.constantFrom(0, 1, 3, 8, 2_000),
  interimCount: fc.nat(2),
  headers: fc.subarray(SERVER_HEADERS, { maxLength: 3 }),
  packetLength: fc.constantFrom(1, 7, 100, 1_000_000),
  packetDelayMs: fc.nat(1),
  silenceMs: fc.constantFrom(0, 0, 50),
  position: fc.double({ min: 0, max: 1, noNaN: true, maxExcluded: true }),
  ending: fc.constantFrom(
    'kept' as const,
    'ended' as const,
    'reset' as const,
    'garbage' as const,
    'second' as const,
    'cutByEnd' as const,
    'cutByReset' as const,
  ),
});

/** Number of packets after which the rest of an answer is written at once. */
const MAX_PACKETS = 25;
/** Time between the last byte of an answer and the end of its connection, in milliseconds. */
const END_DELAY_MS = 5;

/** Bytes of a planned answer and what a caller may make of them. */
export class PlannedAnswer {
  readonly isStream: boolean;
  /** Parts of the body that a caller receives. */
  readonly parts: readonly string[];
  private readonly head: string;
  private readonly wire: string;

  /**
   * @param plan - Plan of the answer.
   * @param requestId - ID of the request.
   */
  constructor(
    readonly plan: AnswerPlan,
    requestId: string,
  ) {
    this.isStream = plan.kind === 'stream' && plan.status === 200;
    const formatPart = (_: unknown, index: number) =>
      this.isStream ? `id: ${index + 1}\ndata: token\n\n` : `{"part":${index}}`;
    this.parts = this.hasBody ? Array.from({ length: plan.partCount }, formatPart) : [];
    this.head = this.formatHead(requestId);
    this.wire = this.head + this.formatBody();
  }

  /** Body of the whole answer. */
  get text(): string {
    return this.parts.join('');
  }

  /** Whether the status is one with which an answer can end. */
  get hasFinalStatus(): boolean {
    return this.plan.status >= 200 && this.plan.status <= 599;
  }

  /** Whether the answer ends with its connection. */
  get endsWithConnection(): boolean {
    return this.hasBody && this.plan.framing === 'none';
  }

  /** Whether the server sends the whole answer in a form in which that can be seen. */
  get isSound(): boolean {
    const isEndHidden = this.endsWithConnection && (this.plan.ending === 'reset' || this.isEmptyStream);
    return this.hasFinalStatus && !this.isCut && !isEndHidden;
  }

  /** Whether the answer is a stream without events, which looks whole only with a length or chunks. */
  private get isEmptyStream(): boolean {
    return this.isStream && this.parts.length === 0;
  }

  /** Whether the end of a cut answer looks like that of a whole one. */
  get isCutInvisibly(): boolean {
    const { ending } = this.plan;
    if (!this.isCut) {
      return false;
    }
    if (!this.hasBody) {
      return this.sentLength >= this.head.length;
    }
    if (!this.endsWithConnection || ending === 'cutByReset' || this.sentLength < this.head.length) {
      return false;
    }
    return !this.isStream || this.wire.slice(0, this.sentLength).endsWith('\n\n');
  }

  private get isCut(): boolean {
    return this.plan.ending === 'cutByEnd' || this.plan.ending === 'cutByReset';
  }

  private get hasBody(): boolean {
    const { method, status } = this.plan;
    return method !== 'HEAD' && status !== 204 && status !== 304;
  }

  private get sentLength(): number {
    return this.isCut ? Math.floor(this.plan.position * this.wire.length) : this.wire.length;
  }

  /** Writes the answer as planned. */
  async send(socket: Socket): Promise<void> {
    const { packetDelayMs, silenceMs, position, packetLength, ending } = this.plan;
    const text = this.wire.slice(0, this.sentLength) + this.formatExtra();
    const silentAt = Math.floor(position * text.length);
    let hasBeenSilent = silenceMs === 0;
    let packetCount = 0;
    for (let offset = 0; offset < text.length;) {
      const end = ++packetCount < MAX_PACKETS ? offset + packetLength : text.length;
      socket.write(text.slice(offset, end), 'latin1');
      offset = end;
      const delayMs = !hasBeenSilent && offset >= silentAt ? silenceMs : packetDelayMs;
      hasBeenSilent ||= offset >= silentAt;
      if (delayMs > 0) {
        await sleep(delayMs);
      }
    }
    if (ending === 'reset' || ending === 'cutByReset') {
      await sleep(END_DELAY_MS);
      socket.resetAndDestroy();
    } else if (ending === 'ended' || ending === 'cutByEnd' || this.endsWithConnection) {
      socket.end();
    }
  }

  /** Returns bytes that follow the whole answer and belong to no request. */
  private formatExtra(): string {
    if (this.endsWithConnection) {
      return '';
    }
    switch (this.plan.ending) {
      case 'garbage':
        return '\u0000garbage\r\n\r\n';
      case 'second':
        return 'HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\nother';
      case 'kept':
      case 'ended':
      case 'reset':
      case 'cutByEnd':
      case 'cutByReset':
        return '';
    }
  }

  private formatHead(requestId: string): string {
    const { interimCount, status, framing, headers } = this.plan;
    const framingHeaders = {
      length: `Content-Length: ${this.text.length}\r\n`,
      chunked: 'Transfer-Encoding: chunked\r\n',
      none: '',
    };
    const lines = [
      `HTTP/1.1 ${String(status).padStart(3, '0')} Any`,
      `Request-Id: ${requestId}`,
      'Response-Stamp: s',
      `Content-Type: ${this.isStream ? 'text/event-stream' : 'application/json'}`,
      ...headers,
    ];
    const interim = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'.repeat(interimCount);
    const framingHeader = status === 204 || status === 304 ? '' : framingHeaders[framing];
    return `${interim}${lines.join('\r\n')}\r\n${framingHeader}\r\n`;
  }

  private formatBody(): string {
    if (!this.hasBody) {
      return '';
    }
    if (this.plan.framing !== 'chunked') {
      return this.text;
    }
    const chunks = this.parts.map((part) => `${part.length.toString(16)}\r\n${part}\r\n`);
    return `${chunks.join('')}0\r\n\r\n`;
  }
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
