/**
 * A key has at most one owner at any moment. Each dispatch and execution names
 * the tokens it was made under; the log says who held what under a token. In a
 * trial, where all histories share a clock, executions of one key on two
 * targets must not overlap either, nor return to an earlier owner.
 */
import type { Position } from "@lentilspur/outcomes/position";
import { getOffset } from "@lentilspur/outcomes/position";
import type { Evidence, TargetExecution } from "./evidence.ts";
import type { FactTally } from "./finding.ts";
import type { Holding, OwnershipHistory } from "./ownership_history.ts";
import { formatUnitName } from "./ownership_history.ts";
import type { LineOf } from "./request_trail.ts";

/** Each holding of a unit must have been given up before the next. */
export function checkUnitHoldings(
  history: OwnershipHistory,
  tally: FactTally,
): void {
  for (const name of history.listUnitNames()) {
    const holdings = history.listHoldingsByName(name);
    tally.recordChecked(holdings.length);
    for (let index = 1; index < holdings.length; index++) {
      const problem = findHandOverProblem(
        holdings[index - 1]!,
        holdings[index]!,
      );
      if (problem !== undefined) {
        tally.recordViolation(name, problem);
      }
    }
  }
}

function findHandOverProblem(
  before: Holding,
  after: Holding,
): string | undefined {
  const vanished = after.holder === null;
  if (!vanished && after.token <= before.token) {
    return `token ${after.token} follows token ${before.token} at offset ${after.since}`;
  }
  const givenUp = before.holder === null ||
    before.holder === after.holder ||
    after.causes.some((cause) =>
      cause === "move-released" || cause === "target-lost" ||
      cause === "target-left" || cause === "move-abandoned"
    );
  return givenUp
    ? undefined
    : `went from ${before.holder} to ${after.holder} at offset ${after.since} without a release or a loss`;
}

/** The tokens of a dispatch must be those in force as far as it had folded. */
export function checkDispatchTokens(
  line: LineOf<"request-dispatched">,
  history: OwnershipHistory,
  tally: FactTally,
): void {
  tally.recordChecked();
  const evidence: readonly Evidence[] = [{ kind: "line", line }];
  checkHolding(line.unitToken, {
    subject: formatUnitName(line.template, line.unit),
    holder: line.target,
    holdings: history.listUnitHoldings(line.template, line.unit),
    foldedOffset: line.foldedOffset,
    history,
    tally,
    evidence,
  });
  checkHolding(line.stewardToken, {
    subject: line.target,
    holder: line.instance,
    holdings: history.listStewardships(line.target),
    foldedOffset: line.foldedOffset,
    history,
    tally,
    evidence,
  });
}

/** The tokens of an execution must name its target. */
export function checkExecutionTokens(
  execution: TargetExecution,
  history: OwnershipHistory,
  tally: FactTally,
): void {
  tally.recordChecked();
  checkHolding(execution.unitToken, {
    subject: formatUnitName(execution.template, execution.unit),
    holder: execution.target,
    holdings: history.listUnitHoldings(execution.template, execution.unit),
    foldedOffset: undefined,
    history,
    tally,
    evidence: [{ kind: "execution", execution }],
  });
}

interface HoldingCheck {
  readonly subject: string;
  readonly holder: string;
  readonly holdings: readonly Holding[];
  readonly foldedOffset: number | undefined;
  readonly history: OwnershipHistory;
  readonly tally: FactTally;
  readonly evidence: readonly Evidence[];
}

function checkHolding(token: Position, check: HoldingCheck): void {
  const { subject, holder, holdings, history, tally, evidence } = check;
  const offset = getOffset(token);
  const { firstOffset } = history;
  if (
    firstOffset === undefined || offset < firstOffset ||
    offset >= history.nextOffset
  ) {
    tally.recordGap(
      subject,
      `the log record at offset ${offset}, which made token ${token}, is missing`,
    );
    return;
  }
  const index = holdings.findIndex((holding) => holding.token === token);
  const holding = holdings[index];
  if (holding === undefined) {
    tally.recordViolation(subject, `no token ${token} was given`, evidence);
    return;
  }
  if (holding.holder !== holder) {
    tally.recordViolation(
      subject,
      `token ${token} was given to ${holding.holder} and used by ${holder}`,
      evidence,
    );
    return;
  }
  const next = holdings[index + 1];
  if (
    next !== undefined && check.foldedOffset !== undefined &&
    check.foldedOffset > next.since
  ) {
    tally.recordViolation(
      subject,
      `token ${token} was used by ${holder} after it had folded its end at offset ${next.since}`,
      evidence,
    );
  }
}

/** Executions on the one clock of a trial; audits have none. */
export function checkExecutionOrder(
  executions: readonly TargetExecution[],
  tally: FactTally,
): void {
  const byKey = new Map<string, TargetExecution[]>();
  for (const execution of executions) {
    if (execution.startedAtMs !== undefined) {
      const name = formatUnitName(execution.template, execution.key);
      byKey.set(name, [...(byKey.get(name) ?? []), execution]);
    }
  }
  for (const [name, ofKey] of byKey) {
    checkOrderOfKey(name, ofKey, tally);
  }
}

function checkOrderOfKey(
  name: string,
  executions: readonly TargetExecution[],
  tally: FactTally,
): void {
  tally.recordChecked();
  const sorted = executions.toSorted((left, right) =>
    left.startedAtMs! - right.startedAtMs!
  );
  let latest: TargetExecution | undefined;
  for (const execution of sorted) {
    if (latest !== undefined && latest.target !== execution.target) {
      const overlaps = execution.startedAtMs! < (latest.endedAtMs ?? Infinity);
      const returns = latest.unit === execution.unit &&
        execution.unitToken < latest.unitToken;
      if (overlaps || returns) {
        tally.recordViolation(
          name,
          overlaps
            ? `ran on ${latest.target} and ${execution.target} at one time`
            : `ran on ${execution.target} again after ${latest.target} had owned it`,
          [
            { kind: "execution", execution: latest },
            { kind: "execution", execution },
          ],
        );
      }
    }
    latest = chooseLater(latest, execution);
  }
}

/** The one that goes on longer is the one a later execution may overlap. */
function chooseLater(
  latest: TargetExecution | undefined,
  execution: TargetExecution,
): TargetExecution {
  if (latest === undefined || latest.target !== execution.target) {
    return execution;
  }
  return (latest.endedAtMs ?? Infinity) > (execution.endedAtMs ?? Infinity)
    ? latest
    : execution;
}
