/**
 * `npm start`: runs lentilspur with stand-ins of the platform on loopback. With
 * `--once`, runs both deployments with failures, prints a report and exits.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { command, flag, oneOf, option, optional, run } from "cmd-ts";
import { ABAY, type Deployment, SAUTIBA } from "../traffic/deployment.ts";
import { TrafficRandom } from "../traffic/traffic_random.ts";
import { runTrial, Trial, type TrialOptions } from "./trial.ts";
import {
  hasPassed,
  renderReport,
  renderSummary,
  type TrialReport,
} from "./trial_report.ts";

const SEED = 1;

const startCommand = command({
  name: "start",
  description: "Run lentilspur on embedded stand-ins",
  args: {
    once: flag({
      long: "once",
      description:
        "Run both deployments with failures, print a report, and exit",
    }),
    only: option({
      long: "only",
      type: optional(oneOf(["abay", "sautiba"])),
      description: "With --once, run only this deployment",
    }),
  },
  handler: ({ once, only }) => once ? runAll(only) : runInteractive(),
});

async function runAll(only: string | undefined): Promise<void> {
  const reports = [];
  const deployments = [ABAY, SAUTIBA].filter(({ name }) =>
    name === (only ?? name)
  );
  for (const deployment of deployments) {
    reports.push(await runDeployment(deployment));
  }
  print(renderSummary(reports));
  process.exitCode = hasPassed(reports) ? 0 : 1;
}

/**
 * Runs one deployment; keeps its logs and histories only if the trial failed.
 */
async function runDeployment(deployment: Deployment): Promise<TrialReport> {
  const options = makeTrialOptions(deployment);
  const report = await runTrial(options);
  print(renderReport(report));
  if (hasPassed([report])) {
    rmSync(options.directory, { recursive: true });
  } else {
    print(`  logs and histories are in ${options.directory}`);
  }
  return report;
}

/** Runs until SIGINT or SIGTERM. */
async function runInteractive(): Promise<void> {
  const options = makeTrialOptions(ABAY);
  const trial = new Trial(options);
  const stopped = new Promise<void>((resolve) => {
    process.once("SIGINT", resolve);
    process.once("SIGTERM", resolve);
  });
  try {
    await trial.start();
    const [address] = trial.balancer.listReadyAddresses();
    const [account] = ABAY.accounts;
    print(`Simulated callers are already sending. Send a request yourself:

  curl -i -H 'authorization: Bearer ${account!.credential}' \\
    http://${address}/case-files/case-9

Change playground/abay, publish it, and see it in force:

  node packages/cli/bin/lentilspur.js publish playground/abay \\
    --expect-version 1 --operator me --store ${trial.processes.storeAddress}
  node packages/cli/bin/lentilspur.js status --store ${trial.processes.storeAddress}

Kill an instance with kill -9 and one of these process ids; callers are still served:

${
      trial.processes.instances
        .map(({ name, address, child }) =>
          `  ${child.processId}  ${name} on http://${address}`
        ).join("\n")
    }

Logs are in ${options.directory}. Press Ctrl-C to stop.`);
    await stopped;
    await trial.traffic.stop();
  } finally {
    await trial.close();
  }
}

function makeTrialOptions(deployment: Deployment): TrialOptions {
  const prefix = join(tmpdir(), `lentilspur-${deployment.name}-`);
  return {
    deployment,
    directory: mkdtempSync(prefix),
    print,
    random: new TrafficRandom(SEED),
  };
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

await run(startCommand, process.argv.slice(2));
