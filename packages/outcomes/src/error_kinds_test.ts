import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { ERROR_RESPONSES } from "./error_kinds.ts";

test("the page of errors shows the same table as the code", () => {
  const page = readFileSync(
    new URL("../../../docs/errors.md", import.meta.url),
    "utf8",
  );
  const shown = page.split("\n")
    .filter((line) => /^\| `/.test(line))
    .map((line) => line.replace(/ +/g, " "));
  const wanted = Object.entries(ERROR_RESPONSES).map(([kind, answer]) => {
    const mayResend = answer.mayResend ? "yes" : "no";
    return `| \`${kind}\` | ${answer.status} | ${answer.outcome} | ${mayResend} | ${answer.advice} |`;
  });
  assert.deepEqual(shown, wanted);
});
