/**
 * Starts one stand-in as a process:
 * `node packages/standins/dist/cli.js log --port 7000`. The first line it
 * prints is JSON and says where it listens.
 */
import process from "node:process";
import { SystemClock } from "@lentilspur/ports/system_clock";
import {
  command,
  flag,
  number,
  option,
  optional,
  run,
  string,
  subcommands,
} from "cmd-ts";
import { request } from "undici";
import { InstanceListServer } from "./instance_list_server.ts";
import { LogServer } from "./log_server.ts";
import { TargetServer } from "./target_server.ts";

interface Standin {
  start(port: number): Promise<string>;
  stop(): Promise<void>;
}

const clock = new SystemClock();

const port = option({
  long: "port",
  type: number,
  description: "Port on 127.0.0.1; 0 picks a free one",
  defaultValue: () => 0,
});

const logCommand = command({
  name: "log",
  description: "The platform's append-only log",
  args: {
    port,
    retainRecords: option({
      long: "retain-records",
      type: optional(number),
      description: "Records that a stream keeps; all if left out",
    }),
    retainMs: option({
      long: "retain-ms",
      type: optional(number),
      description: "How long a stream keeps a record; for ever if left out",
    }),
  },
  handler: ({ port, retainRecords, retainMs }) =>
    runStandin(
      new LogServer({
        clock,
        ...(retainRecords === undefined ? {} : { retainRecords }),
        ...(retainMs === undefined ? {} : { retainMs }),
      }),
      port,
    ),
});

const instanceListCommand = command({
  name: "instance-list",
  description: "The platform's list of live and leaving instances",
  args: {
    port,
    lagMs: option({
      long: "lag-ms",
      type: number,
      description: "How late it shows a change",
      defaultValue: () => 0,
    }),
  },
  handler: ({ port, lagMs }) =>
    runStandin(new InstanceListServer({ clock, lagMs }), port),
});

const targetCommand = command({
  name: "target",
  description: "A target that owns keys and runs requests",
  args: {
    port,
    id: option({ long: "id", type: string }),
    template: option({ long: "template", type: string }),
    dataCentre: option({ long: "data-centre", type: string }),
    checksGrants: flag({
      long: "checks-grants",
      description: "Runs only what comes under a live grant",
    }),
    places: option({
      long: "places",
      type: number,
      defaultValue: () => 2,
    }),
    runMs: option({
      long: "run-ms",
      type: number,
      description: "How long a request runs unless its query says runMs",
      defaultValue: () => 2,
    }),
    coldMs: option({
      long: "cold-ms",
      type: number,
      description: "How long after its start requests run five times as long",
      defaultValue: () => 0,
    }),
    reportLagMs: option({
      long: "report-lag-ms",
      type: number,
      defaultValue: () => 0,
    }),
    historyFile: option({
      long: "history-file",
      type: optional(string),
      description: "Each start and end of a run is appended here",
    }),
    instanceListUrl: option({
      long: "instance-list-url",
      type: optional(string),
      description: "Enters itself in this list",
    }),
  },
  handler: async ({ port, historyFile, instanceListUrl, ...options }) => {
    const target = new TargetServer({
      ...options,
      clock,
      ...(historyFile === undefined ? {} : { historyFile }),
    });
    await runStandin(target, port, async (address) => {
      if (instanceListUrl !== undefined) {
        const { id, template, dataCentre, checksGrants } = options;
        await sendJson(`${instanceListUrl}/instances`, {
          kind: "target",
          id,
          address,
          template,
          dataCentre,
          checksGrants,
        });
      }
    });
  },
});

/** Runs until SIGTERM or SIGINT. */
async function runStandin(
  standin: Standin,
  port: number,
  announce: (address: string) => Promise<void> = () => Promise.resolve(),
): Promise<void> {
  const address = await standin.start(port);
  await announce(address);
  process.stdout.write(`${JSON.stringify({ listening: address })}\n`);
  const stop = (): void => {
    void standin.stop().then(() => process.exit(0));
  };
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
}

async function sendJson(url: string, body: unknown): Promise<void> {
  const answer = await request(url, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
  await answer.body.dump();
  if (answer.statusCode !== 200) {
    throw new Error(`"${url}" answered with status ${answer.statusCode}`);
  }
}

await run(
  subcommands({
    name: "lentilspur-standins",
    cmds: {
      "log": logCommand,
      "instance-list": instanceListCommand,
      "target": targetCommand,
    },
  }),
  process.argv.slice(2),
);
