/**
 * Writes the measured part of docs/CAPACITY.md between its two marks; what
 * stands outside them is written by people.
 */
import type { CapacityLine } from "./capacity_line.ts";
import {
  formatBytes,
  formatMicroseconds,
  formatNumber,
} from "./capacity_line.ts";
import type { ChangeRate } from "./change_rates.ts";

export const BEGIN_MARK =
  "<!-- begin: written by npm run measure -- capacity -->";
export const END_MARK = "<!-- end: written by npm run measure -- capacity -->";

/** Replaces what stands between the marks. */
export function updateMeasuredPart(page: string, part: string): string {
  const begin = page.indexOf(BEGIN_MARK);
  const end = page.indexOf(END_MARK);
  if (begin < 0 || end < begin) {
    throw new Error(
      `The page lacks the marks "${BEGIN_MARK}" and "${END_MARK}", put them back`,
    );
  }
  return `${page.slice(0, begin + BEGIN_MARK.length)}\n\n${part}\n\n${
    page.slice(end)
  }`;
}

export function renderMeasuredPart(
  lines: readonly CapacityLine[],
  rates: readonly ChangeRate[],
): string {
  return [
    "### Roles",
    "",
    renderLines(lines),
    "",
    "### Changes on the log",
    "",
    renderRates(rates),
  ].join("\n");
}

function renderLines(lines: readonly CapacityLine[]): string {
  const rows = lines.map((line) => [
    line.role,
    line.what,
    line.mechanism,
    line.slope,
    line.figure,
    line.limit,
    line.verdict === "not met" ? "**not met**" : line.verdict,
    line.breaksAt === "" ? "-" : line.breaksAt,
  ]);
  return renderTable([
    "Role",
    "What",
    "Mechanism today",
    "Slope measured",
    "At 12,000 nodes",
    "Limit",
    "Verdict",
    "Limit reached at",
  ], rows);
}

function renderRates(rates: readonly ChangeRate[]): string {
  const rows = rates.map(({ name, slope, perSecond, grounds }) => [
    name,
    formatNumber(slope.records),
    formatBytes(slope.bytes),
    formatMicroseconds(slope.foldMicroseconds),
    formatNumber(perSecond),
    grounds,
  ]);
  return renderTable([
    "Change",
    "Records",
    "Bytes",
    "Time to fold",
    "A second at 12,000 nodes",
    "Grounds",
  ], rows);
}

function renderTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const formatRow = (cells: readonly string[]): string =>
    `| ${cells.join(" | ")} |`;
  return [
    formatRow(head),
    formatRow(head.map(() => "---")),
    ...rows.map(formatRow),
  ].join("\n");
}
