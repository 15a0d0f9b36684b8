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

    it('takes the longest prefix of the host', () => {
      doTest('a.example', '/a/b/c', 'long');
      doTest('a.example', '/a/c', 'short');
      doTest('a.example', '/a/bc', 'short');
    });

    it('ignores case and port of the host, and the query', () => {
      doTest('A.Example:8080', '/a/b/?x=/a/', 'long');
    });

    it('finds nothing for other hosts and paths', () => {
      doTest('c.example', '/a/', undefined);
      doTest('a.example', '/a', undefined);
      doTest('a.example', 'x', undefined);
    });

    it('takes a prefix of one slash', () => doTest('b.example', '/anything', 'root'));

    it('stays fast with many routes', () => {
      const many = new RouteTable(
        Array.from({ length: 5_000 }, (_, index) =>
          makeRoute({ name: `${index}`, pathPrefix: `/p${index}/` }),
        ),
      );
      expect(many.getRoute('a.example', '/p4321/x')?.name).to.equal('4321');
    });
  });

  describe('pickTarget', () => {
    it('draws by weight', () => {
      const targets = [
        { serviceId: ENGINES, weight: 90 },
        { serviceId: ORDERS, weight: 10 },
      ];
      expect(pickTarget(makeRoute({ targets }), 0.89)?.serviceId).to.equal(ENGINES);
      expect(pickTarget(makeRoute({ targets }), 0.91)?.serviceId).to.equal(ORDERS);
    });
  });
});
