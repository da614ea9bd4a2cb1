/** `npm run measure -- load`: runs one measurement and prints a table. */
import process from "node:process";
import { binary, command, run, subcommands } from "cmd-ts";
import { measureLoad } from "./load_measurement.ts";
import { formatTable, type MeasuredTable } from "./measured_table.ts";
import { measureOwnership } from "./ownership_measurement.ts";
import { measureProcesses } from "./process_measurement.ts";

type Measure = () =>
  | MeasuredTable
  | Promise<MeasuredTable | readonly MeasuredTable[]>;

const MEASUREMENTS = {
  load: ["How callers are served, by load, in a simulation", measureLoad],
  ownership: [
    "How long some key has no holder after a loss, what owners serve",
    measureOwnership,
  ],
  processes: [
    "Resources that instances use at rest and per request",
    measureProcesses,
  ],
} as const satisfies Readonly<Record<string, readonly [string, Measure]>>;

const cmds = Object.fromEntries(
  Object.entries(MEASUREMENTS).map(([name, [description, measure]]) => [
    name,
    command({
      name,
      description,
      args: {},
      handler: async () => {
        const tables = [await measure()].flat();
        process.stdout.write(`${tables.map(formatTable).join("\n\n")}\n`);
      },
    }),
  ]),
);

await run(binary(subcommands({ name: "measure", cmds })), process.argv);
