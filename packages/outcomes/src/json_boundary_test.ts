import assert from "node:assert/strict";
import { test } from "node:test";
import {
  decodeJson,
  describeValue,
  isListOf,
  isName,
  isPort,
  isWhole,
  MAX_NESTING,
} from "./json_boundary.ts";

const LIMITS = { maxLength: 200_000 };

function formatNested(levels: number): string {
  return `${"[".repeat(levels)}${"]".repeat(levels)}`;
}

test("deep nesting, numbers that are too large and fields that change prototypes are refused", () => {
  assert.ok(decodeJson(formatNested(MAX_NESTING), LIMITS).ok);
  for (
    const text of [
      formatNested(MAX_NESTING + 1),
      formatNested(100_000),
      "[".repeat(100_000),
      "1e400",
      '{"a":[-1e999]}',
      '{"a":{"__proto__":{"b":1}}}',
      "{",
      "",
      `"${"a".repeat(LIMITS.maxLength)}"`,
      `{"${"a".repeat(1_000)}`,
    ]
  ) {
    const decoded = decodeJson(text, LIMITS);
    assert.ok(!decoded.ok, text.slice(0, 40));
    assert.ok(decoded.val.length < 200);
  }
});

test("the description of any value is short", () => {
  const values = [
    "a".repeat(100_000),
    JSON.parse(formatNested(50_000)),
    1e308,
    null,
    undefined,
    {},
    "\u0000".repeat(1_000),
  ];
  for (const value of values) {
    assert.ok(describeValue(value).length < 700);
  }
  assert.equal(describeValue("a"), '"a"');
});

test("checks accept only what can be used", () => {
  assert.deepEqual(
    [1, 65_535, 0, 70_000, 1.5, -1, NaN, "80", null].map(isPort),
    [true, true, false, false, false, false, false, false, false],
  );
  assert.ok(!isWhole(2 ** 53, { max: Infinity }));
  assert.ok(!isName("") && !isName("a".repeat(256)) && isName("a"));
  assert.ok(!isListOf(["a", 1], isName, 2) && !isListOf(["a"], isName, 0));
});
