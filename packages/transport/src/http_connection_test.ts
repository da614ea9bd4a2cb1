import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { test } from "node:test";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { openConnection } from "./http_connection.ts";
import type { HttpResponse } from "./http_exchange.ts";

const RESPONSE_WITHOUT_LENGTH =
  "HTTP/1.1 200 OK\r\nx-echo: 1\r\n\r\nhalf of it";

/**
 * Sends a request to a target whose response has no length; `end` ends its
 * connection.
 */
async function sendToTarget(
  end: (socket: Socket) => void,
): Promise<HttpResponse | string> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.write(
        RESPONSE_WITHOUT_LENGTH,
        () => setTimeout(() => end(socket), 20),
      );
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  const opened = await openConnection(`127.0.0.1:${port}`, {
    timeoutMs: 60_000,
    clock: new SystemClock(),
  });
  const sent = await opened.unwrap().send({
    method: "GET",
    path: "/",
    timeoutMs: 60_000,
    maxResponseBytes: 1_000,
    acceptsCloseDelimited: true,
  });
  server.close();
  return sent.ok ? sent.val : sent.val.cause;
}

test("a response without a length counts as truncated if its connection is reset", async () => {
  // Guards against half of a response that looks complete to the caller: a
  // target crashes within a response without a length, its connection is reset,
  // and the HTTP client reports the part that arrived as the whole response.
  assert.equal(await sendToTarget((socket) => socket.resetAndDestroy()), "cut");
});

test("a response without a length counts as complete if the target closes its connection", async () => {
  const response = await sendToTarget((socket) => socket.end());
  assert.equal(
    typeof response === "string"
      ? response
      : Buffer.from(response.body).toString(),
    "half of it",
  );
});
