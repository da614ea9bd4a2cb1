import assert from "node:assert/strict";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { EventReporter } from "./event_reporter.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { RequestReporter } from "./requests/request_reporter.ts";
import { StructuredLogger } from "./structured_logger.ts";

const GAUGES = {
  waiting: 0,
  openRequests: 0,
  openRetries: 0,
  heldRequests: 0,
  readAheadBytes: 0,
  callerMemoryBytes: 0,
  targets: 0,
  configurationVersion: 0,
  droppedLines: 0,
  quarantined: 0,
  limited: 0,
  lostPaths: 0,
  evacuated: 0,
};
const REQUEST = {
  requestId: "1",
  deadlineMs: undefined,
  key: undefined,
  credential: undefined,
  method: "GET",
  host: "a",
  path: "/",
  headers: [],
  body: new Uint8Array(0),
  arrivedAtMs: 0,
  signal: new AbortController().signal,
};
const PARTITION = { topic: "owners", part: 3 };

test("the log line of a key order has its time of writing and the order's duration", async () => {
  // The duration of an order replaced the `elapsedMs` of its line. Orders then
  // seemed to be written seconds too early, and the lines showed gaps as if the
  // process had been suspended.
  const clock = new VirtualClock();
  const stream = new PassThrough();
  const logger = new StructuredLogger({
    clock,
    instance: "a",
    incarnation: "b",
    stream,
  });
  const reporter = new EventReporter(logger, new GatewayMetrics(() => GAUGES));
  await clock.advance(5_000);
  reporter.observeKeeper({
    kind: "keeper",
    partition: PARTITION,
    event: {
      kind: "order",
      service: "files",
      order: "grant",
      targetId: "file-1",
      from: 0,
      to: 9,
      token: 2,
      outcome: "done",
      tookMs: 12,
    },
  });
  logger.flush();
  const line = JSON.parse(String(stream.read()));
  assert.equal(line.elapsedMs, 5_000);
  assert.equal(line.tookMs, 12);
});

test("responses that may belong to another order or hop are counted apart", async () => {
  const metrics = new GatewayMetrics(() => GAUGES);
  const logger = new StructuredLogger({
    clock: new VirtualClock(),
    instance: "a",
    incarnation: "b",
    stream: new PassThrough(),
  });
  const reporter = new EventReporter(logger, metrics);
  const order = {
    kind: "order",
    service: "files",
    order: "release",
    targetId: "file-1",
    from: 0,
    to: 9,
    token: 2,
    outcome: "unanswered",
    message: "not proved",
    tookMs: 12,
  } as const;
  for (const event of [order, { ...order, isForeign: true as const }]) {
    reporter.observeKeeper({ kind: "keeper", partition: PARTITION, event });
  }
  reporter.observeRequest({
    kind: "forward",
    requestId: "1",
    peer: "b",
    route: "a",
    service: "files",
    idempotent: false,
    remainingMs: 1,
    outcome: "lost",
    cause: "garbled",
    tookMs: 1,
  });
  const text = await metrics.render();
  assert.match(text, /key_orders_total\{order="release",outcome="foreign"\} 1/);
  assert.match(
    text,
    /key_orders_total\{order="release",outcome="unanswered"\} 1/,
  );
  assert.match(text, /invalid_responses_total\{service="files"\} 1/);
});

test("a response that ended with its target's connection is told from the others", async () => {
  const stream = new PassThrough();
  const metrics = new GatewayMetrics(() => GAUGES);
  const logger = new StructuredLogger({
    clock: new VirtualClock(),
    instance: "a",
    incarnation: "b",
    stream,
  });
  const reporter = new EventReporter(logger, metrics);
  const requestReporter = new RequestReporter(
    new VirtualClock(),
    (event) => reporter.observeRequest(event),
  );
  for (const isSelfDelimited of [true, false, false]) {
    requestReporter.reportFinal(REQUEST, undefined, {
      kind: "answered",
      status: 200,
      headers: [],
      body: new Uint8Array(0),
      isSelfDelimited,
    });
  }
  logger.flush();
  const lines = String(stream.read()).trim().split("\n");
  assert.deepEqual(
    lines.map((line) => JSON.parse(line).isCloseDelimited),
    [undefined, true, true],
  );
  assert.match(
    await metrics.render(),
    /lentilspur_close_delimited_responses_total\{service=""\} 2/,
  );
});

test("responses that are not valid are counted apart from lost ones", async () => {
  const metrics = new GatewayMetrics(() => GAUGES);
  const logger = new StructuredLogger({
    clock: new VirtualClock(),
    instance: "a",
    incarnation: "b",
    stream: new PassThrough(),
  });
  const reporter = new EventReporter(logger, metrics);
  for (const cause of ["garbled", "cut", "garbled"]) {
    reporter.observeRequest({
      kind: "send",
      requestId: "1",
      attempt: 1,
      route: "a",
      service: "files",
      targetId: "file-1",
      idempotent: true,
      configurationVersion: 1,
      occupancy: 0,
      waitedMs: 0,
      remainingMs: 1,
      outcome: "unknown",
      cause,
      tookMs: 1,
    });
  }
  assert.match(
    await metrics.render(),
    /lentilspur_invalid_responses_total\{service="files"\} 2/,
  );
});

const REPEATED_SEND = {
  kind: "send",
  requestId: "1",
  attempt: 1,
  route: "a",
  service: "deposits",
  targetId: "deposit-1",
  idempotent: false,
  configurationVersion: 1,
  occupancy: 0,
  waitedMs: 0,
  remainingMs: 1,
  outcome: "not-run",
  cause: "full",
  proof: "refusal-with-id",
  trace: { connection: 3, localPort: 40_000, position: 2, writtenBytes: 310 },
  tookMs: 1,
} as const;

test("a flood of other lines hides no send of a request that is sent again and runs at most once", async () => {
  const stream = new PassThrough();
  const metrics = new GatewayMetrics(() => GAUGES);
  const logger = new StructuredLogger({
    clock: new VirtualClock(),
    instance: "a",
    incarnation: "b",
    stream,
  });
  const reporter = new EventReporter(logger, metrics);
  for (let index = 0; index < 1_000; index++) {
    reporter.reportFault("another line");
    reporter.observeRequest({ ...REPEATED_SEND, idempotent: true });
  }
  reporter.observeRequest(REPEATED_SEND);
  const { proof: _proof, ...answered } = REPEATED_SEND;
  reporter.observeRequest({
    ...answered,
    attempt: 2,
    outcome: "answered",
    status: 200,
  });
  logger.flush();
  const lines = String(stream.read()).trim().split("\n")
    .map((line) => JSON.parse(line))
    .filter(({ idempotent }) => idempotent === false);
  assert.deepEqual(
    lines.map(({ proof, trace }) => [proof, trace.connection]),
    [["refusal-with-id", 3], [undefined, 3]],
  );
  assert.match(
    await metrics.render(),
    /not_run_sends_total\{service="deposits",idempotent="false",proof="refusal-with-id"\} 1/,
  );
});

test("a record that is unreadable again and again is counted each time and logged once", async () => {
  const stream = new PassThrough();
  const metrics = new GatewayMetrics(() => GAUGES);
  const logger = new StructuredLogger({
    clock: new VirtualClock(),
    instance: "a",
    incarnation: "b",
    stream,
  });
  const reporter = new EventReporter(logger, metrics);
  for (let index = 0; index < 1_000; index++) {
    reporter.reportFault({ record: "member", key: "m", why: "odd" });
    reporter.observeCatalogue({
      kind: "target-ignored",
      targetId: "t",
      why: "odd",
      isUnreadable: true,
    });
  }
  for (let index = 0; index < 1_000; index++) {
    reporter.reportFault({ record: "datagram", key: "d", why: `odd ${index}` });
  }
  reporter.reportFault("another line");
  logger.flush();
  const lines = String(stream.read()).trim().split("\n")
    .map((line) => JSON.parse(line) as Readonly<Record<string, unknown>>);
  const ofEvent = (name: string) => lines.filter(({ event }) => event === name);
  const keys = ofEvent("record-ignored").map(({ key }) => key);
  assert.equal(keys.filter((key) => key === "m").length, 1);
  assert.equal(keys.filter((key) => key === "t").length, 1);
  assert.ok(keys.length <= 10);
  assert.equal(ofEvent("fault").length, 1);
  const rendered = await metrics.render();
  for (const record of ["member", "target", "datagram"]) {
    assert.ok(
      rendered.includes(
        `lentilspur_unreadable_records_total{record="${record}"} 1000`,
      ),
    );
  }
});
