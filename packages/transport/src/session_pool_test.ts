import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { type AddressInfo, type Socket } from "node:net";
import { test } from "node:test";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { SessionPool } from "./session_pool.ts";

const ORDER = {
  method: "POST",
  path: "/grant",
  timeoutMs: 60_000,
  maxResponseBytes: 1_000,
};

/** The target sends a malformed response to this. */
const MALFORMED = { ...ORDER, path: "/malformed" };
/** Other responses arrive meanwhile. */
const MALFORMED_AFTER_MS = 50;

interface Target {
  readonly server: Server;
  readonly sockets: Set<Socket>;
  readonly address: string;
}

async function openTarget(
  options: { readonly port?: number; readonly closes?: boolean } = {},
): Promise<Target> {
  const server = createServer((message, response) => {
    if (message.url === MALFORMED.path) {
      const response = "HTTP/1.1 000 Unknown\r\n\r\n";
      setTimeout(() => message.socket.end(response), MALFORMED_AFTER_MS);
      return;
    }
    response.setHeader("connection", options.closes ? "close" : "keep-alive");
    response.end("ok");
  });
  const sockets = new Set<Socket>();
  server.on("connection", (socket) => sockets.add(socket));
  await new Promise<void>((resolve) =>
    server.listen(options.port ?? 0, "127.0.0.1", resolve)
  );
  const { port } = server.address() as AddressInfo;
  return { server, sockets, address: `127.0.0.1:${port}` };
}

/**
 * Ends the server and resets its connections, as a crash of its process does.
 */
async function kill({ server, sockets }: Target): Promise<void> {
  const open = [...sockets].filter(({ closed }) => !closed);
  const ended = open.map((socket) =>
    new Promise((resolve) => socket.once("close", resolve))
  );
  open.forEach((socket) => socket.resetAndDestroy());
  await Promise.all(ended);
  await new Promise((resolve) => server.close(resolve));
}

function createPool(address: string): SessionPool {
  return new SessionPool(address, {
    clock: new SystemClock(),
    maxConnections: 4,
    connectTimeoutMs: 60_000,
    maxIdleMs: 60_000,
  });
}

/** Waits until the pool has noticed that its connections are closed. */
async function waitForSession(pool: SessionPool, after: number): Promise<void> {
  while (pool.session === after) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test("a renewal does not reach a later incarnation of the target", async () => {
  // A target is killed and restarts at its address under its id between two
  // renewals. Sent on a new connection, the second renewal would grant keys to
  // the new incarnation under the token of the old one.
  const first = await openTarget();
  const pool = createPool(first.address);
  const { session } = pool;
  assert.ok((await pool.send(ORDER, session)).ok);
  assert.ok((await pool.send(ORDER, session)).ok);
  await kill(first);
  const { port } = new URL(`http://${first.address}`);
  const second = await openTarget({ port: Number(port) });
  await waitForSession(pool, session);
  const renewed = await pool.send(ORDER, session);
  assert.ok(!renewed.ok && renewed.val.stage === "session");
  assert.equal(second.sockets.size, 0);
  assert.ok((await pool.send(ORDER, pool.session)).ok, "a new session opens");
  pool.close();
  await kill(second);
});

test("a session ends with its only connection", async () => {
  const target = await openTarget({ closes: true });
  const pool = createPool(target.address);
  const { session } = pool;
  assert.ok((await pool.send(ORDER, session)).ok);
  assert.ok(pool.session > session);
  pool.close();
  await kill(target);
});

test("a session continues while one of its connections is open", async () => {
  const target = await openTarget();
  const pool = createPool(target.address);
  const { session } = pool;
  const sent = await Promise.all([
    pool.send(ORDER, session),
    pool.send(ORDER, session),
  ]);
  assert.ok(sent.every(({ ok }) => ok));
  assert.equal(pool.session, session);
  pool.close();
  await kill(target);
});

test("a session ends with a malformed response, which another process may have sent", async () => {
  const target = await openTarget();
  const pool = createPool(target.address);
  const { session } = pool;
  const malformed = pool.send(MALFORMED, session);
  assert.ok((await pool.send(ORDER, session)).ok);
  const sent = await malformed;
  assert.ok(!sent.ok && sent.val.stage === "sending");
  assert.equal(sent.val.cause, "malformed");
  assert.ok(pool.session > session);
  pool.close();
  await kill(target);
});
