/** What an instance is told at its start; resolved and frozen. */
import type { RetryLimits } from "@lentilspur/routing/retry_budget";

export interface ResolvedGatewaySettings {
  readonly instance: string;
  readonly dataCentre: string;
  /** Processor time that the process may use, in cores. */
  readonly cores: number;
  /** Address of the machine; all listeners are bound to it. */
  readonly host: string;
  readonly requestPort: number;
  readonly readyPort: number;
  readonly metricsPort: number;
  readonly peerPort: number;
  /** Second sends that all instances may make together. */
  readonly retryLimits: RetryLimits;
  /** Longest hold of keys that a target accepts. */
  readonly maxHoldMs: number;
  /** After a target was acknowledged as leaving, it may be sent work this long. */
  readonly drainMs: number;
  /** After an evacuation was acknowledged, its targets may be sent work this long. */
  readonly evacuationMs: number;
  /** From the signal to stop until the process is killed. */
  readonly gracePeriodMs: number;
  /** Shortest time after which the store takes a silent member for gone. */
  readonly minMemberTtlMs: number;
}

/** Where in the store an instance finds things, and how to read them. */
export interface StoreLayout {
  readonly configuration: {
    readonly topic: string;
    readonly part: number;
    readonly key: string;
    /** Before the name of a data centre that operators have evacuated. */
    readonly evacuationPrefix: string;
  };
  readonly targets: { readonly topic: string; readonly part: number };
  readonly members: { readonly topic: string; readonly part: number };
  /** The table of owners, in this many partitions. */
  readonly owners: { readonly topic: string; readonly parts: number };
}
