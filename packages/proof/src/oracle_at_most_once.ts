/**
 * A non-idempotent request runs at most once. The targets' histories decide
 * where they are at hand; otherwise the stewards' lines do, and a dispatch
 * counts as run unless its settlement proves the opposite.
 */
import type { FactTally } from "./finding.ts";
import { mayHaveRun, type RequestTrail } from "./request_trail.ts";

export function checkAtMostOnce(trail: RequestTrail, tally: FactTally): void {
  if (trail.idempotent) {
    return;
  }
  tally.recordChecked();
  if (trail.idempotent === undefined) {
    if (trail.executions.length > 1) {
      tally.recordGap(
        trail.name,
        `ran ${trail.executions.length} times, and no line tells whether it is idempotent`,
      );
    }
    return;
  }
  if (trail.executions.length > 1) {
    tally.recordViolation(
      trail.name,
      `ran ${trail.executions.length} times on ${
        trail.executions.map(({ target }) => target).join(", ")
      }`,
      trail.toEvidence(),
    );
    return;
  }
  const dispatches = trail.listDispatches().filter(mayHaveRun);
  if (dispatches.length < 2) {
    return;
  }
  const unsettled = dispatches.find(({ settled }) => settled === undefined);
  if (unsettled === undefined) {
    tally.recordViolation(
      trail.name,
      `was dispatched ${dispatches.length} times without proof that an earlier one did not run`,
      trail.toEvidence(),
    );
    return;
  }
  tally.recordGap(
    trail.name,
    `no line of ${unsettled.dispatched.instance} settles its dispatch at sequence ${unsettled.dispatched.sequence}`,
  );
}
