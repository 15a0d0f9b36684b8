import { request } from 'node:http';
import { randomBytes } from 'node:crypto';
import { PORTS } from './Platform.mjs';

/** Returns an id for one client attempt. */
export const newRequestId = () => randomBytes(8).toString('hex');

/**
 * Sends one client attempt on a new connection. Resolves with the status, the headers, the bytes of the body and whether the
 * answer was complete in the protocol; the status is 0 if none arrived.
 */
export function sendRequest(router, { method = 'GET', path, headers = {}, body, deadlineMs = 1_500, read }) {
  return new Promise((resolve) => {
    const chunks = [];
    let head;
    const finish = (isComplete, error = '') => {
      clearTimeout(timer);
      resolve({
        status: head?.statusCode ?? 0,
        headers: head?.headers ?? {},
        body: Buffer.concat(chunks),
        isComplete,
        error,
      });
    };
    const outgoing = request({
      host: router.ip,
      port: PORTS.front,
      method,
      path,
      agent: false,
      headers: {
        Host: 'quotes.example',
        'Deadline-Ms': String(deadlineMs),
        ...(body === undefined ? {} : { 'Content-Length': String(Buffer.byteLength(body)) }),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      outgoing.destroy();
      finish(false, 'the client gave up');
    }, deadlineMs + 1_000);
    outgoing.on('error', (error) => finish(false, error.code ?? error.message));
    outgoing.on('response', (response) => {
      head = response;
      response.on('data', (chunk) => {
        chunks.push(chunk);
        read?.(response, chunk);
      });
      response.on('error', (error) => finish(false, error.code ?? error.message));
      response.on('aborted', () => finish(false, 'aborted'));
      response.on('end', () => finish(response.complete));
    });
    outgoing.end(body);
  });
}
