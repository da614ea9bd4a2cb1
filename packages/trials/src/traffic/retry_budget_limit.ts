/**
 * Compares the sends beyond the first of their request that reached targets
 * with the retry budget, over all instances, in each window of time.
 */
import type { TargetArrival } from "@lentilspur/ports/fake_target";
import {
  findFullestRetryWindow,
  type RetryWindow,
} from "@lentilspur/ports/retry_windows";
import type { RetryLimits } from "@lentilspur/routing/retry_budget";
import type { CallerRecord } from "./caller_record.ts";
import { groupBy } from "./group_by.ts";

export interface RetryObservations {
  readonly limits: RetryLimits;
  /** Ratios of services that do not have that of the limits. */
  readonly ratioByService: ReadonlyMap<string, number>;
  readonly arrivals: readonly TargetArrival[];
  /** When callers sent their requests for each service. */
  readonly sentMsByService: ReadonlyMap<string, readonly number[]>;
}

/** The window in which a service came closest to its budget, or beyond it. */
export type ServiceRetryWindow = RetryWindow & { readonly service: string };

export function listFullestWindows(
  { arrivals, limits, ratioByService, sentMsByService }: RetryObservations,
): readonly ServiceRetryWindow[] {
  const retriesByService = groupBy(
    listRetries(arrivals),
    ({ service }) => service,
  );
  return [...retriesByService].map(([service, retries]) => {
    const retriedMs = retries.map(({ atMs }) => atMs);
    const sentMs = sentMsByService.get(service) ?? [];
    const window = findFullestRetryWindow({ retriedMs, sentMs }, {
      ...limits,
      ratio: ratioByService.get(service) ?? limits.ratio,
    });
    return { service, ...window };
  });
}

/** Each service is named like the template of its requests. */
export function groupSentMsByService(
  records: readonly Pick<CallerRecord, "template" | "sentAtMs">[],
): ReadonlyMap<string, readonly number[]> {
  const groups = groupBy(records, ({ template }) => template);
  return new Map(
    [...groups].map(([service, sent]) => [
      service,
      sent.map(({ sentAtMs }) => sentAtMs),
    ]),
  );
}

/** Lists the arrivals beyond the first of each request, in order of time. */
function listRetries(
  arrivals: readonly TargetArrival[],
): readonly TargetArrival[] {
  const arrivedIds = new Set<string>();
  return arrivals.toSorted((left, right) => left.atMs - right.atMs)
    .filter(({ requestId }) => {
      const isRetry = arrivedIds.has(requestId);
      arrivedIds.add(requestId);
      return isRetry;
    });
}
