import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { test } from "node:test";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { openConnection } from "./http_connection.ts";
import type { HttpResponse } from "./http_exchange.ts";

const HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nx-echo: 1\r\n\r\n";
const RESPONSE_WITHOUT_LENGTH = `${HEAD_WITHOUT_LENGTH}half of it`;
const LARGE_UPLOAD = Buffer.alloc(12 * 1024 * 1024);

/** Sends a request to a target that does this once its first bytes arrive. */
async function sendToTarget(
  respond: (socket: Socket) => void,
  body?: Uint8Array,
): Promise<HttpResponse | string> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => respond(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  const opened = await openConnection(`127.0.0.1:${port}`, {
    timeoutMs: 60_000,
    clock: new SystemClock(),
  });
  const sent = await opened.unwrap().send({
    method: body === undefined ? "GET" : "POST",
    path: "/",
    ...(body === undefined ? {} : { body }),
    timeoutMs: 60_000,
    maxResponseBytes: 100_000,
    acceptsCloseDelimited: true,
  });
  server.close();
  return sent.ok ? sent.val : sent.val.cause;
}

/** Ends the connection some time after the response, which is not whole. */
function answerAndEnd(end: (socket: Socket) => void) {
  return (socket: Socket): void => {
    socket.write(
      RESPONSE_WITHOUT_LENGTH,
      () => setTimeout(() => end(socket), 20),
    );
  };
}

test("a response without a length counts as truncated if its connection is reset", async () => {
  // Guards against half of a response that looks complete to the caller: a
  // target crashes within a response without a length, its connection is reset,
  // and the HTTP client reports the part that arrived as the whole response.
  const respond = answerAndEnd((socket) => socket.resetAndDestroy());
  assert.equal(await sendToTarget(respond), "cut");
});

test("a response without a length counts as complete if the target closes its connection", async () => {
  const response = await sendToTarget(answerAndEnd((socket) => socket.end()));
  assert.equal(
    typeof response === "string"
      ? response
      : Buffer.from(response.body).toString(),
    "half of it",
  );
});

const BODIES: Readonly<Record<string, Uint8Array | undefined>> = {
  "a request without a body": undefined,
  "a large upload": LARGE_UPLOAD,
};
const HEADS: Readonly<Record<string, string>> = {
  "HTTP/1.1": HEAD_WITHOUT_LENGTH,
  "HTTP/1.0": HEAD_WITHOUT_LENGTH.replace("1.1", "1.0"),
  "Connection: close": HEAD_WITHOUT_LENGTH.replace(
    "x-echo: 1",
    "Connection: close",
  ),
};
const RESPONSE_BYTES = [1, 9_000, 30_000, 60_000];

function describe(response: HttpResponse | string): string {
  return typeof response === "string"
    ? response
    : `whole, ${response.body.byteLength} bytes`;
}

/** Reads a request with a body of this many bytes, then calls `respond`. */
function readRequest(
  socket: Socket,
  bytes: number,
  respond: () => void,
): void {
  const check = () => {
    if (socket.bytesRead >= bytes) {
      socket.off("data", check);
      // Data that is left unread would reset the connection.
      socket.resume();
      respond();
    }
  };
  socket.on("data", check);
  check();
}

for (const [to, body] of Object.entries(BODIES)) {
  for (const [form, head] of Object.entries(HEADS)) {
    test(`a response without a length to ${to} is truncated if a reset arrives with its data (${form})`, async () => {
      for (const bytes of RESPONSE_BYTES) {
        const response = await sendToTarget((socket) => {
          socket.write(head + "a".repeat(bytes));
          socket.resetAndDestroy();
        }, body);
        assert.match(describe(response), /^(cut|reset)$/);
      }
    });

    test(`a response without a length to ${to} is complete if a FIN arrives with its data (${form})`, async () => {
      for (const bytes of RESPONSE_BYTES) {
        const response = await sendToTarget((socket) => {
          readRequest(
            socket,
            body?.byteLength ?? 0,
            () => socket.end(head + "a".repeat(bytes)),
          );
        }, body);
        assert.equal(describe(response), `whole, ${bytes} bytes`);
      }
    });
  }
}

for (const status of ["000", "001", "099", "101", "600", "999"]) {
  for (const line of ["", "HTTP/1.1 102 Processing\r\n\r\n"]) {
    test(`a response with the status ${status} is malformed and reaches no assertion of the client (after "${line.trim()}")`, async () => {
      const response = await sendToTarget((socket) => {
        socket.end(
          `${line}HTTP/1.1 ${status} OK\r\nContent-Length: 40000\r\n\r\n` +
            "a".repeat(40_000),
        );
      });
      assert.equal(describe(response), "malformed");
    });
  }
}

/** Each byte arrives in a read of its own. */
function writeBytes(socket: Socket, text: string): void {
  socket.setNoDelay(true);
  const [byte, ...rest] = text;
  if (byte === undefined) {
    socket.end();
    return;
  }
  socket.write(
    byte,
    "latin1",
    () => setImmediate(() => writeBytes(socket, rest.join(""))),
  );
}

for (
  const [line, expected] of Object.entries({
    "HTTP/1.1 200 OK": "whole, 2 bytes",
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK": "whole, 2 bytes",
    "HTTP/1.1 200 O\0K": "malformed",
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/2.0 200 OK": "malformed",
  })
) {
  test(`the status line ${JSON.stringify(line)} is read whole if it arrives byte by byte`, async () => {
    const response = await sendToTarget((socket) =>
      writeBytes(socket, `${line}\r\nContent-Length: 2\r\n\r\nok`)
    );
    assert.equal(describe(response), expected);
  });
}
