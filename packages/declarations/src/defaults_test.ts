import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { ACCOUNT_DEFAULTS, TEMPLATE_DEFAULTS } from "./defaults.ts";

/** Lists leaf values by path, in the notation of the operators' page. */
function listLeaves(
  values: Readonly<Record<string, unknown>>,
  pathPrefix: string,
): readonly string[] {
  return Object.entries(values).flatMap(([name, value]) =>
    typeof value === "object" && value !== null
      ? listLeaves({ ...value }, `${pathPrefix}${name}.`)
      : [`\`${pathPrefix}${name}\` \`${value}\``]
  );
}

test("the operators' page shows the current defaults", () => {
  const page = readFileSync(
    new URL("../../../docs/operating/publish.md", import.meta.url),
    "utf8",
  );
  const shown = page.split("\n")
    .filter((line) => /^\| `/.test(line) && !line.includes("required"))
    .map((line) => line.split("|"))
    .map(([, field = "", , value = ""]) => `${field.trim()} ${value.trim()}`);
  assert.deepEqual(shown, [
    ...listLeaves(TEMPLATE_DEFAULTS, ""),
    ...listLeaves(ACCOUNT_DEFAULTS, "templates[]."),
  ]);
});
