/**
 * `npm run measure -- capacity`: measures the slopes, writes them to
 * docs/figures/capacity.json, and rewrites the measured part of the page.
 */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { cpus } from "node:os";
import process from "node:process";
import type { MeasuredReport, Measurement } from "../measurement.ts";
import { type CapacityLine, formatNumber } from "./capacity_line.ts";
import { listCapacityLines } from "./capacity_model.ts";
import { renderMeasuredPart, updateMeasuredPart } from "./capacity_page.ts";
import {
  type CapacitySlopes,
  measureCapacitySlopes,
} from "./capacity_slopes.ts";
import { listChangeRates } from "./change_rates.ts";
import { ASSUMED, LETTER, SHARDS, TARGETS } from "./letter_size.ts";

const FIGURES_DIRECTORY = "docs/figures";
const FIGURES_FILE = `${FIGURES_DIRECTORY}/capacity.json`;
const PAGE_FILE = "docs/CAPACITY.md";

export const CAPACITY_MEASUREMENT: Measurement = {
  name: "capacity",
  about:
    "what each role costs at the letter's size, from slopes measured here; rewrites docs/figures/capacity.json and docs/CAPACITY.md",
  measure: measureCapacity,
};

async function measureCapacity(): Promise<MeasuredReport> {
  const slopes = await measureCapacitySlopes();
  const lines = listCapacityLines(slopes);
  writeFiles(slopes, lines);
  return {
    tables: [{
      title: "Capacity at the letter's size",
      columns: ["what", "figure", "limit", "verdict", "limit reached at"],
      rows: lines.map((line) => [
        `${line.role}: ${line.what}`,
        line.figure,
        line.limit,
        line.verdict,
        line.breaksAt,
      ]),
    }],
    figures: [],
  };
}

function writeFiles(
  slopes: CapacitySlopes,
  lines: readonly CapacityLine[],
): void {
  mkdirSync(FIGURES_DIRECTORY, { recursive: true });
  const file = {
    machine: {
      processor: cpus()[0]?.model ?? "unknown",
      node: process.version,
    },
    letter: LETTER,
    assumed: { ...ASSUMED, targets: TARGETS, shards: SHARDS },
    slopes,
    lines,
  };
  writeFileSync(FIGURES_FILE, `${JSON.stringify(file, null, 2)}\n`);
  const part = [
    `Measured with Node.js ${process.version} on one core of "${
      cpus()[0]?.model ?? "unknown"
    }"; ${formatNumber(TARGETS)} targets and ${
      formatNumber(SHARDS)
    } shards assumed as said above.`,
    "",
    renderMeasuredPart(lines, listChangeRates(slopes.records)),
  ].join("\n");
  const page = readFileSync(PAGE_FILE, "utf8");
  writeFileSync(PAGE_FILE, updateMeasuredPart(page, part));
}
