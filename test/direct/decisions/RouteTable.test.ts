import { expect } from 'chai';
import { pickTarget, RouteTable } from '../../../src/direct/index.js';
import { ENGINES, makeRoute, ORDERS } from '../fleetFixtures.js';

describe('RouteTable', () => {
  describe('getRoute', () => {
    const table = new RouteTable([
      makeRoute({ name: 'short', pathPrefix: '/a/' }),
      makeRoute({ name: 'long', pathPrefix: '/a/b/' }),
      makeRoute({ name: 'root', host: 'b.example', pathPrefix: '/' }),
    ]);

    function doTest(host: string, path: string, expected: string | undefined) {
      expect(table.getRoute(host, path)?.name).to.equal(expected);
    }

    it('matches the longest prefix of the host', () => {
      doTest('a.example', '/a/b/c', 'long');
      doTest('a.example', '/a/c', 'short');
      doTest('a.example', '/a/bc', 'short');
    });

    it('ignores case and port of the host, and the query', () => {
      doTest('A.Example:8080', '/a/b/?x=/a/', 'long');
    });

    it('returns undefined for other hosts and paths', () => {
      doTest('c.example', '/a/', undefined);
      doTest('a.example', '/a', undefined);
      doTest('a.example', 'x', undefined);
    });

    it('matches a prefix of one slash', () => doTest('b.example', '/anything', 'root'));

    it('finds a route among thousands', () => {
      const largeTable = new RouteTable(
        Array.from({ length: 5_000 }, (_, index) =>
          makeRoute({ name: `${index}`, pathPrefix: `/p${index}/` }),
        ),
      );
      expect(largeTable.getRoute('a.example', '/p4321/x')?.name).to.equal('4321');
    });
  });

  describe('pickTarget', () => {
    it('picks targets by weight', () => {
      const targets = [
        { serviceId: ENGINES, weight: 90 },
        { serviceId: ORDERS, weight: 10 },
      ];
      expect(pickTarget(makeRoute({ targets }), 0.89)?.serviceId).to.equal(ENGINES);
      expect(pickTarget(makeRoute({ targets }), 0.91)?.serviceId).to.equal(ORDERS);
    });
  });
});
