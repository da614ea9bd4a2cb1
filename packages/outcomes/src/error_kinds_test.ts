import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { ERROR_RESPONSES } from "./error_kinds.ts";

test("docs/errors.md shows the same table as the code", () => {
  const page = readFileSync(
    new URL("../../../docs/errors.md", import.meta.url),
    "utf8",
  );
  const shown = page.split("\n")
    .filter((line) => /^\| `/.test(line))
    .map((line) => line.replace(/ +/g, " "));
  const wanted = Object.entries(ERROR_RESPONSES).map(([kind, response]) => {
    const mayResend = response.mayResend ? "yes" : "no";
    return `| \`${kind}\` | ${response.status} | ${response.outcome} | ${mayResend} | ${response.advice} |`;
  });
  assert.deepEqual(shown, wanted);
});
