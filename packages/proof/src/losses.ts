/**
 * Summarizes lost requests, which got no response from a target, from the log
 * lines of all instances: counts per time window, the reasons, and the load
 * imbalance between targets.
 *
 * The summary shows which seconds and which reason to investigate after an
 * incident; `lentilspur explain` then shows the timeline of a single request.
 */
import { type LogLine, toFinalLine, toSendLine } from "./log_line.ts";

/** Outcomes of the requests that ended in one time window. */
export interface LossWindow {
  /** Start of the window, in Unix milliseconds. */
  readonly startsAtMs: number;
  readonly ended: number;
  readonly answered: number;
  /** Requests without a response of a target by reason, most frequent first. */
  readonly reasons: readonly LossReason[];
  /** Sends to the busiest target, divided by the mean of targets with sends. */
  readonly busiestToMean: number;
}

export interface LossReason {
  /** Kind of the failure, and its message without numbers and quoted text. */
  readonly text: string;
  readonly count: number;
}

/** Counters of one window while lines are read. */
interface WindowCounts {
  ended: number;
  answered: number;
  readonly reasons: Map<string, number>;
  readonly sends: Map<string, number>;
}

/** Returns windows in order of time; omits those without an ended request. */
export function listLosses(
  lines: readonly LogLine[],
  windowMs: number,
): readonly LossWindow[] {
  const countsByStart = new Map<number, WindowCounts>();
  for (const line of lines) {
    const atMs = Date.parse(line.time);
    const startsAtMs = Math.floor(atMs / windowMs) * windowMs;
    const counts = countsByStart.get(startsAtMs) ?? createCounts();
    countsByStart.set(startsAtMs, counts);
    recordLine(counts, line);
  }
  return [...countsByStart]
    .filter(([, { ended }]) => ended > 0)
    .sort(([left], [right]) => left - right)
    .map(([startsAtMs, counts]) => ({
      startsAtMs,
      ended: counts.ended,
      answered: counts.answered,
      reasons: sortReasons(counts.reasons),
      busiestToMean: computeBusiestToMean([...counts.sends.values()]),
    }));
}

/** Sums the reasons over all windows. */
export function mergeReasons(
  windows: readonly LossWindow[],
): readonly LossReason[] {
  const counts = new Map<string, number>();
  for (const { text, count } of windows.flatMap(({ reasons }) => reasons)) {
    counts.set(text, (counts.get(text) ?? 0) + count);
  }
  return sortReasons(counts);
}

function createCounts(): WindowCounts {
  return { ended: 0, answered: 0, reasons: new Map(), sends: new Map() };
}

function recordLine(counts: WindowCounts, line: LogLine): void {
  const send = toSendLine(line);
  if (send !== undefined) {
    const { targetId } = send;
    counts.sends.set(targetId, (counts.sends.get(targetId) ?? 0) + 1);
    return;
  }
  const final = toFinalLine(line);
  if (final === undefined) {
    return;
  }
  counts.ended++;
  if (final.outcome === "answered") {
    counts.answered++;
    return;
  }
  const text = formatReason(final.outcome, final.message);
  counts.reasons.set(text, (counts.reasons.get(text) ?? 0) + 1);
}

/** Removes keys, times and paths, so that the same reason has one text. */
function formatReason(outcome: string, message: string | undefined): string {
  const pattern = (message ?? "")
    .replaceAll(/"[^"]*"/g, "…")
    .replaceAll(/\d+(\.\d+)?/g, "…");
  return pattern === "" ? outcome : `${outcome} (${pattern})`;
}

function sortReasons(
  counts: ReadonlyMap<string, number>,
): readonly LossReason[] {
  return [...counts]
    .map(([text, count]) => ({ text, count }))
    .sort((left, right) => right.count - left.count);
}

function computeBusiestToMean(sends: readonly number[]): number {
  const sum = sends.reduce((total, count) => total + count, 0);
  return sum === 0 ? 0 : Math.max(...sends) * sends.length / sum;
}
