import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { MemoryAccount } from "@lentilspur/transport/memory_account";
import {
  type BodyResult,
  RequestBodies,
  type RequestBody,
} from "./request_bodies.ts";

const MEGABYTE = 1024 * 1024;
const MEMORY_BYTES = 4 * MEGABYTE;

class BodiesFixture {
  readonly memory = new MemoryAccount(MEMORY_BYTES);
  refusals = 0;
  readonly #bodies = new RequestBodies({
    memory: this.memory,
    observeRefusal: () => this.refusals++,
  });

  /** Begins a body that is declared, or in chunks without a length. */
  open(declaredBytes?: number): OpenBody {
    const message = new PassThrough({ highWaterMark: 100 * MEGABYTE });
    const headers = declaredBytes === undefined
      ? { "transfer-encoding": "chunked" }
      : { "content-length": String(declaredBytes) };
    Object.assign(message, { headers });
    const body = this.#bodies.open(
      message as unknown as IncomingMessage,
      3 * MEGABYTE,
    );
    return new OpenBody(message, body);
  }
}

class OpenBody {
  result: BodyResult | undefined;
  readonly body: RequestBody;
  readonly #message: PassThrough;

  constructor(message: PassThrough, body: RequestBody) {
    this.#message = message;
    this.body = body;
    void body.result.then((result) => this.result = result);
  }

  get isPaused(): boolean {
    return this.#message.isPaused();
  }

  get failure(): string | undefined {
    return this.result?.ok === false ? this.result.failure.kind : undefined;
  }

  async add(text: string | Buffer): Promise<void> {
    this.#message.write(text);
    await new Promise((resolve) => setImmediate(resolve));
  }

  async close(): Promise<void> {
    this.#message.end();
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test("a body of small chunks takes as much memory as its length", async () => {
  const fixture = new BodiesFixture();
  const open = fixture.open();
  for (let count = 0; count < 5_000; count++) {
    await open.add("ab");
  }
  await open.close();
  assert.deepEqual(open.result, { ok: true });
  assert.equal(Buffer.from(open.body.take()).toString(), "ab".repeat(5_000));
  assert.ok(fixture.memory.claimedBytes <= 16 * 1024);
  open.body.release();
  assert.equal(fixture.memory.claimedBytes, 0);
});

test("the largest incomplete body is refused, not the small one that needs memory", async () => {
  const fixture = new BodiesFixture();
  const bodies = [1.2, 1.5, 1.1].map((size) => {
    const open = fixture.open(2 * MEGABYTE);
    void open.add(Buffer.alloc(size * MEGABYTE));
    return open;
  });
  const small = fixture.open(200);
  await small.add("a".repeat(200));
  await small.close();
  assert.deepEqual(small.result, { ok: true });
  assert.deepEqual(
    bodies.map(({ failure }) => failure),
    [undefined, "overloaded", undefined],
  );
  assert.equal(fixture.refusals, 1);
});

test("complete bodies are not refused for others", async () => {
  const fixture = new BodiesFixture();
  const complete = [1, 2].map(() => fixture.open(1.5 * MEGABYTE));
  for (const open of complete) {
    await open.add(Buffer.alloc(1.5 * MEGABYTE));
    await open.close();
  }
  const late = fixture.open(MEGABYTE);
  await late.add(Buffer.alloc(MEGABYTE));
  assert.equal(late.failure, "overloaded");
  const small = fixture.open(1_000);
  await small.add(Buffer.alloc(1_000));
  await small.close();
  assert.deepEqual([...complete, small].map(({ result }) => result?.ok), [
    true,
    true,
    true,
  ]);
});

test("the rest of a refused body is not read without end", async () => {
  const fixture = new BodiesFixture();
  const open = fixture.open(3.5 * MEGABYTE);
  await open.add("a");
  assert.equal(open.failure, "body-too-large");
  assert.ok(!open.isPaused);
  await open.add(Buffer.alloc(100 * 1024));
  assert.ok(open.isPaused);
  assert.equal(fixture.memory.claimedBytes, 0);
});

test("a body that is alone is served although it is larger than the memory", async () => {
  const memory = new MemoryAccount(MEGABYTE);
  const bodies = new RequestBodies({ memory, observeRefusal: () => undefined });
  const message = new PassThrough({ highWaterMark: 100 * MEGABYTE });
  Object.assign(message, { headers: { "transfer-encoding": "chunked" } });
  const body = bodies.open(
    message as unknown as IncomingMessage,
    8 * MEGABYTE,
  );
  message.end(Buffer.alloc(6 * MEGABYTE, "a"));
  assert.deepEqual(await body.result, { ok: true });
  assert.equal(body.take().byteLength, 6 * MEGABYTE);
});

test("a body that was sent is the same after its memory was given back", async () => {
  const fixture = new BodiesFixture();
  const sent = fixture.open();
  await sent.add("sent");
  await sent.close();
  const bytes = sent.body.take();
  sent.body.release();
  const other = fixture.open();
  await other.add("other");
  assert.equal(Buffer.from(bytes).toString(), "sent");
  assert.deepEqual(sent.body.take(), bytes);
});

test("small bodies and one that is larger than the memory are served beside each other", async () => {
  const memory = new MemoryAccount(2 * MEGABYTE);
  const bodies = new RequestBodies({ memory, observeRefusal: () => undefined });
  const open = (): OpenBody => {
    const message = new PassThrough({ highWaterMark: 100 * MEGABYTE });
    Object.assign(message, { headers: { "transfer-encoding": "chunked" } });
    const body = bodies.open(
      message as unknown as IncomingMessage,
      8 * MEGABYTE,
    );
    return new OpenBody(message, body);
  };
  const large = open();
  await large.add(Buffer.alloc(5 * MEGABYTE));
  const small = open();
  await small.add(Buffer.alloc(1_000));
  await small.close();
  await large.add(Buffer.alloc(MEGABYTE));
  await large.close();
  const late = open();
  await late.add(Buffer.alloc(1_000));
  await late.close();
  const results = [small, large, late].map(({ result }) => result?.ok);
  assert.deepEqual(results, [true, true, true]);
});
