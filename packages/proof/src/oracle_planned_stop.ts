/**
 * A planned stop cuts off no request in progress: an instance that left by
 * itself has settled each dispatch and answered each send before its end.
 */
import type { FactTally } from "./finding.ts";
import type { OwnershipHistory } from "./ownership_history.ts";
import type { RequestTrail } from "./request_trail.ts";

export interface PlannedStopContext {
  readonly history: OwnershipHistory;
  /** True where lines of this instance are known to be missing. */
  hasGap(instance: string): boolean;
}

export function checkPlannedStop(
  trail: RequestTrail,
  context: PlannedStopContext,
  tally: FactTally,
): void {
  for (const { dispatched, settled } of trail.listDispatches()) {
    if (hasLeft(dispatched.instance, context)) {
      recordEnd(trail, dispatched.instance, settled !== undefined, {
        context,
        tally,
        what: "left without settling a dispatch",
      });
    }
  }
  for (const { instance, answered } of trail.listSends()) {
    if (hasLeft(instance, context)) {
      recordEnd(trail, instance, answered !== undefined, {
        context,
        tally,
        what: "left without answering",
      });
    }
  }
  for (const answer of trail.answers) {
    const { instance, outcome } = answer;
    if (instance !== undefined && hasLeft(instance, context)) {
      recordEnd(trail, instance, outcome !== "none", {
        context,
        tally,
        what: "left while a caller still waited",
      });
    }
  }
}

function hasLeft(instance: string, context: PlannedStopContext): boolean {
  return context.history.getMember(instance)?.removal === "left";
}

function recordEnd(
  trail: RequestTrail,
  instance: string,
  finished: boolean,
  options: {
    readonly context: PlannedStopContext;
    readonly tally: FactTally;
    readonly what: string;
  },
): void {
  const { context, tally, what } = options;
  tally.recordChecked();
  if (finished) {
    return;
  }
  if (context.hasGap(instance)) {
    tally.recordGap(trail.name, `lines of ${instance} are missing`);
    return;
  }
  tally.recordViolation(
    trail.name,
    `${instance} ${what}`,
    trail.toEvidence(),
  );
}
