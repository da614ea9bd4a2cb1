/**
 * Builds the timeline of one request from the log lines of all instances: the
 * events of the request, and changes shortly before its end that may have
 * affected its outcome.
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

/** Changes up to 5 s before the end of a request may explain its outcome. */
const CONTEXT_MS = 5_000;
/** Events that affect all requests of the instance that logs them. */
const INSTANCE_EVENTS: ReadonlySet<string> = new Set([
  "start",
  "stop",
  "reload",
  "ready",
  "clock-jump",
  "paths",
  "configuration",
  "store-lost",
  "store-regained",
  "lines-dropped",
]);
/** Events of any instance that can change the owner of the request's key. */
const OWNERSHIP_EVENTS: ReadonlySet<string> = new Set([
  "keeper-claimed",
  "keeper-planned",
  "keeper-settled",
  "keeper-stopped",
  "keeper-append-failed",
]);

/** Returns the timeline; empty if no log line has the request id. */
export function describeRequest(
  lines: readonly LogLine[],
  requestId: string,
): readonly string[] {
  const requestLines = lines.filter((line) => line["requestId"] === requestId);
  const [first] = requestLines;
  const last = requestLines.at(-1);
  if (first === undefined || last === undefined) {
    return [];
  }
  const context = listContext(lines, requestLines);
  const timeline = [...requestLines, ...context]
    .toSorted((left, right) => compareTimes(left, right))
    .map((line) => describeLine(line, requestId));
  return [
    `request ${requestId} at ${first.instance} (incarnation ${first.incarnation})`,
    ...timeline,
    ...describeOutcome(requestLines),
  ];
}

function listContext(
  lines: readonly LogLine[],
  requestLines: readonly LogLine[],
): readonly LogLine[] {
  const last = requestLines.at(-1)!;
  const endMs = Date.parse(last.time);
  const sends = requestLines.flatMap((line) => toSendLine(line) ?? []);
  const targets = new Set<unknown>(sends.map(({ targetId }) => targetId));
  const services = new Set<unknown>(
    requestLines.map((line) => line["service"]),
  );
  return lines.filter((line) => {
    const ageMs = endMs - Date.parse(line.time);
    if (ageMs < 0 || ageMs > CONTEXT_MS) {
      return false;
    }
    const isSameIncarnation = line.incarnation === last.incarnation;
    return (isSameIncarnation && INSTANCE_EVENTS.has(line.event)) ||
      (isSameIncarnation && line.event === "target" &&
        targets.has(line["targetId"])) ||
      (OWNERSHIP_EVENTS.has(line.event) &&
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
  const reasons = [send.cause, send.proof].filter((one) => one !== undefined);
  const cause = reasons.length === 0 ? "" : ` (${reasons.join(", ")})`;
  const status = send.status === undefined ? "" : ` with ${send.status}`;
  return `send ${send.attempt} to ${send.targetId}${owner}, after ${send.waitedMs} ms of waiting: ${send.outcome}${status}${cause} in ${send.tookMs} ms${
    describeTrace(send)
  }`;
}

function describeTrace({ trace }: SendLine): string {
  return trace === undefined
    ? ""
    : `, ${trace.writtenBytes} bytes as request ${trace.position} of connection ${trace.connection}`;
}

function describeFinal(final: FinalLine): string {
  const status = final.status === undefined ? "" : ` with ${final.status}`;
  const message = final.message === undefined ? "" : `: ${final.message}`;
  const retry = final.retryAfterMs === undefined
    ? ""
    : `, retry after ${final.retryAfterMs} ms`;
  return `final outcome: ${final.outcome}${status}${message}${retry}`;
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

/** Summarizes what the log lines prove about the execution of the request. */
function describeOutcome(requestLines: readonly LogLine[]): readonly string[] {
  const final = requestLines.map(toFinalLine).findLast((line) =>
    line !== undefined
  );
  if (final === undefined) {
    return [
      "No log line reports the outcome: the line was dropped, or the instance stopped first. The request may have run if a send is listed above",
    ];
  }
  if (final.outcome === "answered") {
    return [
      "The request ran, and the caller received the complete response of the target",
    ];
  }
  const errorResponse = ERROR_RESPONSES[final.outcome as ErrorKind];
  return errorResponse?.outcome === "not-run"
    ? ["The request has not run and will not run"]
    : ["It may have run; look up the request id at the target"];
}
