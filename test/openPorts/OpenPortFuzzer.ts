import { connect, type Socket } from 'node:net';
import { Random } from '../../src/kernel/index.js';
import { drawPeerBytes, type PeerAccess } from './drawPeerBytes.js';
import { draw, drawRequests, pick, type KnownParts } from './drawRequest.js';

/** Connections that are open at the same time. */
const PARALLEL_COUNT = 32;
/** Time for which a silent connection stays open, in milliseconds. */
const SILENCE_MS = 150;
/** Maximum time between two parts of what a connection sends, in milliseconds. */
const MAX_PAUSE_MS = 10;
const ENDS = ['reset', 'reset', 'halfClose', 'silence', 'close'] as const;
/** Lines that show an error for which a process has no handler, or which ended it. */
const UNCAUGHT_PATTERN = /uncaught|unhandled|^\s+at .*:\d+\)?$|^Node\.js v/im;

/** Port of a process that is open to others. */
export interface OpenPort {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  /** Present on a port for peers. */
  readonly peerAccess?: PeerAccess;
}

/** Sends random bytes, requests and messages to open ports. */
export class OpenPortFuzzer {
  private nextConnection = 0;

  /**
   * @param seed - Seed of all draws.
   * @param ports - Ports to connect to.
   * @param known - Parts of valid requests.
   */
  constructor(
    private readonly seed: number,
    private readonly ports: readonly OpenPort[],
    private readonly known: KnownParts,
  ) {}

  /**
   * Opens connections, many at the same time.
   * @param count - Number of connections.
   */
  async run(count: number): Promise<void> {
    const endAt = this.nextConnection + count;
    const connectUntilDone = async () => {
      while (this.nextConnection < endAt) {
        await this.runConnection(this.nextConnection++);
      }
    };
    await Promise.all(Array.from({ length: PARALLEL_COUNT }, connectUntilDone));
  }

  /** Runs one connection; its draws depend on the seed and its number alone. */
  private async runConnection(connectionNumber: number): Promise<void> {
    const random = new Random(Math.imul(this.seed, 1_000_003) + connectionNumber);
    const target = pick(random, this.ports);
    const isPeer = target.peerAccess !== undefined && draw(random, 0.8);
    const bytes =
      isPeer && target.peerAccess
        ? drawPeerBytes(random, target.peerAccess)
        : drawRequests(random, this.known);
    const socket = connect({ host: target.host, port: target.port, allowHalfOpen: draw(random, 0.5) });
    const isClosed = new Promise<void>((resolve) => socket.once('close', () => resolve()));
    socket.on('error', () => undefined);
    if (draw(random, 0.8)) {
      socket.resume();
    }
    socket.once('connect', () => void send(socket, bytes, random));
    await isClosed;
  }
}

/**
 * Returns the lines of a process's output that show an error without a handler.
 * @param output - Standard output and standard error.
 */
export function findUncaught(output: string): string[] {
  return output.split('\n').filter((line) => UNCAUGHT_PATTERN.test(line));
}

/** Sends bytes in one or more parts and ends the connection in a random way. */
async function send(socket: Socket, bytes: Buffer, random: Random): Promise<void> {
  const end = pick(random, ENDS);
  const partCount = draw(random, 0.6) ? 1 : 2 + random.nextInt(3);
  const partLength = Math.ceil(bytes.length / partCount);
  for (let part = 0; part < partCount; part++) {
    if (part > 0) {
      await sleep(random.nextInt(MAX_PAUSE_MS));
    }
    socket.write(bytes.subarray(part * partLength, (part + 1) * partLength));
  }
  if (draw(random, 0.5)) {
    await sleep(random.nextInt(MAX_PAUSE_MS));
  }
  switch (end) {
    case 'reset':
      socket.resetAndDestroy();
      return;
    case 'close':
      socket.destroy();
      return;
    case 'halfClose':
      socket.end();
      break;
    case 'silence':
      break;
  }
  await sleep(SILENCE_MS);
  socket.destroy();
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
