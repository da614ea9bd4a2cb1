import assert from "node:assert/strict";
import net from "node:net";
import { after, test } from "node:test";
import { request } from "undici";
import { makeErrorAnswer } from "../entry/answers.ts";
import type { CallerAnswer, CallerRequest } from "../entry/caller.ts";
import type { CallerGateway } from "./caller_handler.ts";
import { HttpEntry } from "./http_entry.ts";

const MAX_BODY_BYTES = 1_000;
const KNOWN = "Bearer known";

const entries: HttpEntry[] = [];
after(async () => {
  for (const entry of entries) {
    await entry.stop();
  }
});

/** Echoes whole bodies; a request to /held waits until it is released. */
class EchoGateway implements CallerGateway {
  readonly aborted: string[] = [];
  readonly held: (() => void)[] = [];

  async handle(
    call: CallerRequest,
    signal: AbortSignal,
  ): Promise<CallerAnswer> {
    signal.addEventListener("abort", () => this.aborted.push(call.path));
    const body = await call.body.read(MAX_BODY_BYTES);
    if (!body.ok) {
      return makeErrorAnswer(body.val, "0-1-a.1");
    }
    if (call.path === "/held") {
      await new Promise<void>((resolve) => {
        this.held.push(resolve);
        signal.addEventListener("abort", () => resolve());
      });
    }
    return { status: 200, headers: [], body: body.val };
  }
}

async function startEntry() {
  const gateway = new EchoGateway();
  const status = {
    instanceId: "i1",
    dataCentre: "Bole",
    configurationVersion: 3,
    inForceSinceMs: 12,
    foldedOffset: 9,
    leaseHeld: true,
    ready: true,
  };
  let minted = 0;
  const entry = new HttpEntry({
    instanceId: "i1",
    host: "127.0.0.1",
    port: 0,
    gateway,
    limits: { headTimeoutMs: 300, bodyTimeoutMs: 200 },
    instance: {
      getStatus: () => status,
      isKnownCaller: (authorization) => authorization === KNOWN,
      mintRequestId: () => `0-1-a.${minted++}`,
      metricsContentType: "text/plain; version=0.0.4",
      renderMetrics: () => Promise.resolve("lentilspur_ready 1\n"),
    },
  });
  entries.push(entry);
  const address = await entry.start();
  return { entry, gateway, status, address, url: `http://${address}` };
}

/** Writes bytes as they are and gives everything that came back. */
async function sendRaw(address: string, text: string): Promise<string> {
  const [host, port] = address.split(":");
  const socket = net.connect(Number(port), host);
  socket.write(text);
  const chunks: Buffer[] = [];
  for await (const chunk of socket) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

test("an answer comes back whole over a connection that stays open", async () => {
  const { url } = await startEntry();
  for (const body of ["one", "two"]) {
    const answer = await request(`${url}/x`, { method: "POST", body });
    assert.equal(await answer.body.text(), body);
    assert.notEqual(answer.headers["connection"], "close");
  }
});

test("a body over the limit is refused, declared or not", async () => {
  const { address } = await startEntry();
  const declared = await sendRaw(
    address,
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n",
  );
  assert.match(declared, /^HTTP\/1\.1 413 /);
  assert.match(declared, /lentilspur-outcome: not-run/);
  const chunk = `400\r\n${"x".repeat(1_024)}\r\n`;
  const streamed = await sendRaw(
    address,
    `POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${chunk}`,
  );
  assert.match(streamed, /^HTTP\/1\.1 413 /);
  assert.match(streamed, /connection: close/);
});

test("a body that never becomes whole is refused in time", async () => {
  // A phone loses its network halfway through a request, and the connection
  // stays open. The place it holds in the entry must come free.
  const { address } = await startEntry();
  const answer = await sendRaw(
    address,
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf",
  );
  assert.match(answer, /^HTTP\/1\.1 408 /);
  assert.match(answer, /"kind":"request-too-slow"/);
});

test("a head that is malformed or never ends is answered", async () => {
  const { address } = await startEntry();
  const malformed = await sendRaw(address, "NONSENSE\r\n\r\n");
  assert.match(malformed, /^HTTP\/1\.1 400 /);
  assert.match(malformed, /"kind":"malformed-request"/);
  const slow = await sendRaw(address, "GET /x HTTP/1.1\r\nhost:");
  assert.match(slow, /^HTTP\/1\.1 408 /);
  assert.match(slow, /lentilspur-outcome: not-run/);
});

test("a caller that goes away aborts its request", async () => {
  const { gateway, address } = await startEntry();
  const [host, port] = address.split(":");
  const socket = net.connect(Number(port), host);
  socket.write("GET /held HTTP/1.1\r\nhost: a\r\n\r\n");
  while (gateway.held.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  socket.destroy();
  while (gateway.aborted.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  assert.deepEqual(gateway.aborted, ["/held"]);
});

test("an instance tells its health, readiness, status and metrics", async () => {
  const { url, status } = await startEntry();
  const read = async (path: string) => {
    const answer = await request(`${url}${path}`);
    return { code: answer.statusCode, text: await answer.body.text() };
  };
  assert.equal((await read("/healthz")).code, 200);
  assert.equal((await read("/readyz")).code, 200);
  assert.deepEqual(JSON.parse((await read("/admin/status")).text), status);
  assert.equal((await read("/metrics")).text, "lentilspur_ready 1\n");
  status.ready = false;
  assert.equal((await read("/readyz")).code, 503);
  assert.equal((await read("/healthz")).code, 200);
});

test("request ids are minted for known callers, up to a thousand", async () => {
  const { url } = await startEntry();
  const mint = async (query: string, authorization = KNOWN) => {
    const answer = await request(`${url}/request-ids${query}`, {
      method: "POST",
      headers: { authorization },
    });
    const body = await answer.body.json() as { requestIds?: string[] };
    return { code: answer.statusCode, ids: new Set(body.requestIds) };
  };
  assert.equal((await mint("")).ids.size, 1);
  assert.equal((await mint("?count=1000")).ids.size, 1_000);
  assert.equal((await mint("?count=1001")).code, 400);
  assert.equal((await mint("", "Bearer other")).code, 401);
});

test("a stop lets requests in progress finish", async () => {
  const { entry, gateway, url } = await startEntry();
  const running = request(`${url}/held`);
  while (gateway.held.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  const stopped = entry.stop();
  await assert.rejects(
    request(`${url}/x`, { headers: { connection: "close" } }),
  );
  gateway.held.forEach((release) => release());
  const answer = await running;
  assert.equal(answer.statusCode, 200);
  await answer.body.text();
  await stopped;
});
