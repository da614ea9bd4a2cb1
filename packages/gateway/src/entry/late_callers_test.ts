import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import type { ServerResponse } from "node:http";
import { type AddressInfo, connect, createServer } from "node:net";
import { test, type TestContext } from "node:test";
import { injectFreeze } from "@lentilspur/ports/process_freeze";
import { SystemClock } from "@lentilspur/ports/system_clock";
import type { RequestServerOptions, ServerLimits } from "./request_server.ts";
import {
  formatRequest,
  listResponses,
  ServerTrial,
  type TrialCaller,
  waitForArrivals,
  waitUntil,
} from "./server_trial.ts";
import { writeStream } from "./stream_writer.ts";

const LIMITS: ServerLimits = {
  maxBodyBytes: 1_000,
  headTimeoutMs: 300,
  idleTimeoutMs: 5_000,
};
/** Longer than the timeouts, and than the pause between two checks of them. */
const FREEZE_MS = 1_500;
const POST = formatRequest("post", { method: "POST" });
const POST_WITH_BODY = formatRequest("post", {
  method: "POST",
  headers: "Content-Length: 4\r\n",
});

const CLOCK = new SystemClock();

let stalledMs = 0;

async function openTrial(
  context: TestContext,
  { limits = LIMITS, ...options }: Partial<RequestServerOptions> & {
    readonly limits?: ServerLimits;
  } = {},
): Promise<ServerTrial> {
  const trial = new ServerTrial({
    readTotalStallMs: () => stalledMs,
    ...options,
  });
  context.after(() => trial.close());
  trial.server.setLimits(limits);
  await trial.server.open();
  return trial;
}

async function sendInFreeze(
  caller: TrialCaller,
  text: string,
  ms = FREEZE_MS,
): Promise<void> {
  await injectFreeze(ms, () => {
    caller.socket.write(text);
    stalledMs += ms;
  });
}

/** Sends the first request of a connection, and waits for its answer. */
async function sendFirst(
  trial: ServerTrial,
  caller: TrialCaller,
): Promise<void> {
  caller.socket.write(formatRequest("first"));
  await waitUntil(() => trial.answers.has("first"));
  trial.answers.get("first")!();
  await waitUntil(() => caller.text().includes("<first>"));
}

/** Waits for the answer to `post`, which the target answers at once. */
async function waitForPost(
  trial: ServerTrial,
  caller: TrialCaller,
): Promise<void> {
  await waitUntil(() =>
    trial.answers.has("post") || caller.socket.readableEnded ||
    caller.socket.destroyed
  );
  trial.answers.get("post")?.();
  await waitForArrivals();
}

test("a request that is sent in a freeze is not refused as late", async (context) => {
  const trial = await openTrial(context);
  const caller = await trial.openCaller();
  await sendInFreeze(caller, POST);
  await waitForPost(trial, caller);
  assert.deepEqual(listResponses(caller), ["200", "post"]);
});

test("a head that ends in a freeze is not refused as late", async (context) => {
  const trial = await openTrial(context);
  const caller = await trial.openCaller();
  caller.socket.write(POST.slice(0, 20));
  await waitForArrivals();
  await sendInFreeze(caller, POST.slice(20));
  await waitForPost(trial, caller);
  assert.deepEqual(listResponses(caller), ["200", "post"]);
});

test("a second head of a connection that ends in a freeze is not refused as late", async (context) => {
  const trial = await openTrial(context);
  const caller = await trial.openCaller();
  await sendFirst(trial, caller);
  caller.socket.write(POST.slice(0, 20));
  await waitForArrivals();
  await sendInFreeze(caller, POST.slice(20));
  await waitForPost(trial, caller);
  assert.deepEqual(listResponses(caller), ["200", "first", "200", "post"]);
});

test("a head that ends in a freeze behind an unanswered request is served", async (context) => {
  const trial = await openTrial(context);
  const caller = await trial.openCaller();
  caller.socket.write(formatRequest("first") + POST.slice(0, 20));
  await waitUntil(() => trial.answers.has("first"));
  await waitForArrivals();
  await sendInFreeze(caller, POST.slice(20));
  trial.answers.get("first")!();
  await waitForPost(trial, caller);
  assert.deepEqual(listResponses(caller), ["200", "first", "200", "post"]);
});

test("a body that ends in a freeze is not refused as late", async (context) => {
  const trial = await openTrial(context, { bodyTimeoutMs: 300 });
  const caller = await trial.openCaller();
  caller.socket.write(POST_WITH_BODY + "bo");
  await waitForArrivals();
  await sendInFreeze(caller, "dy");
  await waitForPost(trial, caller);
  assert.deepEqual(listResponses(caller), ["200", "post"]);
});

test("a request that is sent in a freeze on an idle connection is answered", async (context) => {
  const trial = await openTrial(context, {
    limits: { ...LIMITS, idleTimeoutMs: 300 },
  });
  const caller = await trial.openCaller();
  await sendFirst(trial, caller);
  await sendInFreeze(caller, POST);
  await waitForPost(trial, caller);
  assert.deepEqual(listResponses(caller), ["200", "first", "200", "post"]);
});

test("an idle connection is closed after a freeze in which nothing was sent", async (context) => {
  const trial = await openTrial(context, {
    limits: { ...LIMITS, idleTimeoutMs: 300 },
  });
  const caller = await trial.openCaller();
  await sendFirst(trial, caller);
  await sendInFreeze(caller, "");
  await waitUntil(() => caller.socket.readableEnded);
  assert.deepEqual(listResponses(caller), ["200", "first"]);
});

test("a caller is not late for the length of a freeze", async (context) => {
  const trial = await openTrial(context, {
    limits: { ...LIMITS, headTimeoutMs: 1_000 },
  });
  const caller = await trial.openCaller();
  await sendInFreeze(caller, "");
  await CLOCK.sleep(300);
  caller.socket.write(POST);
  await waitForPost(trial, caller);
  assert.deepEqual(listResponses(caller), ["200", "post"]);
});

test("a head that never ends loses its connection after a series of freezes", async (context) => {
  const trial = await openTrial(context);
  const caller = await trial.openCaller();
  caller.socket.write(POST.slice(0, 20));
  for (let freezes = 0; freezes < 4; freezes++) {
    await sendInFreeze(caller, "", 600);
    await CLOCK.sleep(100);
  }
  await waitUntil(() => caller.socket.readableEnded);
  assert.deepEqual(listResponses(caller), ["408"]);
});

test("a body that never ends after a head in a freeze loses its connection", async (context) => {
  const trial = await openTrial(context, { bodyTimeoutMs: 300 });
  const caller = await trial.openCaller();
  await sendInFreeze(caller, POST_WITH_BODY + "bo");
  await waitUntil(() => caller.socket.readableEnded);
  assert.deepEqual(listResponses(caller), ["408"]);
  assert.deepEqual(trial.passedOn, []);
});

test("a head is not late while its connection is not read", async (context) => {
  const trial = await openTrial(context);
  const caller = await trial.openCaller();
  const ids = Array.from({ length: 70 }, (_, index) => `held-${index}`);
  const held = ids.map((id) => formatRequest(id, { method: "POST" })).join("");
  caller.socket.write(held + POST.slice(0, 20));
  await waitUntil(() => trial.answers.has("held-0"));
  await CLOCK.sleep(FREEZE_MS);
  caller.socket.write(POST.slice(20));
  for (const id of ids) {
    await waitUntil(() => trial.answers.has(id));
    trial.answers.get(id)!();
  }
  await waitForPost(trial, caller);
  assert.equal(listResponses(caller).at(-1), "post");
});

test("a caller that takes a part in a freeze is not given up as too slow", async (context) => {
  // What arrives here stands for the acknowledgement of the part.
  let acknowledge: () => void = () => undefined;
  const server = createServer((socket) => {
    socket.on("data", () => acknowledge());
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
  await once(caller, "connect");
  context.after(() => {
    caller.destroy();
    server.close();
  });
  const response = Object.assign(new EventEmitter(), {
    end: () => undefined,
    write: (_bytes: Uint8Array, callback: () => void) => {
      acknowledge = callback;
      void injectFreeze(200, () => caller.write("taken"));
    },
  }) as unknown as ServerResponse;
  const parts = [
    { kind: "data", bytes: new Uint8Array(1) } as const,
    { kind: "end" } as const,
  ];
  const delivery = await writeStream(
    {
      read: () => Promise.resolve(parts.shift()!),
      cancel: () => undefined,
      ended: Promise.resolve({ kind: "complete", bytes: 1 }),
      buffered: Promise.resolve(true),
      length: undefined,
    },
    response,
    {
      signal: new AbortController().signal,
      clock: CLOCK,
      stallTimeoutMs: 100,
      readTotalStallMs: () => stalledMs,
    },
  );
  assert.equal(delivery.result, "complete");
});
