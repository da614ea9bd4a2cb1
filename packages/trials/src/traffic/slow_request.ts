/** Creates requests that targets work on for a given time. */
import type { LogicalRequest } from "./caller.ts";

const WORK_PARAMETER = "work-ms";

/** Returns the request as one whose work takes `workMs`. */
export function markSlow(
  logicalRequest: LogicalRequest,
  workMs: number,
): LogicalRequest {
  return {
    ...logicalRequest,
    path: `${logicalRequest.path}?${WORK_PARAMETER}=${Math.round(workMs)}`,
  };
}

/** Returns the work time that a path names, if it names one. */
export function parseWorkMs(path: string): number | undefined {
  const [, query] = path.split("?");
  const text = new URLSearchParams(query).get(WORK_PARAMETER);
  return text === null ? undefined : Number(text);
}
