import assert from "node:assert/strict";
import { test } from "node:test";
import { parseLines } from "./log_line.ts";
import { listLosses, mergeReasons } from "./losses.ts";

let sequence = 0;

function formatLine(
  second: string,
  event: string,
  fields: Readonly<Record<string, unknown>>,
): string {
  sequence++;
  const time = `2026-01-02T03:04:${second}Z`;
  const head = { time, elapsedMs: sequence, instance: "one", sequence, event };
  return JSON.stringify({ ...head, incarnation: "x", ...fields });
}

function formatSend(second: string, targetId: string): string {
  return formatLine(second, "send", {
    requestId: `r${sequence}`,
    attempt: 1,
    service: "files",
    targetId,
    idempotent: true,
    outcome: "answered",
    waitedMs: 0,
    tookMs: 5,
  });
}

test("counts losses by window and by reason, regardless of the key", () => {
  const { lines } = parseLines([[
    formatSend("00.100", "a"),
    formatSend("00.200", "a"),
    formatSend("00.300", "a"),
    formatSend("00.400", "b"),
    formatLine("00.500", "final", { requestId: "r", outcome: "answered" }),
    formatLine("02.100", "final", {
      requestId: "s",
      outcome: "owner-changing",
      message: "Key 17 is moving",
    }),
    formatLine("02.200", "final", {
      requestId: "t",
      outcome: "owner-changing",
      message: "Key 4711 is moving",
    }),
    formatLine("02.300", "final", { requestId: "u", outcome: "overloaded" }),
    formatLine("04.300", "configuration", { version: 3 }),
  ].join("\n")]);
  const windows = listLosses(lines, 2_000);
  assert.deepEqual(windows.map(({ ended, answered }) => [ended, answered]), [
    [1, 1],
    [3, 0],
  ]);
  assert.equal(windows[0]!.busiestToMean, 1.5);
  assert.deepEqual(mergeReasons(windows), [
    { text: "owner-changing (Key … is moving)", count: 2 },
    { text: "overloaded", count: 1 },
  ]);
});
