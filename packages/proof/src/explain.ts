/**
 * The story of one request from the lines of all instances: what happened to
 * it, and what changed around it that bears on its end.
 */
import {
  ERROR_RESPONSES,
  type ErrorKind,
} from "@lentilspur/outcomes/error_kinds";
import {
  type FinalLine,
  type LogLine,
  type SendLine,
  toFinalLine,
  toSendLine,
} from "./log_line.ts";

/** What changed up to this long before a request's end may be its cause. */
const CONTEXT_MS = 5_000;
/** Events of the request's own instance that bear on any request. */
const OWN_EVENTS: ReadonlySet<string> = new Set([
  "start",
  "stop",
  "reload",
  "ready",
  "clock-jump",
  "configuration",
  "store-lost",
  "store-regained",
  "lines-dropped",
]);
/** Events of any instance that bear on who owns the request's key. */
const OWNER_EVENTS: ReadonlySet<string> = new Set([
  "keeper-claimed",
  "keeper-planned",
  "keeper-settled",
  "keeper-stopped",
  "keeper-append-failed",
]);

/** Empty where no line names the request. */
export function describeRequest(
  lines: readonly LogLine[],
  requestId: string,
): readonly string[] {
  const own = lines.filter((line) => line["requestId"] === requestId);
  const [first] = own;
  const last = own.at(-1);
  if (first === undefined || last === undefined) {
    return [];
  }
  const context = listContext(lines, own);
  const story = [...own, ...context]
    .toSorted((left, right) => compareTimes(left, right))
    .map((line) => describeLine(line, requestId));
  return [
    `request ${requestId} at ${first.instance} (incarnation ${first.incarnation})`,
    ...story,
    ...describeEnd(own),
  ];
}

function listContext(
  lines: readonly LogLine[],
  own: readonly LogLine[],
): readonly LogLine[] {
  const last = own.at(-1)!;
  const endMs = Date.parse(last.time);
  const sends = own.flatMap((line) => toSendLine(line) ?? []);
  const targets = new Set<unknown>(sends.map(({ targetId }) => targetId));
  const services = new Set<unknown>(own.map((line) => line["service"]));
  return lines.filter((line) => {
    const ageMs = endMs - Date.parse(line.time);
    if (ageMs < 0 || ageMs > CONTEXT_MS) {
      return false;
    }
    const isOwn = line.incarnation === last.incarnation;
    return (isOwn && OWN_EVENTS.has(line.event)) ||
      (isOwn && line.event === "target" && targets.has(line["targetId"])) ||
      (OWNER_EVENTS.has(line.event) &&
        (line["service"] === undefined || services.has(line["service"]))) ||
      (line.event === "key-order" && targets.has(line["target"]));
  });
}

function compareTimes(left: LogLine, right: LogLine): number {
  return left.incarnation === right.incarnation
    ? left.sequence - right.sequence
    : Date.parse(left.time) - Date.parse(right.time);
}

function describeLine(line: LogLine, requestId: string): string {
  const send = toSendLine(line);
  const final = toFinalLine(line);
  const text = send !== undefined
    ? describeSend(send)
    : final !== undefined
    ? describeFinal(final)
    : describeEvent(line);
  const mark = line["requestId"] === requestId ? "*" : " ";
  return `${mark} ${line.time} ${text}`;
}

function describeSend(send: SendLine): string {
  const owner = send.token === undefined
    ? ""
    : ` as the owner of key ${send.key} under token ${send.token}`;
  const cause = send.cause === undefined ? "" : ` (${send.cause})`;
  const status = send.status === undefined ? "" : ` with ${send.status}`;
  return `send ${send.attempt} to ${send.targetId}${owner}, after ${send.waitedMs} ms of waiting: ${send.outcome}${status}${cause} in ${send.tookMs} ms`;
}

function describeFinal(final: FinalLine): string {
  const status = final.status === undefined ? "" : ` with ${final.status}`;
  const message = final.message === undefined ? "" : `: ${final.message}`;
  const retry = final.retryAfterMs === undefined
    ? ""
    : `, to come back after ${final.retryAfterMs} ms`;
  return `told ${final.outcome}${status}${message}${retry}`;
}

function describeEvent(line: LogLine): string {
  const {
    time: _time,
    elapsedMs: _elapsedMs,
    incarnation: _incarnation,
    sequence: _sequence,
    event,
    instance,
    ...fields
  } = line;
  return `${event} at ${instance} ${JSON.stringify(fields)}`;
}

/** What is proved of the request, in words for whoever complained. */
function describeEnd(own: readonly LogLine[]): readonly string[] {
  const final = own.map(toFinalLine).findLast((line) => line !== undefined);
  if (final === undefined) {
    return [
      "No line tells how it ended: its line was dropped, or its instance ended first; it may have run if a send stands above",
    ];
  }
  if (final.outcome === "answered") {
    return ["It ran, and its caller got the target's whole answer"];
  }
  const answer = ERROR_RESPONSES[final.outcome as ErrorKind];
  return answer?.outcome === "not-run"
    ? ["It has not run and never will"]
    : ["It may have run; ask the target by its id"];
}
