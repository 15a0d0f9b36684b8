import fc from 'fast-check';
import { AttemptTable } from '../../src/agent/decisions/index.js';
import {
  toAttemptId,
  toRequestId,
  VerdictTracker,
  type ResponseChunk,
  type ResponseEnd,
} from '../../src/domain/index.js';
import { ResponseAssembler, type AssemblyStep } from '../../src/router/decisions/index.js';
import { action, type FuzzedPromise, type World } from './Action.js';

type Message =
  | { readonly kind: 'chunk'; readonly chunk: ResponseChunk }
  | { readonly kind: 'end'; readonly end: ResponseEnd };

interface Stream {
  readonly attemptId: ReturnType<typeof toAttemptId>;
  readonly tracker: VerdictTracker;
  assembler: ResponseAssembler;
  /** The run order on its way; undefined when it arrived or was lost. */
  orderInFlight: boolean;
  readonly toRouter: Message[];
  ranText: string;
  hasRun: boolean;
  deliveredText: string;
  completedText?: string;
  provedDidNotRun: boolean;
}

/** An agent's attempt table and a router's assembler, with a channel between them that loses, doubles and reorders. */
export class AnswerWorld implements World {
  readonly table: AttemptTable;
  readonly streams: Stream[] = [];

  constructor(
    createTable: () => AttemptTable,
    private readonly createAssembler: () => ResponseAssembler,
  ) {
    this.table = createTable();
  }

  assertPromises(): void {
    for (const stream of this.streams) {
      if (!stream.ranText.startsWith(stream.deliveredText)) {
        throw new Error(`${stream.attemptId} delivered "${stream.deliveredText}" of "${stream.ranText}"`);
      }
      if (stream.completedText !== undefined && stream.completedText !== stream.ranText) {
        throw new Error(
          `${stream.attemptId} was called whole as "${stream.completedText}" instead of "${stream.ranText}"`,
        );
      }
      if (stream.provedDidNotRun && stream.hasRun) {
        throw new Error(`${stream.attemptId} ran although it was proved not to`);
      }
    }
  }

  start(): void {
    const attemptId = toAttemptId(toRequestId(`r${this.streams.length}`), 1);
    const tracker = new VerdictTracker();
    tracker.markPossiblySent(attemptId);
    this.streams.push({
      attemptId,
      tracker,
      assembler: this.createAssembler(),
      orderInFlight: true,
      toRouter: [],
      ranText: '',
      hasRun: false,
      deliveredText: '',
      provedDidNotRun: false,
    });
  }

  with(index: number, run: (stream: Stream) => void): void {
    const stream = this.streams[index % Math.max(1, this.streams.length)];
    if (stream) {
      run(stream);
    }
  }

  /** The order may arrive long after its connection was given up, and twice. */
  orderArrives(stream: Stream, stays: boolean): void {
    if (stream.orderInFlight && this.table.admit(stream.attemptId)) {
      stream.hasRun = true;
    }
    stream.orderInFlight &&= stays;
  }

  produce(stream: Stream, text: string): void {
    const chunk = this.table.append(stream.attemptId, { text });
    if (chunk) {
      stream.ranText += text;
      stream.toRouter.push({ kind: 'chunk', chunk });
    }
  }

  finish(stream: Stream): void {
    const chunkCount = this.table.chunksFrom(stream.attemptId, 0).length;
    const end: ResponseEnd = { kind: 'complete', attemptId: stream.attemptId, chunkCount, tokenCount: 0 };
    if (this.table.finish(end, 0)) {
      stream.toRouter.push({ kind: 'end', end });
    }
  }

  messageArrives(stream: Stream, position: number, fate: 'once' | 'twice' | 'lost'): void {
    const index = position % Math.max(1, stream.toRouter.length);
    const message = stream.toRouter[index];
    if (!message) {
      return;
    }
    if (fate !== 'twice') {
      stream.toRouter.splice(index, 1);
    }
    if (fate !== 'lost') {
      this.take(stream, message);
    }
  }

  /** The router reconnects, asks, and gets the rest again. */
  resume(stream: Stream): void {
    const status = this.table.resolveStatus(stream.attemptId, 0);
    if (status.kind === 'neverSeen' || status.kind === 'refused') {
      stream.tracker.proveDidNotRun({ attemptId: stream.attemptId, source: 'agentTombstone' });
      stream.provedDidNotRun = stream.tracker.verdict === 'didNotRun';
    }
    for (const chunk of this.table.chunksFrom(stream.attemptId, stream.assembler.nextOrdinal)) {
      stream.toRouter.push({ kind: 'chunk', chunk });
    }
    if (status.kind === 'finished') {
      stream.toRouter.push({ kind: 'end', end: status.end });
    }
  }

  private take(stream: Stream, message: Message): void {
    const step: AssemblyStep =
      message.kind === 'chunk'
        ? stream.assembler.onChunk(message.chunk)
        : stream.assembler.onEnd(message.end);
    if (step.kind === 'deliver') {
      stream.deliveredText += step.chunk.text;
    }
    if (step.kind === 'finished' && step.end.kind === 'complete') {
      stream.completedText = stream.deliveredText;
    }
  }
}

const which = fc.nat(3);
const actions = [
  action('start', fc.constant(0), (world: AnswerWorld) => world.start()),
  action('orderArrives', fc.tuple(which, fc.boolean()), (world: AnswerWorld, [index, stays]) =>
    world.with(index, (stream) => world.orderArrives(stream, stays)),
  ),
  action('produce', fc.tuple(which, fc.constantFrom('a', 'b', 'c')), (world: AnswerWorld, [index, text]) =>
    world.with(index, (stream) => world.produce(stream, text)),
  ),
  action('finish', which, (world: AnswerWorld, index) => world.with(index, (stream) => world.finish(stream))),
  ...[1, 2, 3].map(() =>
    action(
      'messageArrives',
      fc.tuple(
        which,
        fc.constantFrom(0, 0, 1, 2),
        fc.constantFrom<'once' | 'twice' | 'lost'>('once', 'once', 'twice', 'lost'),
      ),
      (world: AnswerWorld, [index, position, fate]) =>
        world.with(index, (stream) => world.messageArrives(stream, position, fate)),
    ),
  ),
  action('resume', which, (world: AnswerWorld, index) => world.with(index, (stream) => world.resume(stream))),
];

class TrustingAssembler extends ResponseAssembler {
  override onChunk(chunk: ResponseChunk): AssemblyStep {
    return { kind: 'deliver', chunk };
  }
}

class HastyAssembler extends ResponseAssembler {
  override onEnd(end: ResponseEnd): AssemblyStep {
    return { kind: 'finished', end };
  }
}

class ForgetfulTable extends AttemptTable {
  override refuse(): void {
    return;
  }
}

/** Whole answers to their own callers, and "did not run" only where it is true. */
export const answerPromise: FuzzedPromise<AnswerWorld> = {
  name: 'each caller gets the whole answer to its own request, and "did not run" is true',
  actions,
  maxCommands: 100,
  create: () =>
    new AnswerWorld(
      () => new AttemptTable(),
      () => new ResponseAssembler(),
    ),
  mutants: {
    'pieces taken as they come': () =>
      new AnswerWorld(
        () => new AttemptTable(),
        () => new TrustingAssembler(),
      ),
    'end believed without its pieces': () =>
      new AnswerWorld(
        () => new AttemptTable(),
        () => new HastyAssembler(),
      ),
    'agent forgets that it promised to refuse': () =>
      new AnswerWorld(
        () => new ForgetfulTable(),
        () => new ResponseAssembler(),
      ),
  },
};
