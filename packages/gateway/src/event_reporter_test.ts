import assert from "node:assert/strict";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { EventReporter } from "./event_reporter.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { StructuredLogger } from "./structured_logger.ts";

const GAUGES = {
  waiting: 0,
  openRequests: 0,
  targets: 0,
  configurationVersion: 0,
  droppedLines: 0,
  quarantined: 0,
  limited: 0,
  evacuated: 0,
};
const PARTITION = { topic: "owners", part: 3 };

test("the line of an order says when it was written and how long the order took", async () => {
  // Orders of keys seemed to lie seconds before everything else that an instance
  // wrote, so that gaps between its lines, which show a process that stood still,
  // were seen where there were none: the order's own time hid the process's.
  const clock = new VirtualClock();
  const stream = new PassThrough();
  const lines = new StructuredLogger({
    clock,
    instance: "a",
    incarnation: "b",
    stream,
  });
  const report = new EventReporter(lines, new GatewayMetrics(() => GAUGES));
  await clock.advance(5_000);
  report.observeKeeper({
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
  lines.flush();
  const line = JSON.parse(String(stream.read()));
  assert.equal(line.elapsedMs, 5_000);
  assert.equal(line.tookMs, 12);
});
