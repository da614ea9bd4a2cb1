import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { type CapacityLine, formatBytes } from "./capacity_line.ts";
import { listCapacityLines } from "./capacity_model.ts";
import { renderMeasuredPart, updateMeasuredPart } from "./capacity_page.ts";
import type { CapacitySlopes } from "./capacity_slopes.ts";
import { listChangeRates } from "./change_rates.ts";

interface CapacityFile {
  readonly slopes: CapacitySlopes;
  readonly lines: readonly CapacityLine[];
}

const ROOT = new URL("../../../../", import.meta.url);

function readRepositoryFile(path: string): string {
  return readFileSync(new URL(path, ROOT), "utf8");
}

test("the page holds what the model makes of the measured slopes", () => {
  const text = readRepositoryFile("docs/figures/capacity.json");
  const file = JSON.parse(text) as CapacityFile;
  const lines = listCapacityLines(file.slopes);
  assert.deepEqual(JSON.parse(JSON.stringify(lines)), file.lines);
  const page = readRepositoryFile("docs/CAPACITY.md");
  const rendered = renderMeasuredPart(
    lines,
    listChangeRates(file.slopes.records),
  );
  for (const row of listRows(rendered)) {
    assert.ok(listRows(page).includes(row), `the page lacks the row ${row}`);
  }
});

/** Rows of tables, whatever the formatter pads them with. */
function listRows(markdown: string): readonly string[] {
  return markdown.split("\n")
    .filter((line) => line.startsWith("|") && !line.includes("---"))
    .map((line) => line.replaceAll(/\s+/g, " "));
}

test("a page without its marks is refused", () => {
  assert.throws(() => updateMeasuredPart("# Capacity", "table"), /marks/);
});

test("bytes are shown in the unit that reads best", () => {
  assert.deepEqual([512, 3_072, 33_554_432].map(formatBytes), [
    "512 B",
    "3 KB",
    "32 MB",
  ]);
});
