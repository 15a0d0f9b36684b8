import { createServer, type Server } from 'node:net';

/** First port of the first block; all blocks lie below the ports that systems assign by themselves. */
const FIRST_PORT = 10_000;
/** Number of ports of a block, including the one that reserves it. */
const BLOCK_PORT_COUNT = 100;
/** Number of blocks, which is also the number of loopback subnets. */
const BLOCK_COUNT = 200;
/** Second octet of all loopback subnets. */
const SUBNET_OCTET = 77;

/**
 * Block of ports on 127.0.0.1 and a subnet of loopback addresses that no other reservation on this machine uses.
 *
 * The reservation is a listening socket on the first port of the block: it excludes other processes until it is released
 * or its process ends, also before anything listens on the other ports. A port that the system assigned and that was
 * closed again can be assigned to another process at any time.
 */
export class LoopbackReservation {
  private takenCount = 0;

  private constructor(
    private readonly index: number,
    private readonly lock: Server,
  ) {}

  /** Reserves the first free block, starting from one that depends on the process. */
  static async create(): Promise<LoopbackReservation> {
    for (let offset = 0; offset < BLOCK_COUNT; offset++) {
      const index = (process.pid + offset) % BLOCK_COUNT;
      const lock = createServer();
      if (await tryListen(lock, getFirstPort(index))) {
        lock.unref();
        return new LoopbackReservation(index, lock);
      }
    }
    throw new Error(`All ${BLOCK_COUNT} blocks of loopback ports are reserved by other processes.`);
  }

  /** Returns the next port of the block that nothing listens on. */
  async takePort(): Promise<number> {
    while (this.takenCount < BLOCK_PORT_COUNT - 1) {
      const port = getFirstPort(this.index) + ++this.takenCount;
      const probe = createServer();
      if (await tryListen(probe, port)) {
        await new Promise((resolve) => probe.close(resolve));
        return port;
      }
    }
    throw new Error('All ports of the reserved block are taken.');
  }

  /**
   * Returns an address of the reserved subnet.
   * @param hostNumber - Last octet of the address, from 1 to 254.
   */
  getAddress(hostNumber: number): string {
    return `127.${SUBNET_OCTET}.${this.index}.${hostNumber}`;
  }

  /** Allows other reservations of the block and the subnet. */
  async release(): Promise<void> {
    await new Promise((resolve) => this.lock.close(resolve));
  }
}

function getFirstPort(index: number): number {
  return FIRST_PORT + index * BLOCK_PORT_COUNT;
}

function tryListen(server: Server, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => resolve(true));
  });
}
