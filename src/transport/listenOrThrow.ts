import type { Server } from 'node:http';
import { ListenError } from './ListenError.js';

/** Address that a server binds to. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Binds a server; the error of a failed bind names the address and its settings field.
 * @param server - Server to bind.
 * @param address - Address to bind to.
 * @param field - Settings field that holds the address.
 * @throws ListenError when the server cannot be bound; it may be bound again later.
 */
export async function listenOrThrow(server: Server, address: ListenAddress, field: string): Promise<void> {
  let onListening: () => void = () => undefined;
  let onError: (error: Error) => void = () => undefined;
  try {
    await new Promise<void>((resolve, reject) => {
      onListening = resolve;
      onError = reject;
      server.once('error', onError);
      server.once('listening', onListening);
      server.listen(address.port, address.host);
    });
  } catch (error) {
    const { code = 'unknown' } = error as NodeJS.ErrnoException;
    const cause = code === 'EADDRINUSE' ? 'is in use by another process' : `cannot be bound (${code})`;
    throw new ListenError(`${field}: ${address.host}:${address.port} ${cause}; choose a free port.`, code);
  } finally {
    server.off('listening', onListening);
    server.off('error', onError);
  }
}
