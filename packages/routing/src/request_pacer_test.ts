import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { countMaxInWindow } from "@lentilspur/ports/window_count";
import { RequestPacer } from "./request_pacer.ts";

const WINDOW_MS = 4_000;

test("a request whose permit comes too late is refused with the time until that permit", () => {
  const pacer = new RequestPacer();
  assert.deepEqual(pacer.reserve(2, 0, 0), { kind: "granted", waitMs: 0 });
  assert.deepEqual(pacer.reserve(2, 0, 0), { kind: "granted", waitMs: 0 });
  assert.deepEqual(pacer.reserve(2, 400, 0), {
    kind: "refused",
    retryAfterMs: 500,
  });
  assert.deepEqual(pacer.reserve(2, 500, 0), { kind: "granted", waitMs: 500 });
});

test("a rate of zero still admits a request every ten seconds", () => {
  const pacer = new RequestPacer();
  pacer.reserve(0, 0, 0);
  assert.equal(pacer.reserve(0, 0, 11_000).kind, "granted");
});

test("no window gets more than the rate plus a burst of half a second", () => {
  const reservations = fc.array(
    fc.record({
      gapMs: fc.integer({ min: 0, max: 300 }),
      maxWaitMs: fc.integer({ min: 0, max: 1_000 }),
    }),
    { maxLength: 200 },
  );
  const rate = fc.double({ min: 0.5, max: 50, noNaN: true });
  fc.assert(
    fc.property(reservations, rate, (list, perSecond) => {
      const pacer = new RequestPacer();
      const starts: number[] = [];
      let nowMs = 0;
      for (const { gapMs, maxWaitMs } of list) {
        nowMs += gapMs;
        const decision = pacer.reserve(perSecond, maxWaitMs, nowMs);
        if (decision.kind === "granted") {
          starts.push(nowMs + decision.waitMs);
        }
      }
      const most = countMaxInWindow(starts, WINDOW_MS);
      assert.ok(most <= perSecond * (WINDOW_MS + 500) / 1_000 + 1);
    }),
    { seed: 28, numRuns: 300 },
  );
});
