/**
 * Puts everything that a cluster in memory has seen before the oracle: the
 * log, the decision lines, the targets' histories and the callers' answers.
 */
import { createHash } from "node:crypto";
import type { Outcome } from "@lentilspur/outcomes/error_kinds";
import { type CallerAnswer, toExecution } from "@lentilspur/proof/evidence";
import type { FactReport, Finding } from "@lentilspur/proof/finding";
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
      .map((finding) =>
        `${fact}: ${finding.subject}: ${finding.message}${
          describeEvidence(finding)
        }`
      )
  );
}

/** One line for each piece, to be read beside the steps that led to it. */
function describeEvidence(finding: Finding): string {
  return finding.kind === "violated"
    ? finding.evidence.map((each) => `\n    ${JSON.stringify(each)}`).join("")
    : "";
}

/** Known where the caller fetched it first, or from the answer. */
export function getRequestId(sent: SentRequest): string | undefined {
  return sent.requestId ??
    (sent.answer === null
      ? undefined
      : findHeader(sent.answer, "lentilspur-request-id"));
}

/** What the caller was told; `none` where nothing came. */
export function describeOutcome(sent: SentRequest): Outcome | "none" {
  return sent.answer === null
    ? "none"
    : findHeader(sent.answer, "lentilspur-outcome") as Outcome;
}

function describeAnswer(sent: SentRequest): CallerAnswer | undefined {
  const { answer } = sent;
  const requestId = getRequestId(sent);
  if (requestId === undefined) {
    return undefined;
  }
  const subject = {
    requestId,
    clientAccount: "producer",
    template: TEMPLATE_NAME,
    key: sent.key,
    idempotent: sent.idempotent,
    instance: sent.through,
    sentAtMs: sent.sentAtMs,
  };
  if (answer === null || sent.answeredAtMs === null) {
    return { ...subject, outcome: "none" };
  }
  const received = {
    ...subject,
    outcome: describeOutcome(sent),
    status: answer.status,
    receivedAtMs: sent.answeredAtMs,
  };
  return answer.status === 200
    ? {
      ...received,
      answerDigest: createHash("sha256").update(answer.body).digest("hex"),
    }
    // The system's own answer; which kind makes no difference here.
    : { ...received, errorKind: "internal" };
}
