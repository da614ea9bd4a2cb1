import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { test } from "node:test";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { openConnection } from "./http_connection.ts";
import type { HttpResponse } from "./http_exchange.ts";

const HALF = "HTTP/1.1 200 OK\r\nx-echo: 1\r\n\r\nhalf of it";

/** Sends one request to a target that answers without a length and then ends. */
async function sendToTarget(
  end: (socket: Socket) => void,
): Promise<HttpResponse | string> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.write(HALF, () => setTimeout(() => end(socket), 20));
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
    maxAnswerBytes: 1_000,
    acceptsCloseDelimited: true,
  });
  server.close();
  return sent.ok ? sent.val : sent.val.cause;
}

test("an answer without a length that ends in a reset is cut", async () => {
  // A caller gets half of a case file and takes it for the whole. The target
  // dies within an answer that gives no length: its connection is reset, and
  // the HTTP client passes what came so far as complete.
  assert.equal(await sendToTarget((socket) => socket.resetAndDestroy()), "cut");
});

test("an answer without a length that ends in order is whole", async () => {
  const answer = await sendToTarget((socket) => socket.end());
  assert.equal(
    typeof answer === "string" ? answer : Buffer.from(answer.body).toString(),
    "half of it",
  );
});
