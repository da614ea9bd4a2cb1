import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { injectFreeze } from "@lentilspur/ports/process_freeze";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { openConnection } from "./http_connection.ts";

const TIMEOUT_MS = 200;
const FREEZE_MS = 400;
const RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
const OPTIONS = { timeoutMs: TIMEOUT_MS, clock: new SystemClock() };

/** Opens a target; returns its address and its connections. */
async function openTarget(
  context: TestContext,
): Promise<{ readonly address: string; readonly sockets: Socket[] }> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    sockets.push(socket);
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  context.after(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, sockets };
}

/** Sends a request whose response arrives as these parts. */
async function sendRequest(
  context: TestContext,
  [early, late]: readonly [early: string, inFreeze: string],
): Promise<string> {
  const { address, sockets } = await openTarget(context);
  const connection = (await openConnection(address, OPTIONS)).unwrap();
  const sent = connection.send({
    method: "GET",
    path: "/",
    timeoutMs: TIMEOUT_MS,
    stallTimeoutMs: TIMEOUT_MS,
    maxResponseBytes: 100,
  });
  await once(sockets[0]!, "data");
  sockets[0]!.write(early);
  await injectFreeze(FREEZE_MS, () => sockets[0]!.write(late));
  const result = await sent;
  connection.close();
  return result.ok ? String(result.val.status) : result.val.cause;
}

test("a response that arrives while the process stands still is not given up as silent", async (context) => {
  assert.equal(await sendRequest(context, ["", RESPONSE]), "200");
});

test("the end of a response that arrives while the process stands still is not given up as stalled", async (context) => {
  const parts = [RESPONSE.slice(0, -2), RESPONSE.slice(-2)] as const;
  assert.equal(await sendRequest(context, parts), "200");
});

test("a response that never arrives is given up after a standstill", async (context) => {
  assert.equal(await sendRequest(context, ["", ""]), "silent");
});

test("a connection that is accepted while the process stands still is not given up", async (context) => {
  const { address } = await openTarget(context);
  let opened: ReturnType<typeof openConnection> | undefined;
  await injectFreeze(FREEZE_MS, () => {
    opened = openConnection(address, OPTIONS);
  });
  const result = await opened!;
  assert.ok(result.ok);
  result.val.close();
});
