/**
 * Starts a stand-in for the platform's store or for a target as a process:
 * `node packages/trials/dist/standins/standin_cli.js store --port 7000`. The
 * first line that it prints is a JSON object with the address it listens on.
 */
import { appendFileSync } from "node:fs";
import { once } from "node:events";
import process from "node:process";
import { openStore } from "@lentilspur/platform/adapter";
import { TARGETS_PARTITION } from "@lentilspur/platform/declared_adapter";
import { StoreServer } from "@lentilspur/platform/standins/store_server";
import { TargetServer } from "@lentilspur/platform/standins/target_server";
import { FATAL_PARAMETER } from "../traffic/fatal_request.ts";
import { parseWorkMs } from "../traffic/slow_request.ts";
import type {
  HoldChange,
  TargetArrival,
  TargetRun,
} from "@lentilspur/ports/fake_target";
import { SystemClock } from "@lentilspur/ports/system_clock";
import {
  binary,
  command,
  flag,
  number,
  option,
  optional,
  run,
  string,
  subcommands,
} from "cmd-ts";

/**
 * Reads the machine's monotonic clock, so that times of all processes compare.
 */
class MachineClock extends SystemClock {
  override readMs(): number {
    return Number(process.hrtime.bigint()) / 1e6;
  }
}

const clock = new MachineClock();

const port = option({
  long: "port",
  type: number,
  description: "Port on 127.0.0.1; 0 picks a free one",
  defaultValue: () => 0,
});

const storeCommand = command({
  name: "store",
  description: "In-memory stand-in of the platform's store",
  args: { port },
  handler: async ({ port }) => {
    const server = new StoreServer(clock);
    printListening(await server.open(port));
    await waitForStop();
    server.close();
  },
});

const targetCommand = command({
  name: "target",
  description: "Stand-in of a target that owns keys and registers in the store",
  args: {
    port,
    id: option({
      long: "id",
      type: string,
      description: "Id of the target, unique to this process",
    }),
    service: option({
      long: "service",
      type: string,
      description: "Service that the target belongs to",
    }),
    dataCentre: option({
      long: "data-centre",
      type: string,
      description: "Data centre that the target announces",
    }),
    store: option({
      long: "store",
      type: string,
      description: "Address of the store, host:port",
    }),
    workMs: option({
      long: "work-ms",
      type: number,
      description: "Time that a request runs, in milliseconds",
    }),
    historyFile: option({
      long: "history-file",
      type: optional(string),
      description: "File that runs are appended to, one JSON object per line",
    }),
    unkeyed: flag({
      long: "unkeyed",
      description:
        "Run requests without checking that the target holds the key",
    }),
  },
  handler: async ({ port, store, historyFile, unkeyed, ...options }) => {
    const client = openStore(store, clock);
    const target = new TargetServer({
      ...options,
      clock,
      keyed: !unkeyed,
      isFatal: ({ path }) => path?.includes(FATAL_PARAMETER) === true,
      getWorkMs: ({ path }) => parseWorkMs(path ?? ""),
      // Like a crashed process, reports nothing and leaves its entry in the
      // store.
      observeCrash: () => process.exit(CRASH_EXIT_CODE),
      writeEntry: (key, value) =>
        void client.append({ partition: TARGETS_PARTITION, key, value }),
      observeArrival: (requestId) =>
        appendLine(historyFile, {
          kind: "arrived",
          target: options.id,
          service: options.service,
          requestId,
          atMs: clock.readMs(),
        }),
      observeRun: (run) => appendLine(historyFile, run),
      observeHold: (change) => appendLine(historyFile, change),
    });
    await target.open(port);
    printListening(target.address);
    await waitForStop();
    target.kill();
    // Gives the append that removes the target's entry time to finish.
    await clock.sleep(LAST_APPEND_MS);
    client.close();
  },
});

function appendLine(
  historyFile: string | undefined,
  line: TargetRun | HoldChange | TargetArrival,
): void {
  if (historyFile !== undefined) {
    appendFileSync(historyFile, `${JSON.stringify(line)}\n`);
  }
}

const LAST_APPEND_MS = 100;
const CRASH_EXIT_CODE = 70;

function printListening(address: string): void {
  process.stdout.write(`${JSON.stringify({ listening: address })}\n`);
}

async function waitForStop(): Promise<void> {
  await Promise.race([once(process, "SIGTERM"), once(process, "SIGINT")]);
}

await run(
  binary(subcommands({
    name: "standin",
    cmds: { store: storeCommand, target: targetCommand },
  })),
  process.argv,
);
process.exit(0);
