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
import { commandArb, type FuzzedProperty, type Simulation } from './Simulation.js';

type Message =
  | { readonly kind: 'chunk'; readonly chunk: ResponseChunk }
  | { readonly kind: 'end'; readonly end: ResponseEnd };

interface AttemptStream {
  readonly attemptId: ReturnType<typeof toAttemptId>;
  readonly tracker: VerdictTracker;
  assembler: ResponseAssembler;
  /** Whether a copy of the run order is still in transit. */
  orderInFlight: boolean;
  readonly toRouter: Message[];
  producedText: string;
  hasRun: boolean;
  deliveredText: string;
  completedText?: string;
  provedDidNotRun: boolean;
}

/** Simulates an agent's attempt table and a router's assembler, on a channel that loses, duplicates and reorders messages. */
export class ResponseSimulation implements Simulation {
  readonly table: AttemptTable;
  readonly streams: AttemptStream[] = [];

  constructor(
    createTable: () => AttemptTable,
    private readonly createAssembler: () => ResponseAssembler,
  ) {
    this.table = createTable();
  }

  assertInvariants(): void {
    for (const stream of this.streams) {
      if (!stream.producedText.startsWith(stream.deliveredText)) {
        throw new Error(
          `${stream.attemptId} delivered "${stream.deliveredText}" of "${stream.producedText}"`,
        );
      }
      if (stream.completedText !== undefined && stream.completedText !== stream.producedText) {
        throw new Error(
          `${stream.attemptId} completed with "${stream.completedText}" instead of "${stream.producedText}"`,
        );
      }
      if (stream.provedDidNotRun && stream.hasRun) {
        throw new Error(`${stream.attemptId} ran although it was proved that it did not`);
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
      producedText: '',
      hasRun: false,
      deliveredText: '',
      provedDidNotRun: false,
    });
  }

  withStream(index: number, run: (stream: AttemptStream) => void): void {
    const stream = this.streams[index % Math.max(1, this.streams.length)];
    if (stream) {
      run(stream);
    }
  }

  /** Delivers the run order, which may arrive long after its connection closed, and more than once. */
  deliverOrder(stream: AttemptStream, isDuplicated: boolean): void {
    if (stream.orderInFlight && this.table.admit(stream.attemptId)) {
      stream.hasRun = true;
    }
    stream.orderInFlight &&= isDuplicated;
  }

  produce(stream: AttemptStream, text: string): void {
    const chunk = this.table.append(stream.attemptId, { text });
    if (chunk) {
      stream.producedText += text;
      stream.toRouter.push({ kind: 'chunk', chunk });
    }
  }

  finish(stream: AttemptStream): void {
    const chunkCount = this.table.getChunksFrom(stream.attemptId, 0).length;
    const end: ResponseEnd = { kind: 'complete', attemptId: stream.attemptId, chunkCount, tokenCount: 0 };
    if (this.table.finish(end, 0)) {
      stream.toRouter.push({ kind: 'end', end });
    }
  }

  deliverMessage(stream: AttemptStream, position: number, delivery: 'once' | 'twice' | 'lost'): void {
    const index = position % Math.max(1, stream.toRouter.length);
    const message = stream.toRouter[index];
    if (!message) {
      return;
    }
    if (delivery !== 'twice') {
      stream.toRouter.splice(index, 1);
    }
    if (delivery !== 'lost') {
      this.onMessage(stream, message);
    }
  }

  /** Reconnects the router, which queries the attempt's status and receives the missing chunks again. */
  resume(stream: AttemptStream): void {
    const status = this.table.resolveStatus(stream.attemptId, 0);
    if (status.kind === 'neverSeen' || status.kind === 'refused') {
      stream.tracker.proveDidNotRun({ attemptId: stream.attemptId, source: 'agentTombstone' });
      stream.provedDidNotRun = stream.tracker.verdict === 'didNotRun';
    }
    for (const chunk of this.table.getChunksFrom(stream.attemptId, stream.assembler.nextOrdinal)) {
      stream.toRouter.push({ kind: 'chunk', chunk });
    }
    if (status.kind === 'finished') {
      stream.toRouter.push({ kind: 'end', end: status.end });
    }
  }

  private onMessage(stream: AttemptStream, message: Message): void {
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

const streamIndexArb = fc.nat(3);
const commands = [
  commandArb('start', fc.constant(0), (simulation: ResponseSimulation) => simulation.start()),
  commandArb(
    'orderArrives',
    fc.tuple(streamIndexArb, fc.boolean()),
    (simulation: ResponseSimulation, [index, isDuplicated]) =>
      simulation.withStream(index, (stream) => simulation.deliverOrder(stream, isDuplicated)),
  ),
  commandArb(
    'produce',
    fc.tuple(streamIndexArb, fc.constantFrom('a', 'b', 'c')),
    (simulation: ResponseSimulation, [index, text]) =>
      simulation.withStream(index, (stream) => simulation.produce(stream, text)),
  ),
  commandArb('finish', streamIndexArb, (simulation: ResponseSimulation, index) =>
    simulation.withStream(index, (stream) => simulation.finish(stream)),
  ),
  ...[1, 2, 3].map(() =>
    commandArb(
      'messageArrives',
      fc.tuple(
        streamIndexArb,
        fc.constantFrom(0, 0, 1, 2),
        fc.constantFrom<'once' | 'twice' | 'lost'>('once', 'once', 'twice', 'lost'),
      ),
      (simulation: ResponseSimulation, [index, position, delivery]) =>
        simulation.withStream(index, (stream) => simulation.deliverMessage(stream, position, delivery)),
    ),
  ),
  commandArb('resume', streamIndexArb, (simulation: ResponseSimulation, index) =>
    simulation.withStream(index, (stream) => simulation.resume(stream)),
  ),
];

/** Delivers chunks in the order of arrival, duplicates included. */
class OrderIgnoringAssembler extends ResponseAssembler {
  override onChunk(chunk: ResponseChunk): AssemblyStep {
    return { kind: 'deliver', chunk };
  }
}

/** Accepts the end of a response before all chunks arrived. */
class EarlyEndAssembler extends ResponseAssembler {
  override onEnd(end: ResponseEnd): AssemblyStep {
    return { kind: 'finished', end };
  }
}

/** Stores no tombstone for a refused attempt. */
class TombstoneDroppingTable extends AttemptTable {
  override refuse(): void {
    return;
  }
}

/** Each caller receives the complete response to its request, and no attempt runs after a proof that it did not. */
export const responseProperty: FuzzedProperty<ResponseSimulation> = {
  name: 'each caller gets the whole answer to its own request, and "did not run" is true',
  commands,
  maxCommands: 100,
  create: () =>
    new ResponseSimulation(
      () => new AttemptTable(),
      () => new ResponseAssembler(),
    ),
  mutants: {
    'chunks delivered in the order of arrival': () =>
      new ResponseSimulation(
        () => new AttemptTable(),
        () => new OrderIgnoringAssembler(),
      ),
    'end accepted before all chunks arrived': () =>
      new ResponseSimulation(
        () => new AttemptTable(),
        () => new EarlyEndAssembler(),
      ),
    'attempt table drops tombstones': () =>
      new ResponseSimulation(
        () => new TombstoneDroppingTable(),
        () => new ResponseAssembler(),
      ),
  },
};
