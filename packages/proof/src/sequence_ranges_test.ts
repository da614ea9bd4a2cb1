import assert from "node:assert/strict";
import { test } from "node:test";
import { SequenceRanges } from "./sequence_ranges.ts";

test("numbers in any order join into ranges and show their gaps", () => {
  const ranges = new SequenceRanges();
  const added = [5, 1, 2, 9, 3, 2, 5].map((number) => ranges.add(number));
  assert.deepEqual(added, [true, true, true, true, true, false, false]);
  assert.deepEqual(ranges.listGaps(0), [
    { first: 0, last: 0 },
    { first: 4, last: 4 },
    { first: 6, last: 8 },
  ]);
});
