/**
 * The one oracle of audit, fuzz, replay and soak. It is given the history of
 * the log first, then evidence in any order and with duplicates, and says of
 * each fact whether it is proven, violated or cannot be shown.
 */
import { getOffset } from "@lentilspur/outcomes/position";
import type { DecisionLine } from "./decision_line.ts";
import type { Evidence, TargetExecution } from "./evidence.ts";
import { FactTally } from "./finding.ts";
import type { Fact, FactReport } from "./finding.ts";
import { FACTS } from "./finding.ts";
import { FoldProgress } from "./fold_progress.ts";
import { TokenUses } from "./oracle_assignment.ts";
import { checkAtMostOnce } from "./oracle_at_most_once.ts";
import { ConfigurationLines } from "./oracle_configuration.ts";
import {
  checkLeavingCoverage,
  LeavingDispatches,
} from "./oracle_leaving_target.ts";
import { checkNotRunIsTrue } from "./oracle_not_run.ts";
import { checkPlannedStop } from "./oracle_planned_stop.ts";
import {
  checkDispatchTokens,
  checkExecutionOrder,
  checkExecutionTokens,
  checkUnitHoldings,
} from "./oracle_sole_owner.ts";
import { checkWholeAnswer } from "./oracle_whole_answer.ts";
import type { OwnershipHistory } from "./ownership_history.ts";
import {
  formatRequestName,
  isRequestLine,
  RequestTrail,
} from "./request_trail.ts";
import { SequenceRanges } from "./sequence_ranges.ts";

export interface OracleOptions {
  readonly history: OwnershipHistory;
  /** Log records that the history lacks, described for the report. */
  readonly missingRecords?: readonly string[];
  /** Requests to follow; all of them unless stated. */
  mayFollow?(requestName: string): boolean;
}

/** A gap in the lines leaves these facts open; the log alone tells the others. */
const FACTS_FROM_LINES: readonly Fact[] = [
  "sole-owner",
  "not-run-is-true",
  "at-most-once",
  "leaving-target-spared",
  "planned-stop-cuts-nothing",
];

/** The first sequence number of an instance. */
const FIRST_SEQUENCE = 0;

export class Oracle {
  readonly #history: OwnershipHistory;
  readonly #options: OracleOptions;
  readonly #tallies: ReadonlyMap<Fact, FactTally>;
  readonly #trails = new Map<string, RequestTrail>();
  readonly #sequences = new Map<string, SequenceRanges>();
  readonly #progress: FoldProgress;
  readonly #leaving: LeavingDispatches;
  readonly #configuration = new ConfigurationLines();
  readonly #tokenUses = new TokenUses();
  readonly #executions: TargetExecution[] = [];

  constructor(options: OracleOptions) {
    this.#options = options;
    this.#history = options.history;
    this.#tallies = new Map(FACTS.map((fact) => [fact, new FactTally(fact)]));
    this.#leaving = new LeavingDispatches(this.#history);
    this.#progress = new FoldProgress([
      ...this.#history.listLeavingTargets().map(({ offset }) => offset),
      ...this.#history.listVersions().map(({ position }) =>
        getOffset(position)
      ),
    ]);
  }

  observe(evidence: Evidence): void {
    switch (evidence.kind) {
      case "line":
        this.#observeLine(evidence.line);
        return;
      case "execution":
        this.#executions.push(evidence.execution);
        checkExecutionTokens(
          evidence.execution,
          this.#history,
          this.#getTally("sole-owner"),
        );
        this.#getTrail(evidence.execution)?.addExecution(evidence.execution);
        return;
      case "answer":
        this.#getTrail(evidence.answer)?.addAnswer(evidence.answer);
        return;
    }
  }

  report(): readonly FactReport[] {
    const hasGap = (instance: string): boolean =>
      (this.#sequences.get(instance)?.listGaps(FIRST_SEQUENCE).length ?? 1) > 0;
    const context = {
      history: this.#history,
      progress: this.#progress,
      hasGap,
    };
    checkUnitHoldings(this.#history, this.#getTally("sole-owner"));
    checkUnitHoldings(this.#history, this.#getTally("assignment-survives"));
    checkExecutionOrder(this.#executions, this.#getTally("sole-owner"));
    for (const trail of this.#trails.values()) {
      checkAtMostOnce(trail, this.#getTally("at-most-once"));
      checkNotRunIsTrue(trail, this.#getTally("not-run-is-true"));
      checkWholeAnswer(trail, this.#getTally("whole-answer"));
      checkPlannedStop(
        trail,
        context,
        this.#getTally("planned-stop-cuts-nothing"),
      );
    }
    const leaving = this.#getTally("leaving-target-spared");
    this.#leaving.check(this.#progress, leaving);
    checkLeavingCoverage(this.#history, this.#progress, leaving);
    this.#configuration.check(
      context,
      this.#getTally("configuration-in-force"),
    );
    this.#recordGaps();
    return FACTS.map((fact) => this.#getTally(fact).report());
  }

  #observeLine(line: DecisionLine): void {
    const ranges = this.#sequences.get(line.instance) ?? new SequenceRanges();
    this.#sequences.set(line.instance, ranges);
    if (!ranges.add(line.sequence)) {
      return;
    }
    this.#progress.addLine(line);
    if (isRequestLine(line)) {
      this.#getTrail(line)?.addLine(line);
    }
    if (line.decision === "request-dispatched") {
      checkDispatchTokens(line, this.#history, this.#getTally("sole-owner"));
      this.#tokenUses.addDispatch(line, this.#getTally("assignment-survives"));
      this.#leaving.addDispatch(line);
    } else if (line.decision === "configuration-in-force") {
      this.#configuration.addLine(line);
    }
  }

  #getTrail(subject: {
    readonly requestId: string;
    readonly clientAccount: string;
  }): RequestTrail | undefined {
    const name = formatRequestName(subject);
    if (this.#options.mayFollow?.(name) === false) {
      return undefined;
    }
    const trail = this.#trails.get(name) ?? new RequestTrail(subject);
    this.#trails.set(name, trail);
    return trail;
  }

  #recordGaps(): void {
    for (const [instance, ranges] of this.#sequences) {
      for (const { first, last } of ranges.listGaps(FIRST_SEQUENCE)) {
        FACTS_FROM_LINES.forEach((fact) =>
          this.#getTally(fact).recordGap(
            instance,
            `its lines ${first} to ${last} are missing`,
          )
        );
      }
    }
    for (const { instance } of this.#history.listMembers()) {
      if (!this.#sequences.has(instance)) {
        FACTS_FROM_LINES.forEach((fact) =>
          this.#getTally(fact).recordGap(instance, "all its lines are missing")
        );
      }
    }
    for (const missing of this.#options.missingRecords ?? []) {
      FACTS.forEach((fact) => this.#getTally(fact).recordGap("log", missing));
    }
  }

  #getTally(fact: Fact): FactTally {
    return this.#tallies.get(fact)!;
  }
}
