import { expect } from 'chai';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { WebSocket } from 'ws';
import { delay, SystemClock } from '../../src/kernel/index.js';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { PeerDialer, PeerServer, TrafficMeter, type PeerConnection } from '../../src/transport/index.js';
import { waitUntil } from '../waiting.js';

const CLOCK = new SystemClock();
const RESET_COUNT = 20;
/** Time limit for the server to close a connection, in milliseconds. */
const CLOSE_LIMIT_MS = 10_000;
/** Time limit for the server to stop, in milliseconds. */
const STOP_LIMIT_MS = 5_000;
/** Time after the beginning of a stop at which a peer upgrades its connection, in milliseconds. */
const LATE_UPGRADE_MS = 300;
/** Valid opening handshake. */
const UPGRADE = `${[
  'GET / HTTP/1.1',
  'Host: x',
  'Connection: Upgrade',
  'Upgrade: websocket',
  'Sec-WebSocket-Version: 13',
  'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==',
  'Authorization: Bearer s',
].join('\r\n')}\r\n\r\n`;

/** Returns an opening handshake with a wrong secret, or one that isn't a WebSocket handshake. */
function formatUpgrade(authorization: string, protocol: string): string {
  return `GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: ${protocol}\r\nAuthorization: ${authorization}\r\n\r\n`;
}

function dial(name: string, address: string): Promise<PeerConnection> {
  const dialer = new PeerDialer(name, 's', CLOCK, new TrafficMeter());
  return dialer.connect(address);
}

describe('PeerServer', () => {
  describe('upgrade', () => {
    let reservation: LoopbackReservation;
    let server: PeerServer;
    let port: number;
    let sockets: Socket[];

    beforeEach(async () => {
      reservation = await LoopbackReservation.create();
      port = await reservation.takePort();
      server = new PeerServer({ host: '127.0.0.1', port }, 's', CLOCK, {}, new TrafficMeter());
      await server.start();
      sockets = [];
    });

    afterEach(async () => {
      for (const socket of sockets) {
        socket.destroy();
      }
      await server.stop();
      await reservation.release();
    });

    async function open(): Promise<Socket> {
      const socket = connect({ host: '127.0.0.1', port, allowHalfOpen: true });
      sockets.push(socket);
      socket.on('error', () => undefined);
      socket.resume();
      await once(socket, 'connect');
      return socket;
    }

    // Issue 39, FAULT: a connection that was reset before its refusal was written ended the agent.
    for (const request of [formatUpgrade('Bearer wrong', 'websocket'), formatUpgrade('Bearer s', 'other')]) {
      it(`refuses connections that are reset at once: ${JSON.stringify(request)}`, async () => {
        for (let count = 0; count < RESET_COUNT; count++) {
          const socket = await open();
          socket.write(request);
          socket.resetAndDestroy();
        }
        const connection = await dial('peer', `127.0.0.1:${port}`);
        expect(connection.isOpen).to.equal(true);
        connection.terminate();
      });
    }

    // Issue 39, FAULT: connections without the secret kept their descriptors for good.
    it('closes a refused connection although its dialer keeps it open', async () => {
      const socket = await open();
      let receivedText = '';
      socket.on('data', (chunk: Buffer) => (receivedText += chunk.toString()));
      socket.write(formatUpgrade('Bearer wrong', 'websocket'));
      await once(socket, 'end');
      expect(receivedText).to.match(/^HTTP\/1\.1 401 /);
      // Only a connection that is closed in both directions resets what arrives.
      const sendUntilReset = setInterval(() => socket.write('x'), 20);
      await waitUntil(() => socket.destroyed, CLOSE_LIMIT_MS);
      clearInterval(sendUntilReset);
      expect(socket.destroyed).to.equal(true);
    });

    it('closes a connection that sends nothing', async function () {
      this.timeout(2 * CLOSE_LIMIT_MS);
      const socket = await open();
      let hasEnded = false;
      socket.on('end', () => (hasEnded = true));
      await waitUntil(() => hasEnded, CLOSE_LIMIT_MS);
      expect(hasEnded).to.equal(true);
    });
  });

  describe('stop', () => {
    it('resolves although one peer is unresponsive and another redials meanwhile', async () => {
      // Redialling needs the same port, also after the server has closed it.
      const reservation = await LoopbackReservation.create();
      const port = await reservation.takePort();
      const address = `127.0.0.1:${port}`;
      const server = new PeerServer({ host: '127.0.0.1', port }, 's', CLOCK, {}, new TrafficMeter());
      await server.start();
      const unresponsive = new WebSocket(`ws://${address}`, {
        headers: { authorization: 'Bearer s' },
      });
      await once(unresponsive, 'open');
      unresponsive.pause();
      const first = await dial('first', address);
      let redialled: Promise<unknown> = Promise.resolve();
      first.onClose(() => {
        redialled = dial('again', address).catch(() => undefined);
      });
      const isStopped = await Promise.race([
        server.stop().then(() => true),
        delay(CLOCK, 2_500).then(() => false),
      ]);
      await redialled;
      unresponsive.terminate();
      await reservation.release();
      expect(isStopped).to.equal(true);
    });

    // Issue 39, FAULT: the stop of an agent never ended if a peer upgraded its connection while the others were closed.
    it('refuses connections that upgrade meanwhile and resolves', async () => {
      const reservation = await LoopbackReservation.create();
      const port = await reservation.takePort();
      const server = new PeerServer({ host: '127.0.0.1', port }, 's', CLOCK, {}, new TrafficMeter());
      await server.start();
      const late = connect({ host: '127.0.0.1', port });
      let receivedText = '';
      late.on('data', (chunk: Buffer) => (receivedText += chunk.toString()));
      late.on('error', () => undefined);
      await once(late, 'connect');
      // The stop waits for the closing handshake of this connection.
      const unresponsive = new WebSocket(`ws://127.0.0.1:${port}`, {
        headers: { authorization: 'Bearer s' },
      });
      await once(unresponsive, 'open');
      unresponsive.pause();
      const stopped = server.stop().then(() => true);
      await delay(CLOCK, LATE_UPGRADE_MS);
      late.write(UPGRADE);
      const isStopped = await Promise.race([stopped, delay(CLOCK, STOP_LIMIT_MS).then(() => false)]);
      unresponsive.terminate();
      late.destroy();
      await reservation.release();
      expect({ isStopped, receivedText }).to.deep.equal({ isStopped: true, receivedText: '' });
    });
  });
});
