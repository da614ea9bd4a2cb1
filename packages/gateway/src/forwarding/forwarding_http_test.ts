import assert from "node:assert/strict";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { Clock } from "@lentilspur/ports/clock";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { createMember } from "../members/member_fixtures.ts";
import type { Member } from "../members/members.ts";
import {
  encodeForwardReply,
  type ForwardedRequest,
  type ForwardReply,
} from "./forwarded_request.ts";
import { type HopResult, HttpForwardingClient } from "./forwarding_client.ts";
import { MemoryAccount } from "@lentilspur/transport/memory_account";
import { RequestBodies } from "../entry/request_bodies.ts";
import { ForwardingServer } from "./forwarding_server.ts";

const REQUEST: ForwardedRequest = {
  from: "i1",
  incarnation: "1",
  requestId: "r1",
  method: "POST",
  host: "files.example",
  path: "/files/é?x=1",
  headers: [{ name: "x-text", value: "é" }],
  key: 7,
  service: "files",
  remainingMs: 5_000,
  elapsedMs: 3,
  sends: 0,
  excludedTargets: ["t1"],
  refusingOwner: { targetId: "t2", token: 4 },
  isTrial: false,
  body: Buffer.from("line 1\nline 2"),
};

function createPeer(port: number): Member {
  return createMember("i2", { host: "127.0.0.1", forwardPort: port });
}

/** A clock on which no time passes. */
const FIXED_CLOCK: Clock = {
  readMs: () => 0,
  sleep: () => Promise.resolve(),
  waitForArrivals: () => Promise.resolve(),
};

interface Handled {
  readonly request: ForwardedRequest;
  readonly signal: AbortSignal;
}

/** Forwards one request to a server that replies by `handle`. */
async function forward(
  handle: (handled: Handled) => Promise<ForwardReply>,
  { signal = new AbortController().signal, clock = FIXED_CLOCK }: {
    readonly signal?: AbortSignal;
    readonly clock?: Clock;
  } = {},
): Promise<HopResult> {
  const server = new ForwardingServer({
    bodies: new RequestBodies({
      memory: new MemoryAccount(Infinity),
      observeRefusal: () => undefined,
    }),
    clock: new SystemClock(),
    host: "127.0.0.1",
    port: 0,
    readStallMs: () => 0,
    handle: (request, options) => handle({ request, signal: options.signal }),
    answerReach: () => Promise.resolve("reached"),
    reportFault: () => undefined,
  });
  await server.open();
  const client = new HttpForwardingClient(clock);
  const result = await client
    .forward(createPeer(server.port), REQUEST, signal);
  client.close();
  server.close();
  return result;
}

test("a forwarded request and its response arrive unchanged", async () => {
  const received: ForwardedRequest[] = [];
  const reply: ForwardReply = {
    kind: "sent",
    targetId: "t3",
    token: 9,
    isOverdue: false,
    outcome: {
      kind: "answered",
      status: 204,
      headers: [{ name: "x-signature", value: "s" }],
      body: Buffer.from("a\n\u0000b"),
      isSelfDelimited: true,
      load: { running: 1, waiting: 0 },
    },
  };
  const result = await forward(({ request }) => {
    received.push({ ...request, body: Buffer.from(request.body) });
    return Promise.resolve(reply);
  });
  assert.deepEqual(received, [REQUEST]);
  assert.ok(result.kind === "sent" && result.outcome.kind === "answered");
  assert.equal(Buffer.from(result.outcome.body).toString(), "a\n\u0000b");
  assert.deepEqual({ ...result.outcome, body: undefined }, {
    ...reply.outcome,
    body: undefined,
  });
});

test("the time until a hop is connected is deducted from the caller's deadline", async () => {
  let nowMs = 0;
  const clock = { ...FIXED_CLOCK, readMs: () => nowMs += 100 };
  let received: ForwardedRequest | undefined;
  await forward(({ request }) => {
    received = request;
    return Promise.resolve({ kind: "unable", reason: "stopping" });
  }, { clock });
  const passedMs = received!.elapsedMs - REQUEST.elapsedMs;
  assert.ok(passedMs >= 100);
  assert.equal(received!.remainingMs, REQUEST.remainingMs - passedMs);
});

test("a peer that cannot be connected to has not received the request", async () => {
  const client = new HttpForwardingClient(new SystemClock());
  const { kind } = await client
    .forward(createPeer(1), REQUEST, new AbortController().signal);
  assert.equal(kind, "unreached");
});

test("a request whose peer ends before it replies may have run", async () => {
  const server = createServer((socket) =>
    socket.on("data", () => socket.resetAndDestroy())
  );
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const client = new HttpForwardingClient(new SystemClock());
  const result = await client
    .forward(createPeer(port), REQUEST, new AbortController().signal);
  server.close();
  assert.equal(result.kind, "lost");
});

test("a peer that ends within its reply leaves no part of a response", async () => {
  const reply = encodeForwardReply({
    kind: "sent",
    targetId: "t3",
    isOverdue: false,
    outcome: {
      kind: "answered",
      status: 200,
      headers: [],
      body: Buffer.alloc(100_000, "x"),
      isSelfDelimited: false,
    },
  });
  const server = createServer((socket) =>
    socket.once("data", () => {
      const head = `Content-Length: ${reply.byteLength}\r\n\r\n`;
      socket.write(`HTTP/1.1 200 OK\r\n${head}`);
      socket.end(reply.subarray(0, 50_000));
    })
  );
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const client = new HttpForwardingClient(new SystemClock());
  const result = await client
    .forward(createPeer(port), REQUEST, new AbortController().signal);
  client.close();
  server.close();
  assert.equal(result.kind, "lost");
});

for (const path of ["/forward", "/reach"]) {
  test(`an endless body of a message to ${path} is read up to its limit only`, async () => {
    const faults: string[] = [];
    const server = new ForwardingServer({
      bodies: new RequestBodies({
        memory: new MemoryAccount(Infinity),
        observeRefusal: () => undefined,
      }),
      clock: new SystemClock(),
      host: "127.0.0.1",
      port: 0,
      readStallMs: () => 0,
      handle: () => Promise.resolve({ kind: "unable", reason: "stopping" }),
      answerReach: () => Promise.resolve("reached"),
      reportFault: (message) => faults.push(message),
    });
    await server.open();
    const socket = connect(server.port, "127.0.0.1");
    socket.on("error", () => undefined);
    socket.write(
      `POST ${path} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n`,
    );
    const chunk = `10000\r\n${"x".repeat(65_536)}\r\n`;
    const writeMore = () => {
      while (!socket.destroyed && socket.write(chunk)) {
        // The socket takes more.
      }
    };
    socket.on("drain", writeMore);
    writeMore();
    await new Promise((resolve) => socket.on("close", resolve));
    assert.match(faults.join(), /larger than/);
    server.close();
  });
}

test("a peer learns that the instance which forwarded a request has given up", async () => {
  const caller = new AbortController();
  let peerSignal: AbortSignal | undefined;
  const result = await forward(({ signal }) => {
    peerSignal = signal;
    caller.abort();
    return new Promise((resolve) =>
      signal.addEventListener(
        "abort",
        () => resolve({ kind: "unable", reason: "stopping" }),
      )
    );
  }, { signal: caller.signal });
  assert.equal(result.kind === "lost" && result.cause, "cancelled");
  assert.ok(peerSignal !== undefined);
});

test("a late copy of a peer's reply is not the reply to the next request", async () => {
  let lastReply = "";
  let replies = 0;
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", (bytes) => {
      const id = /^lentilspur-message-id: (.*)\r\n/im.exec(String(bytes))?.[1];
      const reply: ForwardReply = replies++ === 0
        ? { kind: "unable", reason: "stopping" }
        : { kind: "refused", failure: "overloaded", message: "ran, in fact" };
      const body = encodeForwardReply(reply);
      const head = `HTTP/1.1 200 OK\r\nlentilspur-message-id: ${id}\r\n` +
        `content-length: ${body.byteLength}\r\n\r\n`;
      const copy = lastReply;
      lastReply = head + Buffer.from(body).toString();
      socket.write(copy + lastReply);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const client = new HttpForwardingClient(new SystemClock());
  const { signal } = new AbortController();
  const first = await client.forward(createPeer(port), REQUEST, signal);
  const second = await client.forward(createPeer(port), REQUEST, signal);
  client.close();
  server.close();
  assert.equal(first.kind, "unable");
  assert.equal(second.kind === "lost" && second.cause, "garbled");
});

test("a truncated head of a reply that runs into that of another reply identifies neither", async () => {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", (bytes) => {
      const id = /^lentilspur-message-id: (.*)\r\n/im.exec(String(bytes))?.[1];
      const body = encodeForwardReply({ kind: "unable", reason: "stopping" });
      socket.write(
        `HTTP/1.1 200 OK\r\nlentilspur-message-id: ${id}\r\n` +
          "x: HTTP/1.1 200 OK\r\nlentilspur-message-id: other\r\n" +
          `content-length: ${body.byteLength}\r\n\r\n`,
      );
      socket.write(body);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const client = new HttpForwardingClient(new SystemClock());
  const { signal } = new AbortController();
  const result = await client.forward(createPeer(port), REQUEST, signal);
  client.close();
  server.close();
  assert.equal(result.kind === "lost" && result.cause, "garbled");
});
