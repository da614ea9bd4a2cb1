/**
 * A leaving target gets no new work after a few seconds. The log says when it
 * was declared to be leaving; each instance's own clock says how long after
 * folding that it still dispatched.
 */
import type { FactTally } from "./finding.ts";
import type { FoldProgress } from "./fold_progress.ts";
import type { OwnershipHistory } from "./ownership_history.ts";
import type { LineOf } from "./request_trail.ts";

/** The users' "a few seconds". */
export const LEAVING_LIMIT_MS = 5_000;

/** The last dispatch of each instance to each leaving target. */
export class LeavingDispatches {
  readonly #history: OwnershipHistory;
  readonly #latest = new Map<string, LineOf<"request-dispatched">>();

  constructor(history: OwnershipHistory) {
    this.#history = history;
  }

  addDispatch(line: LineOf<"request-dispatched">): void {
    const leavingOffset = this.#history.getLeavingOffset(line.target);
    if (leavingOffset === undefined || line.foldedOffset <= leavingOffset) {
      return;
    }
    const name = `${line.instance} ${line.target}`;
    const latest = this.#latest.get(name);
    if (latest === undefined || latest.elapsedMs < line.elapsedMs) {
      this.#latest.set(name, line);
    }
  }

  check(progress: FoldProgress, tally: FactTally): void {
    for (const line of this.#latest.values()) {
      const offset = this.#history.getLeavingOffset(line.target)!;
      const knownAt = progress.getFoldedAt(line.instance, offset);
      const lateMs = knownAt === undefined ? 0 : line.elapsedMs - knownAt;
      if (lateMs > LEAVING_LIMIT_MS) {
        tally.recordViolation(
          line.target,
          `${line.instance} sent it new work ${
            Math.round(lateMs)
          } ms after folding that it is leaving`,
          [{ kind: "line", line }],
        );
      }
    }
  }
}

/** Each leaving target counts as looked at where its stewards wrote lines. */
export function checkLeavingCoverage(
  history: OwnershipHistory,
  progress: FoldProgress,
  tally: FactTally,
): void {
  for (const { target, offset } of history.listLeavingTargets()) {
    const steward = history.listStewardships(target)
      .findLast(({ since, holder }) => since <= offset && holder !== null);
    const instance = steward?.holder ?? undefined;
    if (
      instance === undefined ||
      progress.getLastElapsedMs(instance) === undefined
    ) {
      tally.recordGap(
        target,
        `no lines of its steward ${instance ?? "(none known)"} are at hand`,
      );
    } else {
      tally.recordChecked();
    }
  }
}
