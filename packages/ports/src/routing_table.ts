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

/** Which requests a route takes. */
export type RouteMatch =
  | {
    readonly kind: "prefix";
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
  }
  | {
    readonly kind: "pattern";
    readonly method: string;
    /** The path between its slashes; `null` is the segment that is the key. */
    readonly segments: readonly (string | null)[];
  };

export interface Route {
  readonly name: string;
  readonly match: RouteMatch;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** An answer within this time is worth the most to the caller. */
  readonly goalMs: number;
  /** Targets on which one request may run. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly parts: readonly RoutePart[];
  /** For a caller that names no deadline. */
  readonly defaultDeadlineMs?: number;
  /** A request waits for a place no longer than this, however long it may take. */
  readonly maxWaitMs?: number;
  /** Within what callers may send at all. */
  readonly maxBodyBytes?: number;
  /** A larger answer is not read to its end. */
  readonly maxAnswerBytes?: number;
}

export interface Service {
  readonly name: string;
  /** Whether its targets own keys, and run only requests for keys they hold. */
  readonly keyed: boolean;
  /** Connections that one target accepts from all callers together. */
  readonly maxConnections: number;
  /** Second sends as a share of first ones, where it differs from the setting. */
  readonly retryRatio?: number;
  /** Requests that may wait for one target, over all instances. */
  readonly maxWaitingPerTarget?: number;
  /** Requests a second that a cold target takes from all instances together. */
  readonly coldPerSecond?: number;
}

/** What one client account may ask of one service, over all instances. */
export interface AccountAllowance {
  /** Share of the places under contention, relative to other accounts. */
  readonly weight: number;
  readonly requestsPerSecond: number;
  readonly burst: number;
  /** Requests in the system at one time, through one instance. */
  readonly maxConcurrent: number;
}

export interface ClientAccount {
  readonly name: string;
  /** SHA-256 of each accepted credential, in hex; never the credential. */
  readonly credentialDigests: readonly string[];
  /** By service; others are forbidden. */
  readonly allowances: ReadonlyMap<string, AccountAllowance>;
}

/** Who may send requests. */
export type CallerAccess =
  /** Whoever reaches an instance. */
  | { readonly kind: "open" }
  | {
    readonly kind: "accounts";
    readonly clientAccounts: readonly ClientAccount[];
  };

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
  readonly access: CallerAccess;
}

/** One process that runs requests. */
export interface RoutingTarget {
  /** Kept when it starts again. */
  readonly id: string;
  /**
   * When this life of it began, in Unix milliseconds by its own clock;
   * undefined where it does not say. A later life knows nothing of an earlier.
   */
  readonly bornMs?: number;
  /** Grows with each entry of one life. */
  readonly sequence: number;
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

/** A target as an instance knows it. */
export interface KnownTarget extends RoutingTarget {
  /** Until when it is cold; own clock. */
  readonly coldUntilMs: number;
}
