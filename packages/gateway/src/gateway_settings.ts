/** The settings of an instance at its start, resolved and frozen. */
import type { RetryLimits } from "@lentilspur/routing/retry_budget";

/** Memory of an instance whose settings do not state it. */
export const DEFAULT_MEMORY_MB = 250;
/** Leaves the rest to the process itself and to requests that wait. */
const READ_AHEAD_SHARE = 0.08;
const MAX_READ_AHEAD_BYTES = 32_000_000;
/**
 * Taken by the process at rest, by V8's young generation, and by what has been
 * read and is not collected yet.
 */
const PROCESS_BYTES = 156_000_000;
/** The rest is for connections and what the operating system holds of them. */
const MAX_CALLER_SHARE = 0.4;
const MIN_CALLER_BYTES = 4_000_000;
/** Descriptors of an instance whose settings do not state them. */
export const DEFAULT_DESCRIPTORS = 4_096;
/** Not available to sockets. */
const FILE_DESCRIPTORS = 200;
/** The other sockets are those to targets, peers and the store. */
const CALLER_SOCKETS_SHARE = 0.75;

export interface ResolvedGatewaySettings {
  readonly instance: string;
  readonly dataCentre: string;
  /** Processor time that the process may use, in cores. */
  readonly cores: number;
  /**
   * Memory for large responses that are read faster than their callers take
   * them.
   */
  readonly readAheadBytes: number;
  /**
   * Memory for all that is held for callers: bodies of requests, and responses
   * that are read ahead.
   */
  readonly callerMemoryBytes: number;
  /** Connections of callers that are open at the same time. */
  readonly maxCallerConnections: number;
  /** Address of the machine; all listeners bind to it. */
  readonly host: string;
  readonly requestPort: number;
  /** Port of the status server, which serves readiness and `/status`. */
  readonly readyPort: number;
  readonly metricsPort: number;
  readonly peerPort: number;
  /** Limits on the retries of all instances together. */
  readonly retryLimits: RetryLimits;
  /** Longest hold of keys that a target accepts. */
  readonly maxHoldMs: number;
  /**
   * How long a target may be sent work after it was acknowledged as leaving.
   */
  readonly drainMs: number;
  /**
   * How long targets may be sent work after their evacuation was acknowledged.
   */
  readonly evacuationMs: number;
  /** Time from the stop signal until the process is killed. */
  readonly gracePeriodMs: number;
  /**
   * Shortest time after which the store may drop an instance from the group of
   * keepers if the instance does not renew its membership.
   */
  readonly minMemberTtlMs: number;
}

/** The topics, partitions and keys under which data is kept in the store. */
export interface StoreLayout {
  readonly configuration: {
    readonly topic: string;
    readonly part: number;
    readonly key: string;
    /** Prefix of the key that marks a data centre as evacuated by operators. */
    readonly evacuationPrefix: string;
  };
  readonly targets: { readonly topic: string; readonly part: number };
  readonly members: { readonly topic: string; readonly part: number };
  /**
   * The ownership topic, which holds the ownership tables of all services and
   * is divided into this many partitions.
   */
  readonly owners: { readonly topic: string; readonly parts: number };
}

export function computeMaxCallerConnections(descriptors: number): number {
  const sockets = Math.max(0, descriptors - FILE_DESCRIPTORS);
  return Math.max(1, Math.floor(CALLER_SOCKETS_SHARE * sockets));
}

export function computeCallerMemoryBytes(memoryMb: number): number {
  const bytes = memoryMb * 1_000_000;
  return Math.floor(Math.max(
    MIN_CALLER_BYTES,
    Math.min(MAX_CALLER_SHARE * bytes, bytes - PROCESS_BYTES),
  ));
}

export function computeReadAheadBytes(memoryMb: number): number {
  const bytes = Math.floor(memoryMb * 1_000_000 * READ_AHEAD_SHARE);
  return Math.min(bytes, MAX_READ_AHEAD_BYTES);
}
