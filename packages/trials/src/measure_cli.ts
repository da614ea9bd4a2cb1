/**
 * `npm run measure -- <name> [--json] [--svg]`. A new measurement is one
 * module and one line in `MEASUREMENTS`.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import { binary, command, flag, run, subcommands } from "cmd-ts";
import { CAPACITY_MEASUREMENT } from "./capacity/capacity_measurement.ts";
import { ACCOUNT_LIMITS_MEASUREMENT } from "./load/account_sharing.ts";
import { LOAD_MEASUREMENT } from "./load/load_measurement.ts";
import { OWNERSHIP_MEASUREMENT } from "./ownership/ownership_measurement.ts";
import { PATH_MEASUREMENT } from "./path/path_measurement.ts";
import type { MeasuredFigure, Measurement } from "./measurement.ts";
import { formatReport, formatReportAsJson } from "./report_printer.ts";

const MEASUREMENTS: readonly Measurement[] = [
  LOAD_MEASUREMENT,
  ACCOUNT_LIMITS_MEASUREMENT,
  CAPACITY_MEASUREMENT,
  PATH_MEASUREMENT,
  OWNERSHIP_MEASUREMENT,
];

const FIGURES_DIRECTORY = "docs/figures";

await run(binary(buildCommand()), process.argv);

function buildCommand(): ReturnType<typeof subcommands> {
  const cmds = Object.fromEntries(
    MEASUREMENTS.map((each) => [each.name, buildMeasurementCommand(each)]),
  );
  return subcommands({ name: "measure", cmds });
}

function buildMeasurementCommand(measurement: Measurement) {
  return command({
    name: measurement.name,
    description: measurement.about,
    args: {
      json: flag({ long: "json", description: "print JSON" }),
      svg: flag({ long: "svg", description: "write docs/figures/*.svg" }),
    },
    handler: async ({ json, svg }) => {
      const report = await measurement.measure();
      console.log(json ? formatReportAsJson(report) : formatReport(report));
      if (svg) {
        writeFigures(report.figures);
      }
    },
  });
}

function writeFigures(figures: readonly MeasuredFigure[]): void {
  mkdirSync(FIGURES_DIRECTORY, { recursive: true });
  for (const { fileName, svg } of figures) {
    writeFileSync(`${FIGURES_DIRECTORY}/${fileName}`, svg);
  }
}
