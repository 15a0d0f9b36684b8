// A client on one kept connection, with its own reader of responses: it shows which requests got a complete answer.
import { connect } from 'node:net';

/** Client that may send its next request before the answer to the one before is complete. */
export class HttpCaller {
  constructor(host, port) {
    this.requests = [];
    this.buffer = Buffer.alloc(0);
    this.isClosed = false;
    this.mayNotSend = false;
    this.reading = undefined;
    this.socket = connect({ host, port, noDelay: true });
    this.socket.on('data', (chunk) => this.receive(chunk));
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
      this.closedAtMs = Date.now();
      this.mayNotSend = true;
    });
  }

  /** Sends a request; its state shows what came back. */
  send(id, method, path, headers = {}, body = '') {
    const request = { id, path, sentAtMs: Date.now(), status: undefined, isComplete: false, text: '' };
    const lines = [`${method} ${path} HTTP/1.1`, 'Host: a.example', `Request-Id: ${id}`];
    for (const [name, value] of Object.entries(headers)) {
      lines.push(`${name}: ${value}`);
    }
    if (body !== '') {
      lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
    }
    this.requests.push(request);
    this.socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
    return request;
  }

  /** Requests without a complete answer. */
  get open() {
    return this.requests.filter(({ isComplete }) => !isComplete);
  }

  close() {
    this.socket.destroy();
  }

  receive(chunk) {
    this.buffer = Buffer.concat([this.buffer, chunk]);
    while (this.readPart());
  }

  /** Reads the next head, chunk or body; returns whether there was one. */
  readPart() {
    const request = this.open[0];
    if (!request) {
      return false;
    }
    if (!this.reading) {
      const end = this.buffer.indexOf('\r\n\r\n');
      if (end < 0) {
        return false;
      }
      const head = this.buffer.toString('latin1', 0, end);
      this.buffer = this.buffer.subarray(end + 4);
      const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1]);
      if (status < 200) {
        return true;
      }
      request.status = status;
      request.isStamped = /^response-stamp:/im.test(head);
      this.mayNotSend ||= /^connection: close/im.test(head);
      const isChunked = /^transfer-encoding: chunked/im.test(head);
      this.reading = { isChunked, length: Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0) };
      return true;
    }
    return this.reading.isChunked ? this.readChunk(request) : this.readBody(request);
  }

  readBody(request) {
    const { length } = this.reading;
    if (this.buffer.length < length) {
      return false;
    }
    request.text += this.buffer.toString('latin1', 0, length);
    this.buffer = this.buffer.subarray(length);
    this.complete(request);
    return true;
  }

  readChunk(request) {
    const end = this.buffer.indexOf('\r\n');
    const size = end < 0 ? NaN : parseInt(this.buffer.toString('latin1', 0, end), 16);
    if (Number.isNaN(size) || this.buffer.length < end + 2 + size + 2) {
      return false;
    }
    request.text += this.buffer.toString('latin1', end + 2, end + 2 + size);
    this.buffer = this.buffer.subarray(end + 2 + size + 2);
    if (size === 0) {
      this.complete(request);
    }
    return true;
  }

  complete(request) {
    request.isComplete = true;
    request.completedAtMs = Date.now();
    this.reading = undefined;
  }
}
