import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import type { ResponseStream } from "@lentilspur/ports/response_stream";
import { SystemClock } from "@lentilspur/ports/system_clock";
import type { Result } from "@lentilspur/outcomes/result";
import { ConnectionPool, type PoolFailure } from "./connection_pool.ts";
import type { HttpResponse } from "./http_exchange.ts";
import { ReadAheadBudget } from "./read_ahead_budget.ts";

type Sent = Result<HttpResponse, PoolFailure>;

class PoolTrial {
  readonly budget: ReadAheadBudget;
  readonly pool: ConnectionPool;
  readonly #server;

  private constructor(
    server: ReturnType<typeof createServer>,
    budgetBytes: number,
  ) {
    this.#server = server;
    const { port } = server.address() as AddressInfo;
    this.budget = new ReadAheadBudget(budgetBytes);
    this.pool = new ConnectionPool(`127.0.0.1:${port}`, {
      clock: new SystemClock(),
      maxConnections: 400,
      connectTimeoutMs: 60_000,
      maxIdleMs: 60_000,
    });
  }

  static async open(
    answer: (socket: Socket) => void,
    budgetBytes = 1_000_000,
  ): Promise<PoolTrial> {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.on("data", () => answer(socket));
    });
    server.listen(0, "127.0.0.1", 400);
    await once(server, "listening");
    return new PoolTrial(server, budgetBytes);
  }

  send(maxResponseBytes = 10_000_000): Promise<Sent> {
    return this.pool.send({
      method: "GET",
      path: "/",
      timeoutMs: 60_000,
      maxResponseBytes,
      acceptsCloseDelimited: true,
      readAhead: this.budget,
    });
  }

  close(): void {
    this.pool.close();
    this.#server.close();
  }
}

function formatHead(bytes: number): string {
  return `HTTP/1.1 200 OK\r\nContent-Length: ${bytes}\r\n\r\n`;
}

async function countBytes(stream: ResponseStream): Promise<number> {
  let bytes = 0;
  for (;;) {
    const part = await stream.read();
    switch (part.kind) {
      case "data":
        bytes += part.bytes.byteLength;
        break;
      case "end":
        return bytes;
      case "broken":
        assert.fail(part.message);
    }
  }
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

async function waitForTurns(): Promise<void> {
  for (let turn = 0; turn < 50; turn++) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

test("a response of 64 KiB is returned whole, so that one that breaks off can be repeated", async () => {
  const bytes = 64 * 1024;
  const trial = await PoolTrial.open((socket) => {
    socket.write(formatHead(bytes));
    socket.write(Buffer.alloc(bytes));
  });
  const response = (await trial.send()).unwrap();
  assert.equal(response.body.byteLength, bytes);
  assert.equal(response.stream, undefined);
  trial.close();
});

test("a response that breaks off within 64 KiB has no stream", async () => {
  const trial = await PoolTrial.open((socket) => {
    socket.write(formatHead(500_000));
    socket.write(Buffer.alloc(60_000), () => socket.end());
  });
  const sent = await trial.send();
  assert.ok(!sent.ok && sent.val.stage === "sending");
  assert.equal(sent.val.cause, "cut");
  trial.close();
});

test("a response whose announced length is too large is not passed on in part", async () => {
  const trial = await PoolTrial.open((socket) => {
    socket.write(formatHead(500_000));
    socket.write(Buffer.alloc(100_000));
  });
  const sent = await trial.send(400_000);
  assert.ok(!sent.ok && sent.val.stage === "sending");
  assert.equal(sent.val.cause, "too-large");
  assert.equal(trial.budget.claimedBytes, 0);
  trial.close();
});

test("a response that turns out too large breaks off", async () => {
  const trial = await PoolTrial.open((socket) => {
    socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    socket.write(`${(500_000).toString(16)}\r\n`);
    socket.write(Buffer.alloc(500_000));
  });
  const { stream } = (await trial.send(400_000)).unwrap();
  const end = await stream!.ended;
  assert.equal(end.kind === "broken" && end.cause, "too-large");
  assert.equal((await stream!.read()).kind, "broken");
  trial.close();
});

test("the target's connection is freed while the caller has not read the response", async () => {
  const bytes = 500_000;
  const trial = await PoolTrial.open((socket) => {
    socket.write(formatHead(bytes));
    socket.write(Buffer.alloc(bytes));
  });
  const { stream } = (await trial.send()).unwrap();
  assert.deepEqual(await stream!.ended, { kind: "complete", bytes });
  assert.ok(trial.pool.hasIdle);
  assert.equal(await countBytes(stream!), bytes);
  await waitForTurns();
  assert.equal(trial.budget.claimedBytes, 0);
  trial.close();
});

test("a target that ends while its response is not read for want of memory is not to blame", async () => {
  const sockets: Socket[] = [];
  const trial = await PoolTrial.open((socket) => {
    sockets.push(socket);
    socket.write(formatHead(9_000_000));
    socket.write(Buffer.alloc(8_000_000));
  }, 200_000);
  const { stream } = (await trial.send()).unwrap();
  await waitUntil(() => trial.budget.isUsedUp);
  sockets[0]!.resetAndDestroy();
  await waitForTurns();
  for (;;) {
    const part = await stream!.read();
    if (part.kind !== "data") {
      assert.equal(part.kind, "broken");
      break;
    }
  }
  const end = await stream!.ended;
  assert.equal(end.kind === "broken" && end.cause, "unread");
  trial.close();
});

test("300 responses of 0.5 MB that nobody reads take less than 60 MB", async () => {
  const bytes = 500_000;
  const limit = 32_000_000;
  const trial = await PoolTrial.open((socket) => {
    socket.write(formatHead(bytes));
    socket.write(Buffer.alloc(bytes));
  }, limit);
  const responses = await Promise.all(
    Array.from({ length: 300 }, () => trial.send()),
  );
  await waitForTurns();
  const held = trial.budget.claimedBytes;
  // Beyond the limit, each response holds its first part only.
  assert.ok(held <= limit + 300 * 64 * 1024, `${held} bytes`);
  assert.ok(held < 60_000_000, `${held} bytes`);
  assert.ok(trial.budget.isUsedUp);
  const counts = await Promise.all(
    responses.map((response) => countBytes(response.unwrap().stream!)),
  );
  assert.ok(counts.every((count) => count === bytes));
  await waitForTurns();
  assert.equal(trial.budget.claimedBytes, 0);
  assert.ok(!trial.budget.isUsedUp);
  trial.close();
});

test("a caller that reads is served while others use up the budget", async () => {
  const bytes = 500_000;
  const trial = await PoolTrial.open((socket) => {
    socket.write(formatHead(bytes));
    socket.write(Buffer.alloc(bytes));
  }, 300_000);
  const slow = (await trial.send()).unwrap();
  await waitForTurns();
  const fast = (await trial.send()).unwrap();
  assert.equal(await countBytes(fast.stream!), bytes);
  slow.stream!.cancel("The caller has left");
  await waitForTurns();
  assert.equal(trial.budget.claimedBytes, 0);
  trial.close();
});

for (const isReset of [true, false]) {
  const end = isReset ? "reset" : "FIN";
  test(`a stream without a length is ${isReset ? "broken" : "complete"} if a ${end} arrives with its last part`, async () => {
    const sockets: Socket[] = [];
    const trial = await PoolTrial.open((socket) => {
      sockets.push(socket);
      socket.write("HTTP/1.1 200 OK\r\n\r\n");
      socket.write(Buffer.alloc(100_000));
    });
    const { stream } = (await trial.send()).unwrap();
    const [target] = sockets;
    target!.write(Buffer.alloc(1_000));
    isReset ? target!.resetAndDestroy() : target!.end();
    const { kind } = await stream!.ended;
    trial.close();
    assert.equal(kind, isReset ? "broken" : "complete");
  });
}

/** Heads of responses that end with their connection. */
const LAST_HEADS: Readonly<Record<string, string>> = {
  "no length": "HTTP/1.1 200 OK\r\n\r\n",
  "Connection: close":
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9000000\r\n\r\n",
};
/** Ways in which a response ends while its read is paused. */
const PAUSED_ENDS: Readonly<
  Record<string, (stream: ResponseStream, target: Socket) => void>
> = {
  "its caller leaves": (stream) => stream.cancel("The caller has left"),
  "its target resets the connection": (_stream, target) =>
    void target.resetAndDestroy(),
  "its target closes the connection": (_stream, target) => void target.end(),
};

for (const [headName, head] of Object.entries(LAST_HEADS)) {
  for (const [endName, end] of Object.entries(PAUSED_ENDS)) {
    for (const bytes of [70_000, 140_000, 8_000_000]) {
      test(`a paused response with ${headName} and ${bytes} bytes does not end the process if ${endName}`, async () => {
        const sockets: Socket[] = [];
        const trial = await PoolTrial.open((socket) => {
          sockets.push(socket);
          socket.write(head);
          socket.write(Buffer.alloc(bytes));
        }, 1);
        const { stream } = (await trial.send()).unwrap();
        await waitUntil(() => trial.budget.isUsedUp);
        await waitForTurns();
        end(stream!, sockets[0]!);
        await waitForTurns();
        for (;;) {
          const part = await stream!.read();
          if (part.kind !== "data") {
            break;
          }
        }
        await stream!.ended;
        await waitForTurns();
        assert.equal(trial.budget.claimedBytes, 0);
        trial.close();
      });
    }
  }
}
