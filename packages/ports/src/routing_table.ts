/**
 * What operators have configured, and which targets there are: the facts by
 * which an instance routes. An adapter decodes them from wherever they are kept.
 */

/** One share of a route's requests. */
export interface RoutePart {
  readonly service: string;
  /** Relative to the weights of the route's other parts. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** An answer within this time is worth the most to the caller. */
  readonly goalMs: number;
  /** Targets on which one request may run. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly parts: readonly RoutePart[];
}

export interface Service {
  readonly name: string;
  /** Whether its targets own keys, and run only requests for keys they hold. */
  readonly keyed: boolean;
  /** Connections that one target accepts from all callers together. */
  readonly maxConnections: number;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headTimeoutMs: number;
  /** A kept connection may be idle for this long. */
  readonly idleTimeoutMs: number;
}

export interface RoutingTable {
  /** Grows with each accepted change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
}

/** One process that runs requests. Each start of it is a new one. */
export interface RoutingTarget {
  readonly id: string;
  readonly service: string;
  /** `host:port`, by IP number. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that it runs at one time. */
  readonly places: number;
  readonly leaving: boolean;
  /** How much longer it is slow after its start, as of its last report. */
  readonly coldMs: number;
}
