/**
 * Tracks requests that were running on targets when those crashed, and
 * quarantines the ones that crash targets repeatedly.
 *
 * Failure: a request crashes every target that runs it, and its caller keeps
 * sending it again, each time with a new id and through another instance.
 * Limits per attempt or per instance don't catch this. So crashes are counted
 * by request fingerprint over all instances: each instance merges what the
 * others observe.
 *
 * An innocent request may have been running on a target that crashed. One
 * successful response at any instance clears it. When the quarantine ends, the
 * request is sent once as a trial.
 */

import type { DismissalReason } from "./unanswered_sends.ts";

/**
 * What instances report to each other about one request; ages in milliseconds.
 */
export interface SuspectReport {
  readonly fingerprint: string;
  /**
   * For each crash: the name of the target's incarnation, the age of the crash,
   * and the age of the send.
   */
  readonly crashes: readonly (readonly [
    incarnation: string,
    ageMs: number,
    /** Time since the request was sent to that target. */
    sentAgeMs: number,
  ])[];
  /** Time since the last response that cleared the request; null if none. */
  readonly clearedAgeMs: number | null;
  /** Time since its last trial; null if none. */
  readonly trialAgeMs: number | null;
}

export type SuspectDecision =
  | { readonly kind: "admitted" }
  /** Sent once, to find out whether the request still crashes its target. */
  | { readonly kind: "trial" }
  | {
    readonly kind: "quarantined";
    readonly crashes: number;
    readonly retryAfterMs: number;
  };

/** The start or end of a quarantine at this instance. */
export type SuspectEvent =
  | {
    readonly kind: "quarantined";
    readonly fingerprint: string;
    readonly crashes: number;
  }
  | {
    readonly kind: "released";
    readonly fingerprint: string;
    readonly reason: ReleaseReason;
    readonly afterMs: number;
  };

export type ReleaseReason =
  /** The request was answered, here or at another instance. */
  | "answered"
  /** Crashes of it do not count any more. */
  | "crashes-dismissed"
  /** Its crashes are too old. */
  | "expired"
  /** Too many others are kept. */
  | "table-full";

/** What becomes of a reported crash. */
export type CrashDecision =
  /** It is news; it may not count by what is known of the target's end. */
  | { readonly kind: "recorded"; readonly isCounted: boolean }
  | { readonly kind: "known" }
  | { readonly kind: "dismissed"; readonly reason: DismissalReason };

/** A send whose target process ended; this instance's clock. */
export interface Crash {
  readonly sentAtMs: number;
  readonly atMs: number;
}

interface Suspect {
  /** By target incarnation. */
  readonly crashes: Map<string, Crash>;
  clearedAtMs: number;
  trialAtMs: number;
}

/** Crashes that put a request into quarantine; fewer may be a coincidence. */
const CRASHES_TO_QUARANTINE = 3;
/**
 * Duration of the quarantine after the third crash and after the fourth. After
 * the fifth crash it lasts until the crashes are forgotten.
 */
const QUARANTINE_DURATIONS_MS = [30_000, 600_000] as const;
/**
 * Minimum time between two trials of a request. A crash caused by the first one
 * has been reported by then.
 */
const MIN_TRIAL_INTERVAL_MS = 6_000;
/** A request without a crash for this long is forgotten. */
const CRASH_RETENTION_MS = 24 * 3_600_000;
/**
 * How long a cleared request is remembered: older crash reports may still be in
 * flight, but for less than this.
 */
const CLEARED_RETENTION_MS = 60_000;
const MAX_SUSPECTS = 1_024;
/**
 * A request that was sent more than this after its target process had ended
 * cannot have crashed it. Times from other instances are late by the latency of
 * their datagrams.
 */
const LATE_SEND_MS = 100;
const MAX_INCARNATIONS = 1_024;
/** Further crashes change no decision. */
const MAX_KEPT_CRASHES = 5;
/**
 * Maximum number of reports that are repeated each second. Four of them fit
 * into one datagram.
 */
const MAX_REPORTS = 12;

export class CrashSuspects {
  readonly #suspects = new Map<string, Suspect>();
  /**
   * When each target incarnation ended: the time of the first send to it that
   * failed.
   */
  readonly #endedAtMs = new Map<string, number>();
  /** Since when each quarantined request is quarantined. */
  readonly #quarantinedAtMs = new Map<string, number>();
  readonly #observe: (event: SuspectEvent) => void;

  constructor(observe: (event: SuspectEvent) => void = () => undefined) {
    this.#observe = observe;
  }

  /** Whether there are no suspects, so that callers need no fingerprint. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  countQuarantined(): number {
    return [...this.#suspects.values()]
      .filter((suspect) => this.#isQuarantined(suspect)).length;
  }

  /**
   * Records a crash. It is dismissed if a response has cleared the request
   * since, or `MAX_KEPT_CRASHES` are recorded.
   */
  recordCrash(
    fingerprint: string,
    incarnation: string,
    { nowMs, ...crash }: Crash & { readonly nowMs: number },
  ): CrashDecision {
    this.#recordEnd(incarnation, crash.atMs);
    const decision = this.#addCrash(fingerprint, incarnation, crash);
    this.#updateQuarantine(fingerprint, "crashes-dismissed", nowMs);
    for (const other of this.#quarantinedAtMs.keys()) {
      this.#updateQuarantine(other, "crashes-dismissed", nowMs);
    }
    return decision;
  }

  #addCrash(
    fingerprint: string,
    incarnation: string,
    crash: Crash,
  ): CrashDecision {
    const suspect = this.#getSuspect(fingerprint);
    const { crashes, clearedAtMs } = suspect;
    const known = crashes.get(incarnation);
    if (known !== undefined) {
      // The report with the shortest latency has the most accurate times.
      crashes.set(incarnation, {
        sentAtMs: Math.min(known.sentAtMs, crash.sentAtMs),
        atMs: Math.min(known.atMs, crash.atMs),
      });
      return { kind: "known" };
    }
    if (crash.atMs <= clearedAtMs) {
      return { kind: "dismissed", reason: "request-answered" };
    }
    if (crashes.size >= MAX_KEPT_CRASHES) {
      return { kind: "dismissed", reason: "table-full" };
    }
    crashes.set(incarnation, crash);
    const isCounted = this.#listCrashes(suspect).includes(crash);
    return { kind: "recorded", isCounted };
  }

  /** Clears the request's crashes after a response and returns their number. */
  recordAnswered(fingerprint: string, nowMs: number): number {
    const suspect = this.#suspects.get(fingerprint);
    const crashes = suspect?.crashes.size ?? 0;
    if (suspect !== undefined && crashes > 0) {
      suspect.clearedAtMs = nowMs;
      suspect.crashes.clear();
      this.#updateQuarantine(fingerprint, "answered", nowMs);
    }
    return crashes;
  }

  isQuarantined(fingerprint: string): boolean {
    const suspect = this.#suspects.get(fingerprint);
    return suspect !== undefined && this.#isQuarantined(suspect);
  }

  /**
   * Decides whether a request may be sent now, and records the start of a trial
   * that it allows.
   */
  admit(fingerprint: string, nowMs: number): SuspectDecision {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || !this.#isQuarantined(suspect)) {
      return { kind: "admitted" };
    }
    const crashes = this.#listCrashes(suspect);
    const endsAtMs = Math.max(
      computeQuarantineEnd(crashes),
      suspect.trialAtMs + MIN_TRIAL_INTERVAL_MS,
    );
    if (nowMs >= endsAtMs) {
      suspect.trialAtMs = nowMs;
      return { kind: "trial" };
    }
    const retryAfterMs = endsAtMs - nowMs;
    return { kind: "quarantined", crashes: crashes.length, retryAfterMs };
  }

  /**
   * Merges a report from another instance; returns whether it added anything.
   */
  merge(report: SuspectReport, nowMs: number): boolean {
    const { fingerprint, crashes, clearedAgeMs, trialAgeMs } = report;
    const suspect = this.#getSuspect(fingerprint);
    let isChange = false;
    const clearedAtMs = toTime(clearedAgeMs, nowMs);
    if (clearedAtMs > suspect.clearedAtMs) {
      isChange = removeUntil(suspect.crashes, clearedAtMs);
      suspect.clearedAtMs = clearedAtMs;
      this.#updateQuarantine(fingerprint, "answered", nowMs);
    }
    suspect.trialAtMs = Math.max(suspect.trialAtMs, toTime(trialAgeMs, nowMs));
    for (const [incarnation, ageMs, sentAgeMs] of crashes) {
      const crash = { sentAtMs: nowMs - sentAgeMs, atMs: nowMs - ageMs };
      const { kind } = this.recordCrash(fingerprint, incarnation, {
        ...crash,
        nowMs,
      });
      isChange ||= kind === "recorded";
    }
    return isChange;
  }

  createReport(fingerprint: string, nowMs: number): SuspectReport | undefined {
    const suspect = this.#suspects.get(fingerprint);
    return suspect === undefined
      ? undefined
      : createReport(fingerprint, suspect, nowMs);
  }

  /**
   * Lists the most recent reports that an instance needs after its start: those
   * of quarantined and of cleared requests.
   */
  listReports(nowMs: number): readonly SuspectReport[] {
    return [...this.#suspects]
      .filter(([, suspect]) =>
        this.#isQuarantined(suspect) || suspect.crashes.size === 0
      )
      .slice(-MAX_REPORTS)
      .map(([fingerprint, suspect]) =>
        createReport(fingerprint, suspect, nowMs)
      );
  }

  /**
   * Removes suspects whose crashes are too old, and cleared requests that need
   * no longer be remembered.
   */
  expire(nowMs: number): void {
    for (const [fingerprint, { crashes, clearedAtMs }] of this.#suspects) {
      const isOver = crashes.size === 0
        ? nowMs - clearedAtMs > CLEARED_RETENTION_MS
        : nowMs - findLastCrashMs([...crashes.values()]) > CRASH_RETENTION_MS;
      if (isOver) {
        this.#suspects.delete(fingerprint);
        this.#updateQuarantine(fingerprint, "expired", nowMs);
      }
    }
  }

  /** Reports the start or the end of a quarantine, if it has just happened. */
  #updateQuarantine(
    fingerprint: string,
    reason: ReleaseReason,
    nowMs: number,
  ): void {
    const suspect = this.#suspects.get(fingerprint);
    const crashes = suspect === undefined
      ? 0
      : this.#listCrashes(suspect).length;
    const sinceMs = this.#quarantinedAtMs.get(fingerprint);
    if (sinceMs === undefined && crashes >= CRASHES_TO_QUARANTINE) {
      this.#quarantinedAtMs.set(fingerprint, nowMs);
      this.#observe({ kind: "quarantined", fingerprint, crashes });
    } else if (sinceMs !== undefined && crashes < CRASHES_TO_QUARANTINE) {
      this.#quarantinedAtMs.delete(fingerprint);
      const afterMs = Math.round(nowMs - sinceMs);
      this.#observe({
        kind: "released",
        fingerprint,
        reason: suspect === undefined && reason !== "expired"
          ? "table-full"
          : reason,
        afterMs,
      });
    }
  }

  #isQuarantined(suspect: Suspect): boolean {
    return this.#listCrashes(suspect).length >= CRASHES_TO_QUARANTINE;
  }

  /** Lists the crashes that the request may have caused. */
  #listCrashes({ crashes }: Suspect): readonly Crash[] {
    return [...crashes]
      .filter(([incarnation, { sentAtMs }]) =>
        sentAtMs <=
          (this.#endedAtMs.get(incarnation) ?? Infinity) + LATE_SEND_MS
      )
      .map(([, crash]) => crash);
  }

  #recordEnd(incarnation: string, atMs: number): void {
    const known = this.#endedAtMs.get(incarnation) ?? Infinity;
    this.#endedAtMs.delete(incarnation);
    this.#endedAtMs.set(incarnation, Math.min(known, atMs));
    if (this.#endedAtMs.size > MAX_INCARNATIONS) {
      this.#endedAtMs.delete(this.#endedAtMs.keys().next().value!);
    }
  }

  /**
   * Gets or creates a suspect. When the table is full, evicts the one with the
   * fewest crashes.
   */
  #getSuspect(fingerprint: string): Suspect {
    const suspect = this.#suspects.get(fingerprint) ?? {
      crashes: new Map<string, Crash>(),
      clearedAtMs: -Infinity,
      trialAtMs: -Infinity,
    };
    this.#suspects.delete(fingerprint);
    if (this.#suspects.size >= MAX_SUSPECTS) {
      this.#suspects.delete(this.#findEvictionCandidate());
    }
    this.#suspects.set(fingerprint, suspect);
    return suspect;
  }

  #findEvictionCandidate(): string {
    let candidate = "";
    let fewest = Infinity;
    for (const [fingerprint, { crashes }] of this.#suspects) {
      if (crashes.size < fewest) {
        candidate = fingerprint;
        fewest = crashes.size;
      }
    }
    return candidate;
  }
}

function computeQuarantineEnd(crashes: readonly Crash[]): number {
  const durationMs =
    QUARANTINE_DURATIONS_MS[crashes.length - CRASHES_TO_QUARANTINE] ??
      CRASH_RETENTION_MS;
  return findLastCrashMs(crashes) + durationMs;
}

function findLastCrashMs(crashes: readonly Crash[]): number {
  return Math.max(...crashes.map(({ atMs }) => atMs));
}

function createReport(
  fingerprint: string,
  { crashes, clearedAtMs, trialAtMs }: Suspect,
  nowMs: number,
): SuspectReport {
  return {
    fingerprint,
    crashes: [...crashes].map(([incarnation, { sentAtMs, atMs }]) => [
      incarnation,
      Math.floor(nowMs - atMs),
      Math.floor(nowMs - sentAtMs),
    ]),
    clearedAgeMs: toAge(clearedAtMs, nowMs),
    trialAgeMs: toAge(trialAtMs, nowMs),
  };
}

function toAge(atMs: number, nowMs: number): number | null {
  return Number.isFinite(atMs) ? Math.floor(nowMs - atMs) : null;
}

function toTime(ageMs: number | null, nowMs: number): number {
  return ageMs === null ? -Infinity : nowMs - ageMs;
}

/** Returns whether any crash was removed. */
function removeUntil(crashes: Map<string, Crash>, untilMs: number): boolean {
  const before = crashes.size;
  for (const [incarnation, { atMs }] of crashes) {
    if (atMs <= untilMs) {
      crashes.delete(incarnation);
    }
  }
  return crashes.size < before;
}
