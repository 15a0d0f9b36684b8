import { expect } from 'chai';
import { findSliceEnd } from '../../src/ingress/findSliceEnd.js';

describe('findSliceEnd', () => {
  it('ends a slice of small chunks after 64 chunks, and one of other bytes at its size', () => {
    expect(findSliceEnd(Buffer.from('1\r\nx\r\n'.repeat(1_000)), 0, 'body')).to.equal(64 * 6);
    expect(findSliceEnd(Buffer.alloc(64 * 1024, 'x'), 100, 'body')).to.equal(16 * 1024 + 100);
    expect(findSliceEnd(Buffer.alloc(64 * 1024, 'x'), 0, 'requests')).to.equal(64 * 1024);
  });

  it('begins at most one request in a slice where that is asked for', () => {
    const request = 'GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n\r\n';
    expect(findSliceEnd(Buffer.from(request.repeat(9)), 0, 'request')).to.equal(request.length);
  });

  it('leaves an ordinary request whole', () => {
    const bytes = Buffer.from(`POST / HTTP/1.1\r\n${'Name: value\r\n'.repeat(40)}\r\n{}`);
    expect(findSliceEnd(bytes, 0, 'requests')).to.equal(bytes.length);
  });
});
