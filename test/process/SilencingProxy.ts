import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** A TCP relay whose open connections can be silenced for good, without a reset, while new ones work. */
export class SilencingProxy {
  private readonly server: Server;
  private readonly pairs = new Set<readonly [Socket, Socket]>();

  /** @param target - Host and port to relay to. */
  constructor(target: string) {
    const [host = '', port] = target.split(':');
    this.server = createServer((inner) => {
      const outer = connect(Number(port), host);
      const pair = [inner, outer] as const;
      this.pairs.add(pair);
      inner.pipe(outer);
      outer.pipe(inner);
      for (const socket of pair) {
        socket.on('error', () => undefined);
        socket.on('close', () => this.close(pair));
      }
    });
  }

  /** Starts and gives the address to connect to. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Lets nothing more pass on the connections open now. */
  silence(): number {
    for (const [inner, outer] of this.pairs) {
      inner.unpipe(outer);
      outer.unpipe(inner);
      inner.pause();
      outer.pause();
    }
    return this.pairs.size;
  }

  async stop(): Promise<void> {
    for (const pair of this.pairs) {
      this.close(pair);
    }
    await new Promise((resolve) => this.server.close(resolve));
  }

  private close(pair: readonly [Socket, Socket]): void {
    this.pairs.delete(pair);
    for (const socket of pair) {
      socket.destroy();
    }
  }
}
