/** Client of the system. */
import { request } from 'node:http';
import { randomBytes } from 'node:crypto';

export function makeRequestId() {
  return randomBytes(8).toString('hex');
}

/** Sends a request on a connection of its own; resolves with how it ended. */
export function send({
  host,
  port = 8149,
  method = 'GET',
  path,
  name,
  headers = {},
  body,
  requestId = makeRequestId(),
}) {
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: { Host: name, 'Request-Id': requestId, ...headers },
    });
    const end = (outcome) => resolve({ requestId, ...outcome });
    outgoing.on('error', (error) => end({ status: 0, detail: error.message, body: '' }));
    outgoing.on('response', (response) => {
      let text = '';
      response.on('data', (bytes) => (text += bytes.toString('latin1')));
      response.on('error', (error) =>
        end({ status: response.statusCode, detail: error.message, body: text }),
      );
      response.on('end', () =>
        end({
          status: response.statusCode,
          detail: response.complete ? 'complete' : 'ended early',
          headers: response.headers,
          body: text,
        }),
      );
    });
    outgoing.end(body);
  });
}
