/**
 * A small upstream that speaks HTTP/1.1 over plain sockets, in the manner of
 * PROTOCOL.md: it registers in the store, holds keys under fencing tokens, runs
 * `slots` requests at a time, queues a few more, and echoes the request id in
 * every response.
 *
 * If `extra` is set, it may send an extra copy of an answer late: right when the
 * next message on the same connection has arrived, before the answer to that
 * message.
 */
import { createServer } from "node:net";
import { nowMs } from "./deployment.mjs";

const KEYS = 65_536;
const HEARTBEAT_MS = 870;
const ID = "Lentilspur-Request-Id";

/**
 * Lets a disruption have at most `share` of the answers, and none outside of its
 * windows.
 */
export class AnswerShare {
  #share;
  #credit = 0;
  answers = 0;
  taken = 0;
  isOpen = false;

  constructor(share) {
    this.#share = share;
  }

  recordAnswer() {
    if (this.isOpen) {
      this.answers++;
      this.#credit += this.#share;
    }
  }

  take() {
    if (!this.isOpen || this.#credit < 1) {
      return false;
    }
    this.#credit--;
    this.taken++;
    return true;
  }

  open() {
    this.isOpen = true;
    this.#credit = 0;
  }

  close() {
    this.isOpen = false;
  }
}

export class Upstream {
  id;
  #options;
  #server;
  #address = "";
  #sequence = 0;
  #born = Date.now();
  #state = "ready";
  #timer;
  #sockets = new Set();
  /** By key: the highest fencing token seen, and the hold. */
  #seen = new Float64Array(KEYS).fill(-1);
  #heldUntilMs = new Float64Array(KEYS);
  /** By key: when the last grant runs out, whether it was released or not. */
  #grantUntilMs = new Float64Array(KEYS);
  #running = new Set();
  #waiting = [];

  /**
   * `options`: id, ip, service, zone, slots, queue, keyed, deployment, recorder,
   * workMs(request), observe (events), extra (`AnswerShare`), mayRepeat(last,
   * message), createBody(request), closes() (whether an answer to a request has
   * `Connection: close`), trickle (bytes, pieceBytes, everyMs: sends its answers
   * piece by piece), unframed (`AnswerShare`: these have no length).
   */
  constructor(options) {
    this.#options = options;
    this.id = options.id;
  }

  get service() {
    return this.#options.service;
  }

  async open() {
    const { ip } = this.#options;
    this.#server = createServer((socket) => this.#serve(socket));
    await new Promise((resolve) => this.#server.listen(0, ip, resolve));
    this.#address = `${ip}:${this.#server.address().port}`;
    await this.#register();
    this.#timer = setInterval(
      () => this.#register().catch(() => undefined),
      HEARTBEAT_MS,
    );
  }

  /** Reports `draining`; it goes on serving. */
  async drain() {
    this.#state = "draining";
    await this.#register();
  }

  /** Removes the entry and ends. */
  async leave() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
    await this.#options.deployment.append("keyed.servers", this.id, "");
  }

  close() {
    clearInterval(this.#timer);
    this.#server?.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  holdsKey(key) {
    return this.#heldUntilMs[key] > nowMs();
  }

  countHeldKeys() {
    const now = nowMs();
    return this.#heldUntilMs.reduce((sum, end) => sum + (end > now ? 1 : 0), 0);
  }

  /**
   * The runs on keys of a range whose hold has not run out, apart from a
   * release.
   */
  listRunning(from, to) {
    const now = nowMs();
    return [...this.#running].filter(({ key }) =>
      key >= from && key <= to && this.#grantUntilMs[key] > now
    );
  }

  #register() {
    const { deployment, service, zone, slots } = this.#options;
    return deployment.append(
      "keyed.servers",
      this.id,
      JSON.stringify({
        address: this.#address,
        born: this.#born,
        server_info: { service, zone, version: "v1", slots },
        status: {
          state: this.#state,
          sequence: ++this.#sequence,
          cold_remaining: "0ms",
        },
      }),
    );
  }

  #serve(socket) {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => undefined);
    socket.on("close", () => this.#sockets.delete(socket));
    const connection = { socket, buffer: Buffer.alloc(0), last: undefined };
    socket.on("data", (data) => {
      connection.buffer = Buffer.concat([connection.buffer, data]);
      for (;;) {
        const message = takeMessage(connection);
        if (message === undefined) {
          return;
        }
        this.#handle(connection, message);
      }
    });
  }

  #handle(connection, message) {
    const { extra, mayRepeat, observe } = this.#options;
    const { last } = connection;
    if (
      extra !== undefined && last !== undefined && mayRepeat(last, message) &&
      extra.take()
    ) {
      writeWhole(connection.socket, last);
      observe({ kind: "extra", upstream: this.id, last, message });
    }
    const { headers, path } = message;
    const expected = headers["lentilspur-expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      this.#answer(connection, message, 421, {
        "Lentilspur-Not-Executed": "1",
      });
    } else if (path === "/health") {
      this.#answer(connection, message, this.#state === "ready" ? 200 : 503);
    } else if (path === "/grant") {
      this.#grant(connection, message);
    } else if (path === "/release") {
      this.#release(connection, message);
    } else {
      this.#request(connection, message);
    }
  }

  #grant(connection, message) {
    const { from, to, fence, hold_time: holdTime } = JSON.parse(message.body);
    const holdMs = parseMs(holdTime);
    for (let key = from; key <= to; key++) {
      if (this.#seen[key] > fence) {
        this.#answer(connection, message, 409);
        return;
      }
    }
    this.#options.observe({ kind: "grant", upstream: this, from, to, fence });
    const endMs = nowMs() + holdMs;
    this.#seen.fill(fence, from, to + 1);
    this.#heldUntilMs.fill(endMs, from, to + 1);
    this.#grantUntilMs.fill(endMs, from, to + 1);
    this.#answer(connection, message, 200);
  }

  async #release(connection, message) {
    const { from, to, fence } = JSON.parse(message.body);
    for (let key = from; key <= to; key++) {
      this.#seen[key] = Math.max(this.#seen[key], fence);
    }
    this.#heldUntilMs.fill(0, from, to + 1);
    const running = this.listRunning(from, to);
    this.#options.observe({
      kind: "release",
      upstream: this,
      from,
      to,
      fence,
      running,
    });
    await Promise.all(running.map(({ ended }) => ended));
    this.#options.observe({
      kind: "released",
      upstream: this,
      from,
      to,
      fence,
    });
    this.#answer(connection, message, 200, {
      "Lentilspur-Handover": `${this.id}-${fence}-${from}`,
    });
  }

  async #request(connection, message) {
    const { slots, queue, keyed, workMs, observe } = this.#options;
    const requestId = message.headers["lentilspur-request-id"] ?? "";
    const key = Number(message.headers["lentilspur-shard-key"] ?? -1);
    observe({ kind: "arrived", upstream: this.id, requestId });
    if (keyed && !this.holdsKey(key)) {
      this.#refuse(connection, message, 421, "does not hold the key");
      return;
    }
    if (this.#running.size >= slots && this.#waiting.length >= queue) {
      this.#refuse(connection, message, 503, "full");
      return;
    }
    if (this.#running.size >= slots) {
      await new Promise((resolve) => this.#waiting.push(resolve));
      if (keyed && !this.holdsKey(key)) {
        this.#waiting.shift()?.();
        this.#refuse(connection, message, 421, "no longer holds the key");
        return;
      }
    }
    const run = { requestId, key };
    let end = () => undefined;
    run.ended = new Promise((resolve) => end = resolve);
    this.#running.add(run);
    observe({ kind: "run", upstream: this.id, requestId, key });
    await new Promise((resolve) => setTimeout(resolve, workMs(message)));
    this.#running.delete(run);
    end();
    this.#waiting.shift()?.();
    observe({ kind: "ran", upstream: this.id, requestId, key });
    const { createBody, closes, trickle } = this.#options;
    if (trickle !== undefined) {
      await this.#trickle(connection, message, trickle);
      return;
    }
    const body = createBody?.(message) ?? `${this.id} ran ${requestId}`;
    const isLast = closes?.() === true;
    this.#answer(connection, message, 200, {
      "Lentilspur-Response-Signature": `${this.id}.${requestId}`,
      "Lentilspur-Server-Load":
        `${this.#running.size},${this.#waiting.length},${slots}`,
      ...(isLast ? { Connection: "close" } : {}),
    }, body);
    if (isLast) {
      connection.socket.end();
    }
  }

  /** Answers piece by piece; without a length, the connection ends the answer. */
  async #trickle(
    { socket },
    { headers },
    { bytes, pieceBytes, everyMs },
  ) {
    const { unframed, observe } = this.#options;
    const requestId = headers["lentilspur-request-id"];
    unframed?.recordAnswer();
    const hasLength = unframed?.take() !== true;
    observe({ kind: "answer", upstream: this.id, requestId, hasLength });
    socket.write(
      [
        "HTTP/1.1 200 OK",
        `${ID}: ${requestId}`,
        `Lentilspur-Response-Signature: ${this.id}.${requestId}`,
        `Lentilspur-Instance-Id: ${this.id}`,
        ...(hasLength ? [`Content-Length: ${bytes}`] : []),
        "\r\n",
      ].join("\r\n"),
    );
    for (let sent = 0; sent < bytes && !socket.destroyed; sent += pieceBytes) {
      socket.write(Buffer.alloc(Math.min(pieceBytes, bytes - sent), "plan "));
      await new Promise((resolve) => setTimeout(resolve, everyMs));
    }
    if (!hasLength) {
      socket.end();
    }
  }

  #refuse(connection, message, status, why) {
    const { observe } = this.#options;
    const requestId = message.headers["lentilspur-request-id"];
    observe({ kind: "refused", upstream: this.id, requestId, status, why });
    this.#answer(connection, message, status, {
      "Lentilspur-Not-Executed": "1",
    });
  }

  #answer(connection, message, status, headers = {}, body = "") {
    const id = message.headers["lentilspur-request-id"];
    const lines = [
      `HTTP/1.1 ${status} ${status < 300 ? "OK" : "Refused"}`,
      ...(id === undefined ? [] : [`${ID}: ${id}`]),
      `Lentilspur-Instance-Id: ${this.id}`,
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
      `Content-Length: ${Buffer.byteLength(body)}`,
    ];
    const bytes = `${lines.join("\r\n")}\r\n\r\n`;
    this.#options.extra?.recordAnswer();
    connection.last = { path: message.path, id, status, bytes, body };
    writeWhole(connection.socket, connection.last);
  }
}

function writeWhole(socket, { bytes, body }) {
  socket.cork();
  socket.write(bytes);
  socket.write(body);
  socket.uncork();
}

/** Takes one whole message from a connection's buffer. */
function takeMessage(connection) {
  const end = connection.buffer.indexOf("\r\n\r\n");
  if (end < 0) {
    return undefined;
  }
  const [first, ...lines] = connection.buffer.subarray(0, end).toString(
    "latin1",
  )
    .split("\r\n");
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
  const length = Number(headers["content-length"] ?? 0);
  if (connection.buffer.byteLength < end + 4 + length) {
    return undefined;
  }
  const body = connection.buffer.subarray(end + 4, end + 4 + length)
    .toString("utf8");
  connection.buffer = connection.buffer.subarray(end + 4 + length);
  const [method, path] = first.split(" ");
  return { method, path, headers, body };
}

function parseMs(text) {
  const [, number, unit] = /^([\d.]+)(ms|s)$/.exec(text);
  return Number(number) * (unit === "s" ? 1_000 : 1);
}
