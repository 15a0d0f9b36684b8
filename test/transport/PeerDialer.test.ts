import { expect } from 'chai';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { ConnectionLostError, PeerDialer, TrafficMeter } from '../../src/transport/index.js';
import { ManualClock } from '../fakes/ManualClock.js';

/** Ports on which nothing listens, so that connections are refused. */
const CLOSED_PORTS = Array.from({ length: 50 }, (_, index) => 9_482 + index);
/** Time after a failed dial in which the address is not dialled again, in milliseconds. */
const REDIAL_DELAY_MS = 250;

describe('PeerDialer', () => {
  describe('connect', () => {
    let clock: ManualClock;
    let dialer: PeerDialer;
    let reservation: LoopbackReservation;

    beforeEach(async () => {
      reservation = await LoopbackReservation.create();
      clock = new ManualClock();
      dialer = new PeerDialer('a', 's', clock, new TrafficMeter());
    });

    afterEach(() => reservation.release());

    /** Dials a port and returns the error. */
    async function dial(port: number): Promise<unknown> {
      return dialer.connect(`${reservation.getAddress(3)}:${port}`).catch((error: unknown) => error);
    }

    // Issue 39, FAULT: the addresses of all servers that had ever failed were kept for good.
    it('forgets failed dials when their addresses may be dialled again', async () => {
      for (const port of CLOSED_PORTS) {
        expect(await dial(port)).to.be.instanceOf(ConnectionLostError);
        clock.advance(REDIAL_DELAY_MS);
      }
      expect(dialer.failedDialCount).to.equal(1);
    });

    it('does not dial an address again until the delay after a failed dial has passed', async () => {
      const [port = 0] = CLOSED_PORTS;
      await dial(port);
      clock.advance(REDIAL_DELAY_MS - 1);
      const error = await dial(port);
      expect(error).to.be.instanceOf(ConnectionLostError);
      expect((error as ConnectionLostError).isRefused).to.equal(true);
      clock.advance(1);
      await dial(port);
      clock.advance(REDIAL_DELAY_MS - 1);
      await dial(port);
      expect(dialer.failedDialCount).to.equal(1);
    });
  });
});
