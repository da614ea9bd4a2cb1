import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test, type TestContext } from "node:test";
import { injectFreeze } from "@lentilspur/ports/process_freeze";
import { closeIdleConnections } from "./idle_connections.ts";
import { waitUntil } from "./server_trial.ts";

const REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/** Longer than Node's server waits beyond its `keepAliveTimeout`. */
const FREEZE_MS = 1_500;

/** Counts the responses on a connection that sends `text` in a freeze. */
async function countResponses(
  context: TestContext,
  text: string,
): Promise<number> {
  const server = createServer(
    { keepAliveTimeout: 100 },
    (_request, response) => response.end(),
  ).listen(0, "127.0.0.1");
  closeIdleConnections(server);
  await once(server, "listening");
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  context.after(() => {
    socket.destroy();
    server.close();
  });
  let received = "";
  socket.on("data", (bytes) => received += String(bytes));
  socket.on("error", () => undefined);
  socket.write(REQUEST);
  await waitUntil(() => received.includes("\r\n\r\n"));
  await injectFreeze(FREEZE_MS, () => socket.write(text));
  await waitUntil(() => socket.closed);
  return received.match(/HTTP\/1\.1 200/g)?.length ?? 0;
}

test("a forwarded request that arrives in a freeze is not cut off as idle", async (context) => {
  assert.equal(await countResponses(context, REQUEST), 2);
});

test("a connection of a peer that sends nothing in a freeze is closed", async (context) => {
  assert.equal(await countResponses(context, ""), 1);
});
