/**
 * Where requests were lost, from the lines of all instances: how each window of
 * time went, for which reasons, and how unevenly the load lay on the targets.
 *
 * For the morning after: it says which seconds and which reason to look at, and
 * `explain` then tells of one request of them.
 */
import { type LogLine, toFinalLine, toSendLine } from "./log_line.ts";

/** What became of the requests that ended in one window. */
export interface LossWindow {
  /** Time of day at which it begins, in Unix milliseconds. */
  readonly startsAtMs: number;
  readonly ended: number;
  readonly answered: number;
  /** Requests that were not answered by a target, by reason; most first. */
  readonly reasons: readonly LossReason[];
  /** Sends to the busiest target over the mean of those that got any. */
  readonly busiest: number;
}

export interface LossReason {
  /** Kind of the failure, and what its message says without its numbers. */
  readonly text: string;
  readonly count: number;
}

/** What a window is counted in, while lines are read. */
interface Tally {
  ended: number;
  answered: number;
  readonly reasons: Map<string, number>;
  readonly sends: Map<string, number>;
}

/** Windows in the order of time; those in which nothing ended are left out. */
export function listLosses(
  lines: readonly LogLine[],
  windowMs: number,
): readonly LossWindow[] {
  const tallies = new Map<number, Tally>();
  for (const line of lines) {
    const atMs = Date.parse(line.time);
    const startsAtMs = Math.floor(atMs / windowMs) * windowMs;
    const tally = tallies.get(startsAtMs) ?? createTally();
    tallies.set(startsAtMs, tally);
    recordLine(tally, line);
  }
  return [...tallies]
    .filter(([, { ended }]) => ended > 0)
    .sort(([left], [right]) => left - right)
    .map(([startsAtMs, tally]) => ({
      startsAtMs,
      ended: tally.ended,
      answered: tally.answered,
      reasons: sortReasons(tally.reasons),
      busiest: computeBusiest([...tally.sends.values()]),
    }));
}

/** All windows together. */
export function mergeReasons(
  windows: readonly LossWindow[],
): readonly LossReason[] {
  const counts = new Map<string, number>();
  for (const { text, count } of windows.flatMap(({ reasons }) => reasons)) {
    counts.set(text, (counts.get(text) ?? 0) + count);
  }
  return sortReasons(counts);
}

function createTally(): Tally {
  return { ended: 0, answered: 0, reasons: new Map(), sends: new Map() };
}

function recordLine(tally: Tally, line: LogLine): void {
  const send = toSendLine(line);
  if (send !== undefined) {
    const { targetId } = send;
    tally.sends.set(targetId, (tally.sends.get(targetId) ?? 0) + 1);
    return;
  }
  const final = toFinalLine(line);
  if (final === undefined) {
    return;
  }
  tally.ended++;
  if (final.outcome === "answered") {
    tally.answered++;
    return;
  }
  const text = formatReason(final.outcome, final.message);
  tally.reasons.set(text, (tally.reasons.get(text) ?? 0) + 1);
}

/** Messages differ by keys, times and paths; what is left names the reason. */
function formatReason(outcome: string, message: string | undefined): string {
  const stem = (message ?? "")
    .replaceAll(/"[^"]*"/g, "…")
    .replaceAll(/\d+(\.\d+)?/g, "…");
  return stem === "" ? outcome : `${outcome} (${stem})`;
}

function sortReasons(
  counts: ReadonlyMap<string, number>,
): readonly LossReason[] {
  return [...counts]
    .map(([text, count]) => ({ text, count }))
    .sort((left, right) => right.count - left.count);
}

function computeBusiest(sends: readonly number[]): number {
  const sum = sends.reduce((total, count) => total + count, 0);
  return sum === 0 ? 0 : Math.max(...sends) * sends.length / sum;
}
