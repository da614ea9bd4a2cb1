/**
 * Types of a validated configuration: one template for each kind of traffic,
 * and the parameters of each client account. All fields are present, because
 * defaults are already filled in. Times are in milliseconds.
 */
import type { AccountAllowance } from "@lentilspur/ports/routing_table";

/** An HTTP method and a path pattern that contains the key. */
export interface Route {
  readonly method: string;
  /** Such as `/case-files/{key}/demands`; exactly one segment is `{key}`. */
  readonly path: string;
  /** True only if a repeated request has no further effect. */
  readonly idempotent: boolean;
}

export interface TemplateLimits {
  readonly maxBodyBytes: number;
  readonly maxAnswerBytes: number;
  /** Most requests that wait for one target, over all client accounts. */
  readonly maxQueuedPerTarget: number;
  /** Longest time that a request waits in a target's queue. */
  readonly maxQueueMs: number;
}

export interface TemplateDeadlines {
  /** Deadline of requests that specify none. */
  readonly defaultMs: number;
  /** Longest deadline that a caller may request. */
  readonly maxMs: number;
}

/**
 * Relative weights of the costs of assigning keys to targets; any scale. Has no
 * effect; see `IGNORED_FIELDS` in warnings.ts.
 */
export interface PlacementWeights {
  readonly imbalance: number;
  readonly churn: number;
  readonly unservedTime: number;
}

export interface RetryPolicy {
  /** Retries as a share of requests, 0 to 1. */
  readonly budgetRatio: number;
  readonly maxAttempts: number;
}

export interface Template {
  readonly name: string;
  readonly routes: readonly Route[];
  /**
   * Not used by the router: ownership is by ranges of key hashes. Cannot change
   * once the template is published.
   */
  readonly shardCount: number;
  /**
   * Requests that one target runs concurrently. Has no effect; see
   * `IGNORED_FIELDS` in warnings.ts.
   */
  readonly placesPerTarget: number;
  readonly deadlines: TemplateDeadlines;
  readonly limits: TemplateLimits;
  readonly placement: PlacementWeights;
  readonly retry: RetryPolicy;
  /**
   * Most hot keys that are assigned individually at one time. Has no effect;
   * see `IGNORED_FIELDS` in warnings.ts.
   */
  readonly maxHotKeys: number;
  /**
   * Order in which the keys of templates leave a draining target; lower leaves
   * first. Has no effect; see `IGNORED_FIELDS` in warnings.ts.
   */
  readonly drainPriority: number;
}

/** Limits of a client account for one template. */
export interface AccountTemplateParameters extends AccountAllowance {
  readonly template: string;
}

export interface ClientAccount {
  readonly name: string;
  /** SHA-256 of each accepted credential, in hex; never the credential. */
  readonly credentialDigests: readonly string[];
  readonly templates: readonly AccountTemplateParameters[];
}

/** All templates and client accounts of one version. */
export interface Configuration {
  readonly templates: readonly Template[];
  readonly clientAccounts: readonly ClientAccount[];
}

/** A changed document; `content` is null if the document was removed. */
export type DocumentChange =
  | {
    readonly kind: "template";
    readonly name: string;
    readonly content: Template | null;
  }
  | {
    readonly kind: "clientAccount";
    readonly name: string;
    readonly content: ClientAccount | null;
  };
