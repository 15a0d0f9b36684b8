import { expect } from 'chai';
import { once } from 'node:events';
import { connect } from 'node:net';
import { AdminServer } from '../../src/admin/index.js';
import { SystemClock } from '../../src/kernel/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';

const HOST = '127.0.0.1';

describe('AdminServer', () => {
  describe('serve', () => {
    let reservation: LoopbackReservation;
    let server: AdminServer;
    let port: number;

    beforeEach(async () => {
      reservation = await LoopbackReservation.create();
      port = await reservation.takePort();
      const metrics = new Metrics();
      server = new AdminServer(
        { host: HOST, port },
        'token',
        metrics,
        { isReady: () => true, getStatus: () => ({}), explain: () => undefined },
        { clock: new SystemClock(), log: new Log('test', () => undefined), metrics },
      );
      await server.start();
    });

    afterEach(async () => {
      await server.stop();
      await reservation.release();
    });

    async function request(target: string): Promise<string> {
      const socket = connect({ host: HOST, port });
      socket.write(`GET ${target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n`);
      let text = '';
      socket.on('data', (chunk: Buffer) => (text += chunk.toString()));
      await once(socket, 'close');
      return text;
    }

    // Issue 39, FAULT: a target that is no URL ended the daemon, without a credential.
    for (const target of ['//', '///', 'http://', '//[', '//a:b', 'http://%']) {
      it(`refuses the target ${target} with 400`, async () => {
        expect(await request(target)).to.match(/^HTTP\/1\.1 400 /);
        expect(await request('/healthz')).to.match(/^HTTP\/1\.1 200 /);
      });
    }
  });
});
