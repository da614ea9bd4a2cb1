import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import type { RequestServerOptions } from "./request_server.ts";
import {
  formatRequest,
  listResponses,
  ServerTrial,
  waitForArrivals,
  waitUntil,
} from "./server_trial.ts";

const LIMITS = {
  maxBodyBytes: 1_000,
  headTimeoutMs: 100,
  idleTimeoutMs: 5_000,
};
const POST = formatRequest("post", { method: "POST" });

async function openTrial(
  context: TestContext,
  options: Partial<RequestServerOptions> = {},
): Promise<ServerTrial> {
  const trial = new ServerTrial(options);
  context.after(() => trial.close());
  trial.server.setLimits(LIMITS);
  await trial.server.open();
  return trial;
}

test("a request that is sent after a 408 for its late head is not passed on", async (context) => {
  const trial = await openTrial(context);
  const caller = await trial.openCaller();
  await waitUntil(() => caller.text().includes("408"));
  caller.socket.write(POST);
  await waitForArrivals();
  assert.deepEqual(trial.passedOn, []);
  assert.deepEqual(listResponses(caller), ["408"]);
  assert.equal(trial.server.openRequests, 0);
});

test("a head that ends after its 408 is not passed on, nor is what follows it", async (context) => {
  const trial = await openTrial(context);
  const caller = await trial.openCaller();
  caller.socket.write(POST.slice(0, 20));
  await waitUntil(() => caller.text().includes("408"));
  caller.socket.write(POST.slice(20) + formatRequest("next"));
  await waitForArrivals();
  assert.deepEqual(trial.passedOn, []);
  assert.deepEqual(listResponses(caller), ["408"]);
});

test("a head that ends while its 408 waits behind an earlier response is answered with it", async (context) => {
  const trial = await openTrial(context);
  const caller = await trial.openCaller();
  caller.socket.write(formatRequest("first") + POST.slice(0, 20));
  await waitUntil(() => trial.passedOn.length === 1);
  // The head is late by then, and the refusal waits for the first response.
  await new Promise((resolve) => setTimeout(resolve, 1_500));
  caller.socket.write(POST.slice(20) + formatRequest("next"));
  await waitForArrivals();
  trial.answers.get("first")!();
  await waitUntil(() => caller.text().includes("408"));
  caller.socket.write(formatRequest("last", { method: "POST" }));
  await waitForArrivals();
  assert.deepEqual(trial.passedOn, ["first"]);
  assert.deepEqual(listResponses(caller), ["200", "first", "408"]);
  assert.equal(trial.server.openRequests, 0);
});

test("a body that ends after its 408 is not passed on, nor is what follows it", async (context) => {
  const trial = await openTrial(context, { bodyTimeoutMs: 100 });
  const caller = await trial.openCaller();
  const headers = "Content-Length: 4\r\n";
  caller.socket.write(
    formatRequest("post", { method: "POST", headers }) + "bo",
  );
  await waitUntil(() => caller.text().includes("408"));
  caller.socket.write("dy" + formatRequest("next"));
  await waitForArrivals();
  assert.deepEqual(trial.passedOn, []);
  assert.deepEqual(listResponses(caller), ["408"]);
});

test("nothing is passed on behind invalid bytes that wait for an earlier response", async (context) => {
  const trial = await openTrial(context);
  const caller = await trial.openCaller();
  caller.socket.write(formatRequest("first") + "nothing of HTTP\r\n\r\n");
  await waitUntil(() => trial.passedOn.length === 1);
  await waitForArrivals();
  caller.socket.write(POST);
  await waitForArrivals();
  trial.answers.get("first")!();
  await waitUntil(() => caller.text().includes("400"));
  caller.socket.write(POST);
  await waitForArrivals();
  assert.deepEqual(trial.passedOn, ["first"]);
  assert.deepEqual(listResponses(caller), ["200", "first", "400"]);
});

test("a connection that a refused body closes does not stay open once the body has ended", async (context) => {
  const trial = await openTrial(context);
  const caller = await trial.openCaller();
  const headers = "Content-Length: 2000\r\n";
  caller.socket.write(
    formatRequest("first") + formatRequest("large", { headers }),
  );
  await waitUntil(() => trial.server.openRequests === 2);
  await waitForArrivals();
  caller.socket.write(Buffer.alloc(2_000, "a"));
  caller.socket.write(formatRequest("next"));
  await waitForArrivals();
  trial.answers.get("first")!();
  await waitUntil(() => caller.socket.readableEnded);
  assert.deepEqual(trial.passedOn, ["first"]);
  assert.deepEqual(listResponses(caller), ["200", "first", "413"]);
});
