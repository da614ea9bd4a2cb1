/**
 * `lentilspur declare-lost`: an operator vouches that a process has ended.
 * It is the way out where nothing in the system can prove it: a target that
 * does not check grants and cannot be reached, or an instance whose guardians
 * are all gone.
 */
import { OPERATOR_PREFIX } from "@lentilspur/state/apply_membership";
import type { Entry, Verdict } from "@lentilspur/state/entries";
import { command, flag, option, optional, string } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import {
  createDurationOption,
  logOptions,
  runWithLog,
} from "../log_options.ts";
import type { LogSession } from "../log_session.ts";
import { operatorOption } from "../operator_option.ts";

const DEFAULT_PATIENCE_MS = 10_000;

interface LossArguments {
  readonly instance: string | undefined;
  readonly target: string | undefined;
  readonly operator: string;
  readonly processHasEnded: boolean;
  readonly patience: number;
}

export function createDeclareLostCommand(context: CommandContext) {
  return command({
    name: "declare-lost",
    description:
      "Vouch that the process of an instance or target has ended, so that others may take its work over. If it still runs, a key can have two owners: stop the machine first",
    examples: [
      {
        description: "After the machine of target ledger-3 was switched off",
        command:
          "lentilspur declare-lost --target ledger-3 --process-has-ended --operator neema",
      },
    ],
    args: {
      instance: option({
        long: "instance",
        type: optional(string),
        description: "Id of the lost instance, as lentilspur status shows it",
      }),
      target: option({
        long: "target",
        type: optional(string),
        description: "Id of the lost target, as lentilspur stewards shows it",
      }),
      processHasEnded: flag({
        long: "process-has-ended",
        description: "States that the process has ended; required",
      }),
      operator: operatorOption,
      patience: createDurationOption(
        "patience",
        "How long to go on while the log does not answer",
        DEFAULT_PATIENCE_MS,
      ),
      ...logOptions,
    },
    handler: async (
      { logUrl, logStream, checkpointStream, ...args },
    ): Promise<ExitCode> => {
      const fault = findUsageFault(args);
      if (fault !== undefined) {
        context.printError(fault);
        return EXIT_CODES.usage;
      }
      const options = { logUrl, logStream, checkpointStream };
      return await runWithLog(
        context,
        options,
        (session) => publishLoss(context, session, args),
      );
    },
  });
}

function findUsageFault(args: LossArguments): string | undefined {
  if ((args.instance === undefined) === (args.target === undefined)) {
    return "Name either --instance or --target";
  }
  return args.processHasEnded
    ? undefined
    : "Make sure that the process has ended, then add --process-has-ended";
}

async function publishLoss(
  context: CommandContext,
  session: LogSession,
  args: LossArguments,
): Promise<ExitCode> {
  const entry = createLossEntry(session, args);
  const name = args.instance ?? args.target ?? "";
  if (entry === undefined) {
    context.printError(
      `${
        JSON.stringify(name)
      } is not known now; lentilspur stewards lists who is`,
    );
    return EXIT_CODES.refused;
  }
  const envelope = {
    id: `loss/${context.mintId()}`,
    author: `${OPERATOR_PREFIX}${args.operator}`,
    entries: [entry],
  };
  const outcome = await session.appendEnvelope(envelope, args.patience);
  switch (outcome.kind) {
    case "not-appended":
      context.printError(`Nothing was declared: ${outcome.message}; try again`);
      return EXIT_CODES.unavailable;
    case "unknown":
      context.printError(
        `UNKNOWN whether it was accepted: ${outcome.message}; run the same command again, a second declaration changes nothing`,
      );
      return EXIT_CODES.unknown;
    case "decided":
      return reportVerdict(context, name, outcome.found.verdicts[0]);
  }
}

/** Undefined where the named one is unknown, perhaps lost already. */
function createLossEntry(
  { view }: LogSession,
  { instance, target, operator }: LossArguments,
): Entry | undefined {
  const evidence = { kind: "operator", operator } as const;
  if (instance !== undefined) {
    // Its targets become vacant, and any member may then take them.
    return view.getMember(instance) === undefined
      ? undefined
      : { kind: "instance-lost", instance, evidence, stewardships: [] };
  }
  const state = target === undefined ? undefined : view.getTarget(target);
  return state === undefined ? undefined : {
    kind: "target-lost",
    target: state.target.id,
    expectedStewardToken: state.stewardToken,
    evidence,
    reassigned: [],
  };
}

function reportVerdict(
  context: CommandContext,
  name: string,
  verdict: Verdict | undefined,
): ExitCode {
  if (verdict?.kind === "accepted") {
    context.print(`${name} is declared lost; others take its work over`);
    return EXIT_CODES.done;
  }
  const reason = verdict?.reason ?? "unreadable";
  context.printError(
    `Nothing changed: rejected as ${
      JSON.stringify(reason)
    }, since the state moved on meanwhile; look at lentilspur stewards and decide again`,
  );
  return EXIT_CODES.refused;
}
