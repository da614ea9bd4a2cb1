/**
 * Puts everything that a cluster in memory has seen before the oracle: the
 * log, the decision lines, the targets' histories and the callers' answers.
 */
import { createHash } from "node:crypto";
import type { Outcome } from "@lentilspur/outcomes/error_kinds";
import { type CallerAnswer, toExecution } from "@lentilspur/proof/evidence";
import type { FactReport } from "@lentilspur/proof/finding";
import { LogFolding } from "@lentilspur/proof/log_folding";
import { Oracle } from "@lentilspur/proof/oracle";
import {
  type FakeCluster,
  findHeader,
  type SentRequest,
  STREAM,
  TEMPLATE_NAME,
} from "./fake_cluster.ts";

export function checkCluster(cluster: FakeCluster): readonly FactReport[] {
  const folding = new LogFolding();
  for (const record of cluster.log.listRecords(STREAM)) {
    folding.addRecord(record);
  }
  const oracle = new Oracle({ history: folding.history });
  for (const line of cluster.lines) {
    oracle.observe({ kind: "line", line });
  }
  for (const target of cluster.targets.list()) {
    for (const run of target.listHistory()) {
      const execution = toExecution(run, {
        hasCommonClock: true,
        idempotent: run.method === "GET",
      });
      oracle.observe({ kind: "execution", execution });
    }
  }
  for (const sent of cluster.sent) {
    const answer = describeAnswer(sent);
    if (answer !== undefined) {
      oracle.observe({ kind: "answer", answer });
    }
  }
  return [...oracle.report(), folding.reportAssignments()];
}

/** Every violation in words; empty where nothing is violated. */
export function listViolations(
  reports: readonly FactReport[],
): readonly string[] {
  return reports.flatMap(({ fact, findings }) =>
    findings
      .filter(({ kind }) => kind === "violated")
      .map(({ subject, message }) => `${fact}: ${subject}: ${message}`)
  );
}

function describeAnswer(sent: SentRequest): CallerAnswer | undefined {
  const { answer } = sent;
  const requestId = answer === null
    ? sent.requestId
    : findHeader(answer, "lentilspur-request-id");
  if (requestId === undefined) {
    return undefined;
  }
  const subject = {
    requestId,
    clientAccount: "producer",
    template: TEMPLATE_NAME,
    key: sent.key,
    idempotent: sent.idempotent,
    sentAtMs: sent.sentAtMs,
  };
  if (answer === null || sent.answeredAtMs === null) {
    return { ...subject, outcome: "none" };
  }
  const outcome = findHeader(answer, "lentilspur-outcome") as Outcome;
  const received = {
    ...subject,
    outcome,
    status: answer.status,
    receivedAtMs: sent.answeredAtMs,
  };
  return outcome === "ran" && answer.status === 200
    ? {
      ...received,
      answerDigest: createHash("sha256").update(answer.body).digest("hex"),
    }
    : received;
}
