import assert from "node:assert/strict";
import { test } from "node:test";
import { computeRepeatPauseMs } from "./owner_repeat.ts";

const MIDDLE = { draw: () => 0.5 };

test("an owner with free places is asked again after a growing pause", () => {
  const pauses = [1, 2, 3].map((refusals) =>
    computeRepeatPauseMs({ refusals, isFull: false, serviceMs: 500 }, MIDDLE)
  );
  assert.deepEqual(pauses, [30, 60, 120]);
});

test("a full owner is asked again once, when a request may have ended there", () => {
  const pauses = [1, 2].map((refusals) =>
    computeRepeatPauseMs({ refusals, isFull: true, serviceMs: 500 }, MIDDLE)
  );
  assert.deepEqual(pauses, [500, undefined]);
});

test("requests that are refused together do not return together", () => {
  const refusal = { refusals: 1, isFull: false, serviceMs: 500 };
  const [first, last] = [0, 0.99].map((drawn) =>
    computeRepeatPauseMs(refusal, { draw: () => drawn })!
  );
  assert.ok(last! - first! > 20, `${first} to ${last} ms`);
});
