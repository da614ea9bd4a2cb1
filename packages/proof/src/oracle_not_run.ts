/**
 * When a caller is told "not run", the request did not run. A resend under the
 * same id may run later, so an execution is charged to the sends that were not
 * told "not run"; one that can be charged to none is a violation.
 */
import type { CallerAnswer, TargetExecution } from "./evidence.ts";
import type { FactTally } from "./finding.ts";
import type { RequestTrail } from "./request_trail.ts";

export function checkNotRunIsTrue(trail: RequestTrail, tally: FactTally): void {
  const outcomes = trail.listOutcomes();
  if (!outcomes.includes("not-run")) {
    return;
  }
  tally.recordChecked();
  if (hasUnchargedExecution(trail)) {
    tally.recordViolation(
      trail.name,
      'ran although its caller was told "not-run"',
      trail.toEvidence(),
    );
    return;
  }
  if (outcomes.some((outcome) => outcome !== "not-run")) {
    return;
  }
  checkDispatches(trail, tally);
}

function hasUnchargedExecution(trail: RequestTrail): boolean {
  if (trail.answers.length === 0) {
    const sends = trail.listSends();
    return trail.executions.length > 0 &&
      sends.every(({ answered }) => answered?.outcome === "not-run");
  }
  return trail.executions.some((execution) =>
    !trail.answers.some((answer) => mayHaveCaused(answer, execution))
  );
}

function mayHaveCaused(
  answer: CallerAnswer,
  execution: TargetExecution,
): boolean {
  if (answer.outcome === "not-run") {
    return false;
  }
  const { sentAtMs } = answer;
  const { startedAtMs } = execution;
  return sentAtMs === undefined || startedAtMs === undefined ||
    sentAtMs <= startedAtMs;
}

/** Every send was told "not-run": each dispatch needs its own proof of it. */
function checkDispatches(trail: RequestTrail, tally: FactTally): void {
  for (const { dispatched, settled } of trail.listDispatches()) {
    if (settled === undefined) {
      tally.recordGap(
        trail.name,
        `no line of ${dispatched.instance} settles its dispatch at sequence ${dispatched.sequence}`,
      );
    } else if (settled.outcome !== "not-run") {
      tally.recordViolation(
        trail.name,
        `was answered "not-run" although its dispatch to ${dispatched.target} settled as "${settled.outcome}"`,
        trail.toEvidence(),
      );
    }
  }
}
