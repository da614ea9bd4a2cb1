import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import process from "node:process";
import { test } from "node:test";
import type { CallerRequest, FinalResponse } from "./caller_request.ts";
import { RequestServer } from "./request_server.ts";
import { createServerOptions } from "./server_trial.ts";

type Answer = (isSelfDelimited?: boolean) => void;

/** A caller's connection to a server; the test answers what is passed on. */
interface Trial {
  readonly server: RequestServer;
  readonly caller: Socket;
  readonly requests: CallerRequest[];
  /** Answers by request id; the body begins with the id. */
  readonly answers: Map<string, Answer>;
  readonly received: () => string;
}

async function openTrial(bodyBytes = 10): Promise<Trial> {
  const requests: CallerRequest[] = [];
  const answers = new Map<string, Answer>();
  const server = new RequestServer(createServerOptions((request) => {
    requests.push(request);
    return new Promise<FinalResponse>((resolve) => {
      const body = Buffer.alloc(bodyBytes, " ");
      body.write(`<${request.requestId}>`);
      answers.set(request.requestId, (isSelfDelimited = true) =>
        resolve({
          kind: "answered",
          status: 200,
          headers: [],
          body,
          isSelfDelimited,
        }));
    });
  }));
  await server.open();
  const caller = connect(server.port, "127.0.0.1");
  const received: Buffer[] = [];
  caller.on("data", (bytes) => received.push(bytes));
  caller.on("error", () => undefined);
  await once(caller, "connect");
  const text = () => Buffer.concat(received).toString();
  return { server, caller, requests, answers, received: text };
}

function formatRequests(
  ids: readonly number[],
  { method = "GET", headers = "" } = {},
): string {
  return ids.map((id) =>
    `${method} / HTTP/1.1\r\nHost: a\r\nx-id: ${id}\r\n${headers}\r\n`
  ).join("");
}

function listNumbers(count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}

/** Ids of answered requests, in the order of the answers. */
function listAnswered({ received }: Trial): readonly number[] {
  return [...received().matchAll(/<(\d+)>/g)].map(([, id]) => Number(id));
}

function listPassedOn({ requests }: Trial): readonly number[] {
  return requests.map(({ requestId }) => Number(requestId));
}

/** Waits until what is on its way over loopback has arrived. */
async function waitForTurns(turns = 50): Promise<void> {
  for (let turn = 0; turn < turns; turn++) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await waitForTurns(1);
  }
}

function close({ server, caller }: Trial): void {
  caller.destroy();
  void server.close();
}

test("responses keep the order of the requests", async () => {
  const trial = await openTrial();
  trial.caller.write(formatRequests([1, 2, 3]));
  await waitUntil(() => trial.requests.length === 3);
  [3, 2, 1].forEach((id) => trial.answers.get(String(id))!());
  await waitUntil(() => listAnswered(trial).length === 3);
  assert.deepEqual(listAnswered(trial), [1, 2, 3]);
  close(trial);
});

test("requests that were passed on before a stop are all answered", async () => {
  // The first response after the stop closed the connection of three others.
  const trial = await openTrial();
  trial.caller.write(formatRequests([1, 2, 3, 4]));
  await waitUntil(() => trial.requests.length === 4);
  trial.server.drain();
  trial.caller.write(formatRequests([5, 6]));
  await waitForTurns();
  const ended = once(trial.caller, "close");
  listNumbers(4).forEach((id) => trial.answers.get(String(id))!());
  await ended;
  assert.deepEqual(listAnswered(trial), [1, 2, 3, 4]);
  assert.deepEqual(listPassedOn(trial), [1, 2, 3, 4]);
  assert.equal(trial.received().match(/connection: close/gi)?.length, 1);
  close(trial);
});

test("requests behind the first one after a stop are not passed on", async () => {
  const trial = await openTrial();
  trial.server.drain();
  trial.caller.write(formatRequests([1, 2, 3, 4]));
  await waitUntil(() => trial.requests.length > 0);
  await waitForTurns();
  const ended = once(trial.caller, "close");
  trial.answers.get("1")!();
  await ended;
  assert.deepEqual(listPassedOn(trial), [1]);
  assert.deepEqual(listAnswered(trial), [1]);
  assert.equal(trial.server.openRequests, 0);
  close(trial);
});

test("a response that ends with its connection cuts off none behind it", async () => {
  const trial = await openTrial();
  trial.caller.write(formatRequests([1, 2]));
  await waitUntil(() => trial.requests.length === 2);
  trial.answers.get("1")!(false);
  trial.answers.get("2")!();
  await waitUntil(() => listAnswered(trial).includes(2));
  assert.match(trial.received(), /^HTTP\/1.1 502/);
  assert.deepEqual(listAnswered(trial), [2]);
  trial.caller.write(formatRequests([3]));
  await waitUntil(() => trial.requests.length === 3);
  const ended = once(trial.caller, "close");
  trial.answers.get("3")!(false);
  await ended;
  assert.deepEqual(listAnswered(trial), [2, 3], "alone, it is delivered");
  close(trial);
});

test("nothing is passed on behind a request that asks to close", async () => {
  const trial = await openTrial();
  trial.caller.write(
    formatRequests([1], { headers: "Connection: close\r\n" }) +
      formatRequests([2]),
  );
  await waitUntil(() => trial.requests.length > 0);
  await waitForTurns();
  const ended = once(trial.caller, "close");
  trial.answers.get("1")!();
  await ended;
  assert.deepEqual(listPassedOn(trial), [1]);
  close(trial);
});

test("a request that may run once only is not passed on behind another", async () => {
  // If the connection breaks, its caller sends it again as not read.
  const trial = await openTrial();
  trial.caller.write(
    formatRequests([1]) + formatRequests([2], { method: "POST" }) +
      formatRequests([3]),
  );
  await waitUntil(() => trial.requests.length > 0);
  await waitForTurns();
  assert.deepEqual(listPassedOn(trial), [1]);
  trial.answers.get("1")!();
  await waitUntil(() => trial.requests.length === 3);
  assert.deepEqual(listPassedOn(trial), [1, 2, 3]);
  close(trial);
});

test("of 400 requests on one connection, some dozens run at once", async () => {
  const warnings: Error[] = [];
  const addWarning = (warning: Error) => warnings.push(warning);
  process.on("warning", addWarning);
  const trial = await openTrial();
  trial.caller.write(formatRequests(listNumbers(400)));
  let mostAtOnce = 0;
  for (let id = 1; id <= 400; id++) {
    await waitUntil(() => trial.answers.has(String(id)));
    mostAtOnce = Math.max(mostAtOnce, trial.requests.length - id + 1);
    trial.answers.get(String(id))!();
  }
  await waitUntil(() => listAnswered(trial).length === 400);
  assert.deepEqual(listAnswered(trial), listNumbers(400));
  assert.ok(mostAtOnce <= 32, `${mostAtOnce} at once`);
  assert.equal(trial.server.openRequests, 0);
  process.off("warning", addWarning);
  assert.deepEqual(warnings, []);
  close(trial);
});

test("a connection is read no further while too many requests are held", async () => {
  const trial = await openTrial();
  const padding = `x-padding: ${"a".repeat(4_000)}\r\n`;
  trial.caller.write(formatRequests(listNumbers(4_000), { headers: padding }));
  await waitUntil(() => trial.requests.length === 32);
  await waitForTurns();
  // A read of the socket has at most 64 KiB, some 16 of these requests.
  const { openRequests } = trial.server;
  assert.ok(openRequests < 200, `${openRequests} requests were read`);
  close(trial);
});

test("a caller that leaves cancels all of its requests", async () => {
  for (const leave of ["end", "resetAndDestroy"] as const) {
    const trial = await openTrial();
    trial.caller.write(formatRequests(listNumbers(40)));
    await waitUntil(() => trial.requests.length === 32);
    trial.caller[leave]();
    await waitUntil(() => trial.requests.every(({ signal }) => signal.aborted));
    assert.equal(trial.requests.length, 32);
    assert.equal(trial.server.openRequests, 0);
    close(trial);
  }
});

test("a caller that leaves is noticed while large responses wait for an earlier one", async () => {
  // Node stops reading a connection on which too many responses wait.
  const trial = await openTrial(100_000);
  trial.caller.write(formatRequests([1, 2]));
  await waitUntil(() => trial.requests.length === 2);
  trial.answers.get("2")!();
  await waitForTurns();
  trial.caller.write(formatRequests([3]));
  await waitUntil(() => trial.requests.length === 3);
  trial.caller.resetAndDestroy();
  await waitUntil(() => trial.requests.every(({ signal }) => signal.aborted));
  assert.equal(trial.server.openRequests, 0);
  close(trial);
});

test("invalid bytes behind a request do not answer it", async () => {
  // The answer 400 or 408 would tell the caller that its request has not run.
  const trial = await openTrial();
  trial.caller.write(formatRequests([1, 2]) + "nothing of HTTP\r\n\r\n");
  await waitUntil(() => trial.requests.length === 2);
  await waitForTurns();
  const ended = once(trial.caller, "close");
  trial.answers.get("2")!();
  trial.answers.get("1")!();
  await ended;
  assert.deepEqual(listAnswered(trial), [1, 2]);
  const statuses = trial.received().match(/HTTP\/1.1 (\d+)/g);
  assert.deepEqual(statuses, [
    "HTTP/1.1 200",
    "HTTP/1.1 200",
    "HTTP/1.1 400",
  ]);
  close(trial);
});

test("a refusal of new requests cuts off none that was passed on", async () => {
  const trial = await openTrial();
  trial.caller.write(formatRequests([1, 2]));
  await waitUntil(() => trial.requests.length === 2);
  trial.server.drain();
  trial.server.refuse();
  const ended = once(trial.caller, "close");
  trial.answers.get("1")!();
  await waitUntil(() => listAnswered(trial).length === 1);
  trial.server.refuse();
  trial.answers.get("2")!();
  await ended;
  assert.deepEqual(listAnswered(trial), [1, 2]);
  close(trial);
});
