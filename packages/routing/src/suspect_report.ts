/**
 * What instances report to each other about a request that was running on
 * targets when those crashed. Times are sent as ages, so a receiver takes them
 * for later than they were by the latency of the datagram, never for earlier.
 */
import type { Crash } from "./crash.ts";

/** A crash as instances report it to each other. */
export type ReportedCrash = readonly [
  incarnation: string,
  ageMs: number,
  /** Time since the request was sent to that target. */
  sentAgeMs: number,
  /** Name of the send; missing from earlier versions. */
  send?: string,
  /**
   * Time since the target's end was proved; null if it is not. Missing from
   * earlier versions.
   */
  provedAgeMs?: number | null,
];

/** What is reported about one request; ages in milliseconds. */
export interface SuspectReport {
  readonly fingerprint: string;
  readonly crashes: readonly ReportedCrash[];
  /** Sends whose crashes were refuted; missing from earlier versions. */
  readonly refuted?: readonly string[];
  /**
   * Time since the last response here that refuted crashes; null if none. Only
   * earlier versions use it.
   */
  readonly clearedAgeMs: number | null;
  /** Time since its last trial; null if none. */
  readonly trialAgeMs: number | null;
  /** Number of its trials; missing from earlier versions. */
  readonly trials?: number;
}

/** A reported crash by the receiver's clock. */
export interface ReceivedCrash {
  readonly send: string;
  readonly crash: Crash;
  readonly provedAtMs: number | undefined;
}

/** A crash without the name of a send counts as one per incarnation. */
export function toReceivedCrash(
  [incarnation, ageMs, sentAgeMs, send = incarnation, provedAgeMs = null]:
    ReportedCrash,
  nowMs: number,
): ReceivedCrash {
  return {
    send,
    crash: {
      incarnation,
      sentAtMs: nowMs - sentAgeMs,
      atMs: nowMs - ageMs,
      isOwn: false,
    },
    provedAtMs: provedAgeMs === null ? undefined : nowMs - provedAgeMs,
  };
}

/** Minus infinity stands for a time that is not known. */
export function toAge(atMs: number, nowMs: number): number | null {
  return Number.isFinite(atMs) ? Math.floor(nowMs - atMs) : null;
}

export function toTime(ageMs: number | null, nowMs: number): number {
  return ageMs === null ? -Infinity : nowMs - ageMs;
}
