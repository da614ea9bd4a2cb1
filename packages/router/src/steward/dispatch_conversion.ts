/** Between a forwarded request, the queue's job and the target's call. */
import type { ForwardRequest } from "@lentilspur/ports/peer";
import type { Result } from "@lentilspur/outcomes/result";
import type {
  ScheduledJob,
  ServiceObservation,
} from "@lentilspur/policy/target_scheduler";
import type {
  DispatchFailure,
  DispatchRequest,
  TargetAnswer,
} from "@lentilspur/ports/target";
import type { ForwardJob } from "./forward_job.ts";
import type { Permitted } from "./permission_gate.ts";

export function toScheduledJob(
  job: ForwardJob,
  permission: Permitted,
  options: { readonly id: string; readonly nowMs: number },
): ScheduledJob {
  const { request } = job;
  return {
    id: options.id,
    clientAccount: request.clientAccount,
    weight: job.weight,
    template: request.template,
    unit: permission.unit,
    key: request.key,
    idempotent: request.idempotent,
    arrivedAtMs: options.nowMs,
    deadlineAtMs: job.deadlineAtMs,
    attempt: job.attempt + 1,
    costClass: formatCostClass(request),
  };
}

export function toDispatchRequest(
  job: ForwardJob,
  permission: Permitted,
  remainingMs: number,
): DispatchRequest {
  const { request } = job;
  return {
    requestId: request.requestId,
    clientAccount: request.clientAccount,
    key: request.key,
    unit: permission.unit,
    stewardToken: permission.stewardToken,
    unitToken: permission.unitToken,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    remainingMs,
    maxAnswerBytes: job.template.limits.maxAnswerBytes,
    notAfterMs: permission.untilMs,
  };
}

/** What the queue learns from how a dispatch ended. */
export function toObservation(
  result: Result<TargetAnswer, DispatchFailure>,
  serviceMs: number,
): ServiceObservation {
  if (result.ok) {
    return { kind: "completed", serviceMs };
  }
  switch (result.val.cause) {
    case "shed":
      return { kind: "shed-by-target", serviceMs };
    case "silent":
      return { kind: "timed-out", serviceMs };
    case "unreachable":
    case "refused":
    case "fenced":
    case "draining":
    case "reset":
    case "cut":
    case "too-large":
    case "cancelled":
      return { kind: "failed", serviceMs };
  }
}

/**
 * The route that a request took, which tells long jobs from short ones. The
 * entry lets only declared routes through, so there are few of them.
 */
function formatCostClass(request: ForwardRequest): string {
  const [path = ""] = request.path.split("?", 1);
  const encodedKey = encodeURIComponent(request.key);
  const segments = path.split("/").map((segment) =>
    segment === request.key || segment === encodedKey ? "{key}" : segment
  );
  return `${request.method} ${segments.join("/")}`;
}
