/**
 * Types of the operators' configuration (routes, services and accounts) and of
 * the known targets, which an instance uses to route requests. Adapters decode
 * both from wherever they are stored.
 */

/** A service and its share of a route's requests. */
export interface RoutePart {
  readonly service: string;
  /** Relative to the weights of the route's other parts. */
  readonly weight: number;
}

/** Which requests a route matches. */
export type RouteMatch =
  | {
    readonly kind: "prefix";
    readonly host: string;
    /** Starts and ends with a slash. */
    readonly pathPrefix: string;
  }
  | {
    readonly kind: "pattern";
    readonly method: string;
    /** Path segments in order; `null` is the segment that is the key. */
    readonly segments: readonly (string | null)[];
  };

export interface Route {
  readonly name: string;
  readonly match: RouteMatch;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /**
   * Whether its responses are large; its requests are refused while the memory
   * for large responses is used up.
   */
  readonly isDownload?: boolean;
  /** Maximum time that a caller waits for a response. */
  readonly timeoutMs: number;
  /** A response within this time is worth the most to the caller. */
  readonly goalMs: number;
  /** Maximum number of targets on which one request may run. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly parts: readonly RoutePart[];
  /** Applies if the caller sets no deadline. */
  readonly defaultDeadlineMs?: number;
  /** Maximum time that a request waits for a place, whatever its deadline. */
  readonly maxWaitMs?: number;
  /** Applies in addition to the general limit on request bodies. */
  readonly maxBodyBytes?: number;
  /** A larger response is not read to its end. */
  readonly maxAnswerBytes?: number;
}

export interface Service {
  readonly name: string;
  /** Whether its targets own keys and run only requests for keys they hold. */
  readonly keyed: boolean;
  /** Connections that one target accepts from all callers together. */
  readonly maxConnections: number;
  /** Path of the targets' health checks, if they have one. */
  readonly healthPath?: string;
  /** Retries per first attempt, if different from the general setting. */
  readonly retryRatio?: number;
  /** Requests that may wait for one target, over all instances. */
  readonly maxWaitingPerTarget?: number;
  /**
   * Requests per second that a cold target accepts from all instances together.
   */
  readonly coldPerSecond?: number;
}

/** Limits of one client account for one service, over all instances. */
export interface AccountAllowance {
  /** Share of the places under contention, relative to other accounts. */
  readonly weight: number;
  readonly requestsPerSecond: number;
  readonly burst: number;
  /** Concurrent requests through one instance. */
  readonly maxConcurrent: number;
}

export interface ClientAccount {
  readonly name: string;
  /**
   * SHA-256 of each accepted credential in hex; never the credential itself.
   */
  readonly credentialDigests: readonly string[];
  /** By service; services without an entry are forbidden. */
  readonly allowances: ReadonlyMap<string, AccountAllowance>;
}

/** Who may send requests. */
export type CallerAccess =
  /** Anyone who can reach an instance. */
  | { readonly kind: "open" }
  | {
    readonly kind: "accounts";
    readonly clientAccounts: readonly ClientAccount[];
  };

/** Limits on requests and on callers' connections. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headTimeoutMs: number;
  /** Maximum idle time of a persistent connection. */
  readonly idleTimeoutMs: number;
}

export interface RoutingTable {
  /** Increases with each accepted change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
  readonly access: CallerAccess;
}

/** A process that runs requests. */
export interface RoutingTarget {
  /** Stays the same after a restart. */
  readonly id: string;
  /**
   * When this incarnation started, in Unix milliseconds by its own clock;
   * undefined if the target does not report that. A new incarnation keeps no
   * state of the previous one.
   */
  readonly bornMs?: number;
  /** Increases with each entry of one incarnation. */
  readonly sequence: number;
  readonly service: string;
  /** `host:port`, with an IP address. */
  readonly address: string;
  readonly dataCentre: string;
  /** Maximum number of requests that the target runs at the same time. */
  readonly places: number;
  readonly leaving: boolean;
  /** Remaining time of its slow start, as of its last report. */
  readonly coldMs: number;
}

/** A target in an instance's view. */
export interface KnownTarget extends RoutingTarget {
  /** When the target stops being cold; this instance's clock. */
  readonly coldUntilMs: number;
}
