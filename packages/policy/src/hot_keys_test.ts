import assert from "node:assert/strict";
import { test } from "node:test";
import { HotKeyDetector } from "./hot_keys.ts";

// A thousand cold keys a second pass by, far more than entries are kept, and
// one key takes half a place. It must be found among them within seconds, and
// the cold ones must not be taken for hot.
test("a hot key is found among more keys than are kept, and forgotten", () => {
  const detector = new HotKeyDetector();
  for (let ms = 0; ms < 5_000; ms++) {
    detector.observe("case-files", `cold-${ms}`, `member-${ms % 40}`, 0.5, ms);
    if (ms % 10 === 0) {
      detector.observe("case-files", "case-9", "nile", 5, ms);
    }
  }
  const hot = detector.listHot(5_000).keys;
  assert.deepEqual(hot.map(({ key }) => key), ["case-9"]);
  assert.ok(Math.abs(hot[0]!.places - 0.5) < 0.1, String(hot[0]!.places));
  assert.deepEqual(detector.listHot(15_000).keys, []);
});

test("a caller that fills a target's places is listed", () => {
  const detector = new HotKeyDetector();
  for (let ms = 0; ms < 5_000; ms += 5) {
    detector.observe("case-files", `case-${ms}`, "nile", 9, ms);
    detector.observe("case-files", `case-${ms}`, "omo", 1, ms);
  }
  const callers = detector.listHot(5_000).callers;
  assert.deepEqual(callers.map(({ clientAccount }) => clientAccount), ["nile"]);
});
