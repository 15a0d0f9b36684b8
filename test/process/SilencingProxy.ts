import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** TCP proxy that can stop forwarding on its open connections without resetting them, while new connections work. */
export class SilencingProxy {
  private readonly server: Server;
  private readonly pairs = new Set<readonly [Socket, Socket]>();
  private readonly silencedPairs: (readonly [Socket, Socket])[] = [];

  /** @param target - Host and port to forward to. */
  constructor(target: string) {
    const [host = '', port] = target.split(':');
    this.server = createServer((downstream) => {
      const upstream = connect(Number(port), host);
      const pair = [downstream, upstream] as const;
      this.pairs.add(pair);
      downstream.pipe(upstream);
      upstream.pipe(downstream);
      for (const socket of pair) {
        socket.on('error', () => undefined);
        socket.on('close', () => this.close(pair));
      }
    });
  }

  /** Starts the proxy and returns the address to connect to. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Stops forwarding on all open connections and returns their number. */
  silence(): number {
    for (const pair of this.pairs) {
      const [downstream, upstream] = pair;
      this.silencedPairs.push(pair);
      downstream.unpipe(upstream);
      upstream.unpipe(downstream);
      downstream.pause();
      upstream.pause();
    }
    return this.pairs.size;
  }

  /** Closes the silenced connections, as happens when the end of a connection arrives late. */
  closeSilenced(): void {
    for (const pair of this.silencedPairs.splice(0)) {
      this.close(pair);
    }
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
