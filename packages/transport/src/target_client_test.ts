import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { test } from "node:test";
import type { DispatchRequest } from "@lentilspur/ports/target";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { TargetClient } from "./target_client.ts";

/** What a raw target does with the bytes of one connection. */
type Behaviour = (socket: Socket, received: string, nth: number) => void;

interface RawTarget {
  readonly address: string;
  readonly received: string[];
  stop(): void;
}

/** Started late on a busy machine, most tests must still see their failure. */
const PATIENT = { clock: new SystemClock(), maxStartMs: 60_000 };

const WHOLE = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/** Listens on loopback and plays one behaviour for each request. */
function startRawTarget(behave: Behaviour): Promise<RawTarget> {
  const received: string[] = [];
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("data", (bytes) => {
      const text = bytes.toString();
      received.push(text);
      behave(socket, text, received.length);
    });
  });
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const address = server.address();
      const port = typeof address === "object" ? address?.port : 0;
      const stop = (): void => {
        sockets.forEach((socket) => socket.destroy());
        server.close();
      };
      resolve({ address: `127.0.0.1:${port}`, received, stop });
    });
  });
}

function makeRequest(
  changes: Partial<DispatchRequest> = {},
): DispatchRequest {
  return {
    requestId: "0-1-a",
    clientAccount: "nile",
    key: "case-9",
    unit: "s:17",
    stewardToken: 4096,
    unitToken: 8192,
    method: "POST",
    path: "/case-files/case-9/demands",
    headers: [],
    body: Buffer.from("demand"),
    remainingMs: 1_000,
    maxAnswerBytes: 1_000,
    notAfterMs: Infinity,
    ...changes,
  };
}

/** Sends one request to a target that behaves so; gives what came of it. */
async function dispatchOnce(
  behave: Behaviour,
  changes: Partial<DispatchRequest> = {},
) {
  const target = await startRawTarget(behave);
  const client = new TargetClient(PATIENT);
  const { signal } = new AbortController();
  const address = { id: "t", address: target.address };
  const sent = await client.dispatch(address, makeRequest(changes), signal);
  client.close();
  target.stop();
  return { sent, received: target.received };
}

test("a whole answer comes back with the target's own headers", async () => {
  const { sent, received } = await dispatchOnce(
    (socket) =>
      socket.write(
        "HTTP/1.1 201 Created\r\nX-Case: 9\r\ncontent-length: 2\r\n\r\nok",
      ),
    // Far more than a busy machine needs: the answer decides, not the clock.
    { remainingMs: 60_000 },
  );
  assert.ok(sent.ok);
  assert.equal(sent.val.status, 201);
  assert.deepEqual(sent.val.headers, [{ name: "x-case", value: "9" }]);
  assert.match(received[0]!, /lentilspur-steward-token: 4096\r\n/);
  assert.match(received[0]!, /lentilspur-deadline-ms: 60000\r\n/);
});

/**
 * A caller sends a demand; the connection fails in one of the ways below after
 * the demand has left. The target may have run it, so saying "not run" would
 * have the caller lodge it twice.
 */
const UNKNOWN_STORIES: readonly (readonly [string, Behaviour, string])[] = [
  ["accepts and never answers", () => undefined, "silent"],
  ["resets after the request", (socket) => socket.resetAndDestroy(), "reset"],
  ["closes before answering", (socket) => socket.end(), "reset"],
  [
    "closes midway through the body",
    (socket) => socket.end("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf"),
    "cut",
  ],
  [
    "sends a short body on a closing connection",
    (socket) =>
      socket.end(
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 9\r\n\r\nhalf",
      ),
    "cut",
  ],
  [
    "leaves out the last chunk on a closing connection",
    (socket) =>
      socket.end(
        "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked" +
          "\r\n\r\n4\r\nhalf\r\n",
      ),
    "cut",
  ],
  [
    "ends an answer of no stated length with the connection",
    (socket) => socket.end("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf"),
    "cut",
  ],
  [
    "answers for another request",
    (socket) =>
      socket.write(
        "HTTP/1.1 200 OK\r\nlentilspur-request-id: 0-1-b\r\n" +
          "content-length: 2\r\n\r\nok",
      ),
    "cut",
  ],
  [
    "answers at more length than allowed",
    (socket) =>
      socket.write(
        `HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n${"x".repeat(2000)}`,
      ),
    "too-large",
  ],
];

for (const [story, behave, cause] of UNKNOWN_STORIES) {
  test(`the outcome is unknown when the target ${story}`, async () => {
    const { sent, received } = await dispatchOnce(behave);
    assert.ok(!sent.ok);
    assert.equal(sent.val.kind, "unknown");
    assert.equal(sent.val.cause, cause);
    const posts = received.filter((text) => text.includes("/demands"));
    assert.equal(posts.length, 1, "it was sent once");
  });
}

test("nothing listening proves that the request did not run", async () => {
  const target = await startRawTarget(() => undefined);
  target.stop();
  const client = new TargetClient(PATIENT);
  const address = { id: "t", address: target.address };
  const { signal } = new AbortController();
  const sent = await client.dispatch(address, makeRequest(), signal);
  const probed = await client.probe(address);
  client.close();
  assert.ok(!sent.ok && !probed.ok);
  assert.deepEqual([sent.val.kind, sent.val.cause], ["not-run", "unreachable"]);
  assert.equal(probed.val.kind, "refused");
});

test("a target's own refusals are told apart", async () => {
  const causes: (readonly [string, string])[] = [
    ["412 Fenced", "fenced"],
    ["503 Shed\r\nlentilspur-cause: shed", "shed"],
    ["503 Draining\r\nlentilspur-cause: draining", "draining"],
    ["400 Bad", "refused"],
  ];
  for (const [head, cause] of causes) {
    const { sent } = await dispatchOnce((socket) =>
      socket.write(
        `HTTP/1.1 ${head}\r\nlentilspur-outcome: not-run\r\n` +
          "retry-after-ms: 40\r\ncontent-length: 0\r\n\r\n",
      )
    );
    assert.ok(!sent.ok && sent.val.kind === "not-run");
    assert.equal(sent.val.cause, cause);
    assert.equal(sent.val.retryAfterMs, 40);
  }
});

test("an answer that comes after the timeout reaches nobody", async () => {
  // A handler's settlement gets no answer in time and is told so. Their next
  // request goes out; just then the first answer arrives. Were it on the same
  // connection, the second request would be answered with the first's result.
  let first: Socket | undefined;
  const target = await startRawTarget((socket, text) => {
    if (text.includes("0-1-a\r\n") && text.includes("/demands")) {
      first = socket;
      return;
    }
    first?.write("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst");
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond");
  });
  const client = new TargetClient(PATIENT);
  const address = { id: "t", address: target.address };
  const { signal } = new AbortController();
  const late = makeRequest({ remainingMs: 100 });
  const lost = await client.dispatch(address, late, signal);
  const next = makeRequest({ requestId: "0-1-b" });
  const answered = await client.dispatch(address, next, signal);
  client.close();
  target.stop();
  assert.ok(!lost.ok && lost.val.cause === "silent");
  assert.ok(answered.ok);
  assert.equal(Buffer.from(answered.val.body).toString(), "second");
  assert.ok(
    target.received.some((text) => text.startsWith("POST /cancel/0-1-a ")),
    "the target is asked to stop",
  );
});

test("a request cancelled before it is written did not run", async () => {
  const target = await startRawTarget((socket) => socket.write(WHOLE));
  const client = new TargetClient(PATIENT);
  const address = { id: "t", address: target.address };
  const sent = await client.dispatch(
    address,
    makeRequest(),
    AbortSignal.abort(),
  );
  client.close();
  target.stop();
  assert.ok(!sent.ok);
  assert.equal(sent.val.kind, "not-run");
  assert.deepEqual(target.received, []);
});

test("a request whose sender was paused before the write never leaves", async () => {
  // A steward checks its lease and sends a settlement; its process is stopped
  // before the first byte is written and goes on ten seconds later. By then a
  // successor serves the key, and the settlement would run beside it.
  const target = await startRawTarget((socket) => socket.write(WHOLE));
  let paused = false;
  const clock = new SystemClock();
  clock.readMs = () => paused ? 10_000 : 0;
  const client = new TargetClient({ clock });
  const address = { id: "t", address: target.address };
  const { signal } = new AbortController();
  const sending = client.dispatch(address, makeRequest(), signal);
  paused = true;
  const sent = await sending;
  client.close();
  target.stop();
  assert.ok(!sent.ok);
  assert.equal(sent.val.kind, "not-run");
  assert.deepEqual(target.received, []);
});

test("a connection that went silent while idle carries no request", async () => {
  // Something between the two ends loses track of a connection. Nobody notices,
  // since it is idle. A deposit put on it would be told "unknown" at its
  // deadline, although new connections work.
  const silent = new Set<Socket>();
  let answered: Socket | undefined;
  const target = await startRawTarget((socket) => {
    if (!silent.has(socket)) {
      answered = socket;
      socket.write(WHOLE);
    }
  });
  const client = new TargetClient(PATIENT);
  const address = { id: "t", address: target.address };
  const { signal } = new AbortController();
  await client.dispatch(address, makeRequest(), signal);
  silent.add(answered!);
  await new Promise((resolve) => setTimeout(resolve, 1_600));
  const sent = await client.dispatch(address, makeRequest(), signal);
  client.close();
  target.stop();
  assert.ok(sent.ok);
});
