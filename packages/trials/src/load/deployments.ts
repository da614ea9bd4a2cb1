/**
 * The two deployments of the brief: data centres, distances, templates and
 * upstreams. Service times are not in the brief; they are assumed, and all
 * results scale with them.
 */
import type { PlacementWeights } from "@lentilspur/declarations/template";

export interface TargetGroup {
  readonly template: string;
  readonly targets: number;
  /** Assumed time of a request in a place, on average. */
  readonly serviceMs: number;
  /** Share of idempotent lookups among the requests. */
  readonly lookupShare: number;
}

export interface Deployment {
  readonly name: string;
  readonly dataCentres: readonly string[];
  /** One way between data centres, in milliseconds. */
  readonly betweenMs: number;
  /** One way to clients, in milliseconds. */
  readonly clientMs: number;
  readonly groups: readonly TargetGroup[];
  readonly weights: PlacementWeights;
  readonly accounts: number;
}

/** Each upstream runs this many requests at a time. */
export const PLACES_PER_TARGET = 2;

export const ABAY: Deployment = {
  name: "abay",
  dataCentres: ["bole", "kirkos", "yeka"],
  betweenMs: 1.5,
  clientMs: 3,
  groups: [
    { template: "case-files", targets: 20, serviceMs: 20, lookupShare: 0.8 },
    { template: "demands", targets: 10, serviceMs: 40, lookupShare: 0.2 },
    { template: "settlements", targets: 8, serviceMs: 40, lookupShare: 0.2 },
  ],
  weights: { imbalance: 1, churn: 3, unservedTime: 1 },
  accounts: 20,
};

export const SAUTIBA: Deployment = {
  name: "sautiba",
  dataCentres: ["kariakoo", "msasani", "sinza", "upanga"],
  betweenMs: 0.5,
  clientMs: 3,
  groups: [
    { template: "calendars", targets: 20, serviceMs: 20, lookupShare: 1 },
    { template: "reservations", targets: 10, serviceMs: 40, lookupShare: 0.2 },
    { template: "payments", targets: 8, serviceMs: 40, lookupShare: 0 },
  ],
  weights: { imbalance: 1, churn: 1, unservedTime: 3 },
  accounts: 20,
};

export const DEPLOYMENTS: readonly Deployment[] = [ABAY, SAUTIBA];

/** What the ways there and back add to an answer, on average. */
export function computeNetworkMs(deployment: Deployment): number {
  const { dataCentres, betweenMs, clientMs } = deployment;
  const apart = 1 - 1 / dataCentres.length;
  return 2 * (clientMs + apart * betweenMs);
}
