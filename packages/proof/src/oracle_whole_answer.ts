/**
 * A caller receives the whole answer to its own request. Digests of what the
 * target sent and of what the caller took as whole decide; decision lines
 * alone show that the statuses agree, and no more.
 */
import type { FactTally } from "./finding.ts";
import type { RequestTrail } from "./request_trail.ts";

export function checkWholeAnswer(trail: RequestTrail, tally: FactTally): void {
  checkCallers(trail, tally);
  checkStatuses(trail, tally);
}

function checkCallers(trail: RequestTrail, tally: FactTally): void {
  for (const answer of trail.answers) {
    if (answer.outcome !== "ran") {
      continue;
    }
    tally.recordChecked();
    const own = trail.executions;
    if (own.length === 0) {
      tally.recordViolation(
        trail.name,
        "was answered as run, and no target ran it",
        trail.toEvidence(),
      );
    } else if (
      answer.errorKind === undefined &&
      !own.some(({ answerDigest }) =>
        answerDigest !== undefined && answerDigest === answer.answerDigest
      )
    ) {
      tally.recordViolation(
        trail.name,
        "its caller took an answer that no target gave for it",
        trail.toEvidence(),
      );
    }
  }
}

function checkStatuses(trail: RequestTrail, tally: FactTally): void {
  if (trail.answers.length > 0) {
    return;
  }
  const lines = trail.listLines();
  const given = lines.flatMap((line) =>
    line.decision === "request-settled" && line.outcome === "ran"
      ? [line.status]
      : []
  );
  for (const line of lines) {
    const isAnswer = line.decision === "request-answered" &&
      line.outcome === "ran" && line.errorKind === undefined;
    if (!isAnswer) {
      continue;
    }
    tally.recordChecked();
    if (given.length > 0 && !given.includes(line.status)) {
      tally.recordViolation(
        trail.name,
        `was answered with status ${line.status}, and its target gave ${
          given.join(", ")
        }`,
        trail.toEvidence(),
      );
    } else {
      tally.recordGap(
        trail.name,
        given.length > 0
          ? "the lines hold no digest of the answer"
          : `no line settles the dispatch that ${line.instance} answered`,
      );
    }
  }
}
