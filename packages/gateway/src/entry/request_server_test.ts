import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerRequest, FinalResponse } from "./caller_request.ts";
import { RequestServer } from "./request_server.ts";
import { createServerOptions } from "./server_trial.ts";

const RESPONSE: FinalResponse = {
  kind: "answered",
  status: 200,
  headers: [{ name: "x-signature", value: "s" }],
  body: Buffer.from("half of it"),
  isSelfDelimited: true,
};

type Handle = (
  request: CallerRequest,
) => FinalResponse | Promise<FinalResponse>;

async function openServer(handle: Handle): Promise<RequestServer> {
  const server = new RequestServer(
    createServerOptions(async (request) => await handle(request)),
  );
  await server.open();
  return server;
}

/**
 * Writes `text` on one connection and returns all that it receives until the
 * end.
 */
async function sendRaw(text: string, handle: Handle): Promise<string> {
  const server = await openServer(handle);
  const received: Buffer[] = [];
  await new Promise<void>((resolve) => {
    const socket = connect(server.port, "127.0.0.1", () => socket.write(text));
    socket.on("data", (chunk) => received.push(chunk));
    socket.on("close", () => resolve());
  });
  void server.close();
  return Buffer.concat(received).toString();
}

test("a response that ended with its connection is forwarded without a length", async () => {
  // A target that answers without a length crashes halfway, and its connection
  // ends in order. With the length of the received part, half a case file would
  // look complete.
  const text = "GET / HTTP/1.1\r\nHost: a\r\nx-id: 1\r\n\r\n";
  const received = await sendRaw(
    text,
    () => ({ ...RESPONSE, isSelfDelimited: false }),
  );
  const [head = "", body] = received.split("\r\n\r\n");
  assert.equal(body, "half of it");
  assert.doesNotMatch(head, /content-length|transfer-encoding/i);
  assert.match(head, /connection: close/i);
});

test("a request that is smuggled within another is refused with it", async () => {
  // The request has two lengths that disagree: one server would read as the
  // body what another reads as a separate request.
  const text = "POST / HTTP/1.1\r\nHost: a\r\nx-id: 1\r\n" +
    "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" +
    "0\r\n\r\nGET /other HTTP/1.1\r\nHost: a\r\nx-id: 2\r\n\r\n";
  const seen: string[] = [];
  const received = await sendRaw(text, (request) => {
    seen.push(request.path);
    return RESPONSE;
  });
  assert.match(received, /^HTTP\/1.1 400/);
  assert.deepEqual(seen, []);
});

test("a request without an id is refused as malformed", async () => {
  const text = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  const received = await sendRaw(text, () => RESPONSE);
  assert.match(received, /^HTTP\/1.1 400/);
});

test("a request on a connection that was idle when the stop began is refused, not cut off", async () => {
  const server = await openServer(() => RESPONSE);
  const socket = connect(server.port, "127.0.0.1");
  await once(socket, "connect");
  socket.write("GET / HTTP/1.1\r\nHost: a\r\nx-id: 1\r\n\r\n");
  await once(socket, "data");
  server.drain();
  server.refuse();
  const received: Buffer[] = [];
  socket.on("data", (chunk) => received.push(chunk));
  await sleep(50);
  socket.write("GET / HTTP/1.1\r\nHost: a\r\nx-id: 2\r\n\r\n");
  await once(socket, "close");
  const text = Buffer.concat(received).toString();
  assert.match(text, /^HTTP\/1.1 503/);
  assert.match(text, /lentilspur-outcome: not-run/i);
  assert.match(text, /connection: close/i);
  await server.close();
});
