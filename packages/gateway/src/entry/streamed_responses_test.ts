import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import type {
  ResponseStream,
  StreamEnd,
} from "@lentilspur/ports/response_stream";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { ConnectionPool } from "@lentilspur/transport/connection_pool";
import { ReadAheadBudget } from "@lentilspur/transport/read_ahead_budget";
import { ResetOnClose } from "@lentilspur/transport/reset_on_close";
import { Err } from "@lentilspur/outcomes/result";
import type { FinalResponse } from "./caller_request.ts";
import { RequestServer } from "./request_server.ts";
import { createServerOptions } from "./server_trial.ts";
import type { StreamDelivery } from "./stream_writer.ts";

const PART = Buffer.alloc(100_000, "x");
const HEAD = "HTTP/1.1 200 OK\r\n";
const LENGTH_HEAD = `${HEAD}Content-Length: ${2 * PART.length}\r\n\r\n`;
const CHUNK = Buffer.concat([
  Buffer.from(`${PART.length.toString(16)}\r\n`),
  PART,
  Buffer.from("\r\n"),
]);

/** A server whose requests go to a target that the test controls. */
class StreamTrial {
  readonly deliveries: StreamDelivery[] = [];
  readonly budget: ReadAheadBudget;
  readonly failures: string[] = [];
  /** Connections to the target, one per request in their order. */
  readonly targets: Socket[] = [];
  readonly received: Buffer[] = [];
  /** Number of requests that have reached the target. */
  requests = 0;
  readonly #target = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", () => this.requests++);
    this.targets.push(socket);
  });
  readonly server: RequestServer;
  #pool: ConnectionPool | undefined;
  #caller: Socket | undefined;

  readonly faults: string[] = [];

  constructor(
    handle?: () => FinalResponse,
    loadResetOnClose = ResetOnClose.load,
    budgetBytes = 1_000_000,
  ) {
    this.budget = new ReadAheadBudget(budgetBytes);
    this.server = new RequestServer({
      ...createServerOptions(async () => handle?.() ?? await this.#send()),
      isIdempotent: () => true,
      observeDelivery: (delivery) => this.deliveries.push(delivery),
      reportFailure: ({ kind }) => this.failures.push(kind),
      reportFault: (message) => this.faults.push(message),
      loadResetOnClose,
    });
  }

  get caller(): Socket {
    assert.ok(this.#caller !== undefined);
    return this.#caller;
  }

  get text(): string {
    return Buffer.concat(this.received).toString();
  }

  get body(): string {
    return this.text.slice(this.text.indexOf("\r\n\r\n") + 4);
  }

  /** Opens a caller's connection and sends this many requests on it. */
  async open(requests = 1): Promise<void> {
    this.#target.listen(0, "127.0.0.1");
    await once(this.#target, "listening");
    const { port } = this.#target.address() as AddressInfo;
    this.#pool = new ConnectionPool(`127.0.0.1:${port}`, {
      clock: new SystemClock(),
      maxConnections: 10,
      connectTimeoutMs: 60_000,
      maxIdleMs: 60_000,
    });
    await this.server.open();
    this.#caller = connect(this.server.port, "127.0.0.1");
    this.#caller.on("error", () => undefined);
    await once(this.#caller, "connect");
    this.#caller.write(formatRequest().repeat(requests));
  }

  startReading(): void {
    this.caller.on("data", (bytes) => this.received.push(bytes));
  }

  close(): void {
    this.caller.destroy();
    void this.server.close();
    this.#pool?.close();
    this.targets.forEach((socket) => socket.destroy());
    this.#target.close();
  }

  async #send(): Promise<FinalResponse> {
    assert.ok(this.#pool !== undefined);
    const sent = await this.#pool.send({
      method: "GET",
      path: "/",
      timeoutMs: 60_000,
      maxResponseBytes: 10_000_000,
      acceptsCloseDelimited: true,
      readAhead: this.budget,
    });
    return sent.ok
      ? { kind: "answered", ...sent.val }
      : { kind: "failed", failure: "answer-lost", message: "" };
  }
}

function formatRequest(): string {
  return "GET / HTTP/1.1\r\nHost: a\r\nx-id: 1\r\n\r\n";
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

/** Resolves with whether the connection ended in order. */
function waitForEnd(socket: Socket): Promise<boolean> {
  let hasEnded = false;
  socket.on("end", () => hasEnded = true);
  return new Promise((resolve) => socket.on("close", () => resolve(hasEnded)));
}

test("the first bytes of a large response reach its caller before the target has finished", async () => {
  const trial = new StreamTrial();
  await trial.open();
  trial.startReading();
  await waitUntil(() => trial.requests === 1);
  const [target] = trial.targets;
  target!.write(LENGTH_HEAD);
  target!.write(PART);
  await waitUntil(() => trial.body.length === PART.length);
  assert.equal(trial.server.openRequests, 1);
  target!.write(PART);
  await waitUntil(() => trial.body.length === 2 * PART.length);
  await waitUntil(() => trial.server.openRequests === 0);
  assert.match(trial.text, /content-length: 200000\r\n/i);
  assert.deepEqual(trial.deliveries.map(({ result }) => result), ["complete"]);
  await waitUntil(() => trial.budget.claimedBytes === 0);
  trial.close();
});

test("a connection carries the next request after a streamed response", async () => {
  const trial = new StreamTrial();
  await trial.open();
  trial.startReading();
  for (const count of [1, 2, 3]) {
    await waitUntil(() => trial.requests === count);
    trial.targets[0]!.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`);
    trial.targets[0]!.write(CHUNK);
    trial.targets[0]!.write("0\r\n\r\n");
    await waitUntil(() => trial.deliveries.length === count);
    await waitUntil(() => trial.text.endsWith("0\r\n\r\n"));
    trial.received.splice(0);
    trial.caller.write(formatRequest());
  }
  trial.close();
});

const CUTS: readonly (readonly [string, (target: Socket) => void])[] = [
  ["a length", (target) => {
    target.write(LENGTH_HEAD);
    target.write(PART);
  }],
  ["chunks", (target) => {
    target.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`);
    target.write(CHUNK);
  }],
];

for (const [name, writeHalf] of CUTS) {
  test(`a response with ${name} that breaks off never looks complete`, async () => {
    const trial = new StreamTrial();
    await trial.open();
    trial.startReading();
    const ended = waitForEnd(trial.caller);
    await waitUntil(() => trial.requests === 1);
    writeHalf(trial.targets[0]!);
    await waitUntil(() => trial.body.length >= PART.length);
    trial.targets[0]!.resetAndDestroy();
    assert.equal(await ended, false, "the connection is reset");
    assert.ok(trial.body.length < 2 * PART.length);
    assert.doesNotMatch(trial.text, /\r\n0\r\n\r\n$/);
    assert.deepEqual(
      trial.deliveries.map(({ result }) => result),
      ["broken-off"],
    );
    assert.equal(trial.targets.length, 1);
    assert.equal(trial.budget.claimedBytes, 0);
    trial.close();
  });
}

test("a response without a length that breaks off is not passed on in part", async () => {
  const trial = new StreamTrial();
  await trial.open();
  trial.startReading();
  const ended = waitForEnd(trial.caller);
  await waitUntil(() => trial.requests === 1);
  trial.targets[0]!.write(`${HEAD}\r\n`);
  trial.targets[0]!.write(PART);
  await waitUntil(() => trial.budget.claimedBytes > 0);
  trial.targets[0]!.resetAndDestroy();
  assert.equal(await ended, true);
  assert.match(trial.text, /^HTTP\/1.1 502 /);
  assert.doesNotMatch(trial.text, /xxx/);
  assert.deepEqual(trial.failures, ["answer-lost"]);
  assert.equal(trial.targets.length, 1);
  assert.equal(trial.budget.claimedBytes, 0);
  trial.close();
});

test("a response without a length that is passed on for want of memory never looks complete if it breaks off", async () => {
  const trial = new StreamTrial();
  trial.budget.claim(1_000_000);
  await trial.open();
  trial.startReading();
  const ended = waitForEnd(trial.caller);
  await waitUntil(() => trial.requests === 1);
  trial.targets[0]!.write(`${HEAD}\r\n`);
  trial.targets[0]!.write(PART);
  await waitUntil(() => trial.body.length > 0);
  trial.targets[0]!.resetAndDestroy();
  assert.equal(await ended, false, "the connection is reset");
  assert.ok(trial.body.length < 2 * PART.length);
  assert.doesNotMatch(trial.text, /\r\n0\r\n\r\n$/);
  assert.deepEqual(
    trial.deliveries.map(({ result }) => result),
    ["broken-off"],
  );
  assert.equal(trial.targets.length, 1);
  assert.equal(trial.budget.claimedBytes, 1_000_000);
  trial.close();
});

test("an endless response without a length does not take the memory of the others", async () => {
  const trial = new StreamTrial(undefined, undefined, 8_000_000);
  await trial.open();
  trial.startReading();
  await waitUntil(() => trial.requests === 1);
  trial.targets[0]!.write(`${HEAD}\r\n`);
  let mostBytes = 0;
  for (let part = 0; part < 60; part++) {
    trial.targets[0]!.write(PART);
    await new Promise((resolve) => setTimeout(resolve, 2));
    mostBytes = Math.max(mostBytes, trial.budget.claimedBytes);
  }
  assert.ok(mostBytes < 4_000_000, `${mostBytes} bytes claimed`);
  await waitUntil(() => trial.body.length > 5_000_000);
  trial.close();
});

test("a response without a length is held whole without memory if connections cannot be reset", async () => {
  const trial = new StreamTrial(
    undefined,
    () => Promise.resolve(Err("not supported")),
  );
  trial.budget.claim(1_000_000);
  await trial.open();
  trial.startReading();
  const ended = waitForEnd(trial.caller);
  await waitUntil(() => trial.requests === 1);
  trial.targets[0]!.write(`${HEAD}\r\n`);
  trial.targets[0]!.write(PART);
  await waitUntil(() => trial.faults.length === 1);
  assert.equal(trial.text, "");
  trial.targets[0]!.end(PART);
  assert.equal(await ended, true);
  assert.equal(trial.body.length, 2 * PART.length);
  trial.close();
});

test("a caller that leaves while its response is held stops the target", async () => {
  const trial = new StreamTrial();
  await trial.open();
  await waitUntil(() => trial.requests === 1);
  const closed = waitForEnd(trial.targets[0]!);
  trial.targets[0]!.write(`${HEAD}\r\n`);
  trial.targets[0]!.write(PART);
  await waitUntil(() => trial.budget.claimedBytes > 0);
  trial.caller.destroy();
  assert.equal(await closed, false);
  await waitUntil(() => trial.server.openRequests === 0);
  assert.equal(trial.budget.claimedBytes, 0);
  trial.close();
});

test("a response without a length is complete if the target closes its connection", async () => {
  const trial = new StreamTrial();
  await trial.open();
  trial.startReading();
  const ended = waitForEnd(trial.caller);
  await waitUntil(() => trial.requests === 1);
  trial.targets[0]!.write(`${HEAD}\r\n`);
  trial.targets[0]!.end(PART);
  assert.equal(await ended, true);
  assert.equal(trial.body.length, PART.length);
  assert.doesNotMatch(trial.text, /content-length|transfer-encoding/i);
  trial.close();
});

for (const leave of ["destroy", "end"] as const) {
  test(`a caller that leaves by "${leave}" stops the target`, async () => {
    const trial = new StreamTrial();
    await trial.open();
    trial.startReading();
    await waitUntil(() => trial.requests === 1);
    const closed = waitForEnd(trial.targets[0]!);
    trial.targets[0]!.write(LENGTH_HEAD);
    trial.targets[0]!.write(PART);
    await waitUntil(() => trial.body.length === PART.length);
    trial.caller[leave]();
    assert.equal(await closed, false);
    await waitUntil(() => trial.deliveries.length === 1);
    assert.equal(trial.deliveries[0]!.result, "caller-left");
    assert.equal(trial.budget.claimedBytes, 0);
    assert.equal(trial.server.openRequests, 0);
    trial.close();
  });
}

test("a response that the end of the process breaks off is not taken for one whose caller has left", async () => {
  const trial = new StreamTrial();
  await trial.open();
  trial.startReading();
  await waitUntil(() => trial.requests === 1);
  trial.targets[0]!.write(LENGTH_HEAD);
  trial.targets[0]!.write(PART);
  await waitUntil(() => trial.body.length === PART.length);
  await trial.server.close();
  assert.deepEqual(trial.deliveries.map(({ result }) => result), [
    "instance-stopped",
  ]);
  trial.close();
});

/** A response that goes on until it is cancelled. */
class EndlessStream implements ResponseStream {
  readonly length = undefined;
  readonly ended: Promise<StreamEnd> = new Promise(() => undefined);
  readonly buffered: Promise<boolean> = new Promise(() => undefined);
  isCancelled = false;
  readBytes = 0;

  read(): Promise<
    { readonly kind: "data"; readonly bytes: Uint8Array }
  > {
    this.readBytes += PART.length;
    return Promise.resolve({ kind: "data", bytes: PART });
  }

  cancel(): void {
    this.isCancelled = true;
  }
}

test("a caller that takes nothing loses its connection and stops the target", async () => {
  const stream = new EndlessStream();
  const trial = new StreamTrial(() => ({
    kind: "answered",
    status: 200,
    headers: [],
    body: new Uint8Array(0),
    stream,
    isSelfDelimited: true,
  }));
  trial.server.setLimits({
    maxBodyBytes: 1,
    headTimeoutMs: 60_000,
    idleTimeoutMs: 100,
  });
  await trial.open();
  await waitUntil(() => trial.deliveries.length === 1);
  assert.equal(trial.deliveries[0]!.result, "caller-stalled");
  assert.ok(stream.isCancelled);
  await waitUntil(() => trial.server.openRequests === 0);
  trial.close();
});

test("nothing is passed on behind a response while it is streamed", async () => {
  const trial = new StreamTrial();
  await trial.open();
  trial.startReading();
  await waitUntil(() => trial.requests === 1);
  trial.targets[0]!.write(LENGTH_HEAD);
  trial.targets[0]!.write(PART);
  await waitUntil(() => trial.body.length === PART.length);
  trial.caller.write(formatRequest());
  await waitUntil(() => trial.server.heldRequests === 1);
  assert.equal(trial.requests, 1);
  trial.targets[0]!.write(PART);
  await waitUntil(() => trial.server.heldRequests === 0);
  trial.close();
});

test("a response that breaks off does not cut off those passed on behind it", async () => {
  const trial = new StreamTrial();
  await trial.open(2);
  trial.startReading();
  await waitUntil(() => trial.requests === 2);
  trial.targets[0]!.write(LENGTH_HEAD);
  trial.targets[0]!.write(PART);
  trial.targets[1]!.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
  await waitUntil(() => trial.budget.claimedBytes > 0);
  trial.targets[0]!.resetAndDestroy();
  await waitUntil(() => trial.text.endsWith("\r\n\r\nok"));
  assert.match(trial.text, /^HTTP\/1.1 502 /);
  assert.deepEqual(trial.failures, ["answer-lost"]);
  trial.close();
});
