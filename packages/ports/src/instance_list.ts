/**
 * The platform's list of live and leaving instances. It lags, so it is a hint:
 * the log says who may act, direct contact says who is alive.
 */
import type { Result } from "@lentilspur/outcomes/result";

export type ListedState = "live" | "leaving";

/** One of the system's own instances, as the platform lists it. */
export interface ListedEntryInstance {
  readonly kind: "entry";
  readonly id: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly state: ListedState;
}

/** One target, as the platform lists it. */
export interface ListedTarget {
  readonly kind: "target";
  readonly id: string;
  /** `host:port`, by IP number. */
  readonly address: string;
  readonly dataCentre: string;
  readonly state: ListedState;
  /** The kind of traffic that it serves. */
  readonly template: string;
  /** Absent means that the target does not check its grants. */
  readonly checksGrants?: boolean;
}

export type ListedInstance = ListedEntryInstance | ListedTarget;

export interface InstanceListFailure {
  readonly kind: "unavailable";
  readonly message: string;
}

export interface InstanceListPort {
  list(): Promise<Result<readonly ListedInstance[], InstanceListFailure>>;
}
