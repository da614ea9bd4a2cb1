/** `lentilspur stewards`: each target, who sends to it, and what it owns. */
import type { StateView, TargetState } from "@lentilspur/state/view";
import { command } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import { logOptions, runWithLog } from "../log_options.ts";

export function createStewardsCommand(context: CommandContext) {
  return command({
    name: "stewards",
    description:
      "List the targets of each template: their state, the instance that alone sends to each, its fencing token, and how many units each owns",
    args: logOptions,
    handler: (options): Promise<ExitCode> =>
      runWithLog(context, options, ({ view }) => {
        printStewards(context, view);
        return Promise.resolve(EXIT_CODES.done);
      }),
  });
}

function printStewards(context: CommandContext, view: StateView): void {
  for (const template of view.listTemplates()) {
    const targets = view.listTargetsOfTemplate(template.name);
    const units = view.listUnits(template.name);
    const unowned = units.filter(({ owner }) => owner === null).length;
    context.print(
      `${template.name}: ${targets.length} targets, ${units.length} units, ${unowned} without an owner`,
    );
    targets.forEach((state) =>
      context.print(`  ${describeTarget(view, state)}`)
    );
  }
}

function describeTarget(view: StateView, state: TargetState): string {
  const { target, steward, stewardToken } = state;
  const units = view.listUnitsOfTarget(target.id).length;
  const moving = view.listUnitsMovingTo(target.id).length;
  const checks = target.checksGrants ? "checks grants" : "does not check";
  return [
    `${target.id} (${target.dataCentre}, ${target.address}, ${checks})`,
    state.leaving ? "leaving" : "in service",
    steward === null
      ? "NO STEWARD"
      : `steward ${steward} with token ${stewardToken}`,
    `${units} units, ${moving} on their way to it`,
  ].join(", ");
}
