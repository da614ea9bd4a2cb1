/** Plays a trace on real instances and compares what came of it. */
import { FACTS } from "@lentilspur/proof/finding";
import type { ClusterOptions } from "../cluster/fake_cluster.ts";
import { replaySteps } from "../fuzz/cluster_fuzz.ts";
import {
  checkCluster,
  describeOutcome,
  getRequestId,
} from "../cluster/cluster_judge.ts";
import { listFaults } from "../fuzz/cluster_judgement.ts";
import type { ClusterTrial } from "../fuzz/cluster_trial.ts";
import type { Step } from "../fuzz/step.ts";
import type { Trace, TraceOutcome } from "./trace.ts";

export interface Replay {
  readonly outcomes: readonly TraceOutcome[];
  /** Stated outcomes that did not come about, in words. */
  readonly differences: readonly string[];
  /** What the judgement holds against the run. */
  readonly faults: readonly string[];
}

export async function replayTrace(
  trace: Trace,
  options: ClusterOptions = {},
): Promise<Replay> {
  const trial = await replaySteps(trace.steps, options);
  const outcomes = listOutcomes(trial);
  return {
    outcomes,
    differences: trace.outcomes.flatMap((stated) =>
      findDifference(stated, outcomes)
    ),
    faults: listFaults(trial),
  };
}

/** Runs steps and states everything that came of them. */
export async function recordTrace(
  head: { readonly name: string; readonly about: string },
  steps: readonly Step[],
): Promise<Trace> {
  const trial = await replaySteps(steps);
  return { trace: 1, ...head, steps, outcomes: listOutcomes(trial) };
}

function listOutcomes(trial: ClusterTrial): readonly TraceOutcome[] {
  const runs = trial.cluster.targets.list()
    .flatMap((target) => target.listHistory())
    .filter(({ ending }) => ending !== "lapsed");
  return [
    ...trial.cluster.sent.map((sent, index) => ({
      kind: "request" as const,
      index,
      is: describeOutcome(sent),
    })),
    ...trial.cluster.sent.map((sent, index) => ({
      kind: "runs" as const,
      index,
      are: runs.filter(({ requestId }) => requestId === getRequestId(sent))
        .length,
    })),
    ...listFacts(trial),
  ];
}

/** The log's own report comes last and repeats a fact; the first one counts. */
function listFacts(trial: ClusterTrial): readonly TraceOutcome[] {
  return checkCluster(trial.cluster).slice(0, FACTS.length)
    .map(({ fact, verdict }) => ({ kind: "fact" as const, fact, is: verdict }));
}

function findDifference(
  stated: TraceOutcome,
  outcomes: readonly TraceOutcome[],
): readonly string[] {
  const found = outcomes.find((outcome) => isSameSubject(stated, outcome));
  return JSON.stringify(found) === JSON.stringify(stated) ? [] : [
    `stated ${JSON.stringify(stated)}, found ${
      JSON.stringify(found ?? "nothing of the kind")
    }`,
  ];
}

function isSameSubject(left: TraceOutcome, right: TraceOutcome): boolean {
  switch (left.kind) {
    case "request":
    case "runs":
      return right.kind === left.kind && right.index === left.index;
    case "fact":
      return right.kind === "fact" && right.fact === left.fact;
  }
}
