/**
 * `lentilspur status`: shows on which instances the published version is in
 * force.
 */
import { array, command, flag, multioption, string } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import {
  collectInstanceReports,
  describeInstanceReport,
  type InstanceReport,
  isGone,
  isInForce,
  type QueriedInstance,
  toQueriedInstance,
} from "../in_force.ts";
import { optionalStoreOption, runWithStore } from "../store_options.ts";
import { describeStoreFailure, type StoreSession } from "../store_session.ts";

/** About two screens; with more instances, only those behind are listed. */
const MAX_LISTED_INSTANCES = 48;

interface StatusRequest {
  readonly instances: readonly QueriedInstance[];
  /**
   * The version that should be in force; by default the highest one reported.
   */
  readonly version?: number;
  /** Who published the version, where the store still has the note. */
  readonly operator?: string | undefined;
  readonly all: boolean;
}

export function createStatusCommand(context: CommandContext) {
  return command({
    name: "status",
    description:
      "Ask every member instance which version it has in force and since when",
    examples: [
      {
        description: "While the store is down, pass the instances' addresses",
        command:
          "lentilspur status --instance 10.0.3.7:8082 --instance 10.0.4.7:8082",
      },
    ],
    args: {
      all: flag({
        long: "all",
        description:
          `Also list the instances that have the version, where there are more than ${MAX_LISTED_INSTANCES} instances`,
      }),
      instances: multioption({
        long: "instance",
        type: array(string),
        description:
          "Query this status address without reading the store; may be repeated",
      }),
      store: optionalStoreOption,
    },
    handler: async ({ all, instances, store }): Promise<ExitCode> => {
      if (instances.length > 0) {
        const named = instances.map(toNamedInstance);
        return await printStatus(context, { instances: named, all });
      }
      if (store === undefined) {
        context.printError("Pass --store, or --instance for each instance");
        return EXIT_CODES.usage;
      }
      return await runWithStore(
        context,
        store,
        (session) => printMembers(context, session, all),
      );
    },
  });
}

async function printMembers(
  context: CommandContext,
  session: StoreSession,
  all: boolean,
): Promise<ExitCode> {
  const members = await session.listMembers();
  if (!members.ok) {
    context.printError(describeStoreFailure(members.val));
    return EXIT_CODES.unavailable;
  }
  const { version, notes } = session.publication;
  return await printStatus(context, {
    instances: members.val.map(toQueriedInstance),
    version,
    operator: notes.at(-1)?.operator,
    all,
  });
}

function toNamedInstance(address: string): QueriedInstance {
  return { id: "instance", dataCentre: "unknown", address };
}

async function printStatus(
  context: CommandContext,
  { instances, all, version: published, operator }: StatusRequest,
): Promise<ExitCode> {
  const found = await collectInstanceReports(instances, context.fetchStatus);
  const reports = found.filter((report) => !isGone(report));
  const version = published ?? findHighestVersion(reports);
  const behind = reports.filter((report) => !isInForce(report, version));
  const shown = all || reports.length <= MAX_LISTED_INSTANCES
    ? reports
    : behind;
  const by = operator === undefined ? "" : `, published by ${operator}`;
  context.print(`version ${version}${by}`);
  shown.forEach((report) =>
    context.print(describeInstanceReport(report, version))
  );
  if (shown.length < reports.length) {
    context.print(
      `Not shown: ${
        reports.length - shown.length
      } instances that have the version; add --all to list them`,
    );
  }
  const inForce = reports.length - behind.length;
  context.print(`in force on ${inForce} of ${reports.length} instances`);
  if (reports.length === 0) {
    context.printError(
      "No instance is a member; start one with lentilspur serve",
    );
  }
  return inForce === reports.length && reports.length > 0
    ? EXIT_CODES.done
    : EXIT_CODES.lagging;
}

function findHighestVersion(reports: readonly InstanceReport[]): number {
  return Math.max(
    0,
    ...reports.map(({ status }) =>
      status.ok ? status.val.configurationVersion : 0
    ),
  );
}
