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
 * successful response at any instance refutes its crashes. When the quarantine
 * ends, the request is sent once as a trial.
 *
 * What is known only grows: crashes, and the names of those that a response has
 * refuted. It does not depend on the order or the delay of reports. An instance
 * refutes a crash only by a response of its own, whose time it knows exactly.
 */
import type { DismissalReason } from "./unanswered_sends.ts";

/** A crash as instances report it to each other. */
export type ReportedCrash = readonly [
  incarnation: string,
  ageMs: number,
  /** Time since the request was sent to that target. */
  sentAgeMs: number,
  /** Name of the send; missing from earlier versions. */
  send?: string,
];

/**
 * What instances report to each other about one request; ages in milliseconds.
 */
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
  /** Crashes of it are explained by another request. */
  | "crashes-dismissed"
  /** Its crashes are too old. */
  | "expired"
  /** Too many others are kept. */
  | "table-full";

/** What becomes of a crash that this instance has observed. */
export type CrashDecision =
  /** It is news; it does not count if another request explains it. */
  | { readonly kind: "recorded"; readonly isCounted: boolean }
  | { readonly kind: "dismissed"; readonly reason: DismissalReason };

/** What a report from another instance has added. */
export interface MergeResult {
  readonly isNews: boolean;
  /**
   * Whether other instances have to know that this instance has refuted
   * reported crashes, since these quarantine the request.
   */
  readonly isRefutationDue: boolean;
}

/** A send whose target process ended; this instance's clock. */
export interface Crash {
  readonly incarnation: string;
  readonly sentAtMs: number;
  readonly atMs: number;
}

/** A crash that this instance has observed. */
export interface ObservedCrash extends Crash {
  /** Name of the send, which no other send has. */
  readonly send: string;
  readonly nowMs: number;
}

interface Suspect {
  /** By the name of the send. */
  readonly crashes: Map<string, Crash>;
  /** When each refutation became known, by the name of the send. */
  readonly refutedAtMs: Map<string, number>;
  clearedAtMs: number;
  trialAtMs: number;
}

interface Quarantine {
  readonly sinceMs: number;
  readonly crashes: readonly Crash[];
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
 * How long a refutation and a response are remembered: reports of older crashes
 * may still be in flight, but for less than this.
 */
const REFUTATION_RETENTION_MS = 60_000;
const MAX_SUSPECTS = 1_024;
const MAX_RESPONSES = 1_024;
/**
 * A request that was sent more than this after its target had failed under
 * another request did not reach it. Times from other instances are late by the
 * latency of their datagrams.
 */
const LATE_SEND_MS = 100;
/** More than enough for the longest quarantine, whichever of them count. */
const MAX_KEPT_CRASHES = 8;
/** The most that change a decision. */
const MAX_REPORTED_CRASHES = 5;
/**
 * Maximum number of reports that are repeated each second. Three of them fit
 * into one datagram.
 */
const MAX_REPORTS = 12;

export class CrashSuspects {
  readonly #suspects = new Map<string, Suspect>();
  /**
   * Suspects with enough crashes for a quarantine if all of them count, by the
   * incarnations that ended.
   */
  readonly #repeatedByIncarnation = new Map<string, Set<string>>();
  readonly #quarantines = new Map<string, Quarantine>();
  /** Incarnations whose crashes have changed since the last update. */
  readonly #changedIncarnations = new Set<string>();
  /** When this instance last got a response, by fingerprint. */
  readonly #answeredAtMs = new Map<string, number>();
  readonly #observe: (event: SuspectEvent) => void;

  constructor(observe: (event: SuspectEvent) => void = () => undefined) {
    this.#observe = observe;
  }

  /** Whether there are no suspects, so that callers need no fingerprint. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  countQuarantined(): number {
    return this.#quarantines.size;
  }

  /** Counts the crashes of a request that it may have caused. */
  countCrashes(fingerprint: string): number {
    const suspect = this.#suspects.get(fingerprint);
    return suspect === undefined
      ? 0
      : countIncarnations(this.#listCounted(fingerprint, suspect));
  }

  /** Records a crash that this instance has observed. */
  recordCrash(
    fingerprint: string,
    { send, nowMs, ...crash }: ObservedCrash,
  ): CrashDecision {
    const suspect = this.#getSuspect(fingerprint, nowMs);
    if (this.#isRefuted(fingerprint, send, crash)) {
      return { kind: "dismissed", reason: "request-answered" };
    }
    if (!this.#addCrash(fingerprint, suspect, { send, crash })) {
      return { kind: "dismissed", reason: "table-full" };
    }
    this.#updateQuarantines(fingerprint, "crashes-dismissed", nowMs);
    const isCounted = !this.#isExplained(fingerprint, crash);
    return { kind: "recorded", isCounted };
  }

  /**
   * Records a response to the request at this instance, which refutes all of
   * its crashes so far. Returns the number of targets that these concern.
   */
  recordAnswered(fingerprint: string, nowMs: number): number {
    this.#answeredAtMs.delete(fingerprint);
    this.#answeredAtMs.set(fingerprint, nowMs);
    removeOldest(this.#answeredAtMs, MAX_RESPONSES);
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || suspect.crashes.size === 0) {
      return 0;
    }
    const { crashes, refutedAtMs } = suspect;
    const count = countIncarnations([...crashes.values()]);
    for (const send of crashes.keys()) {
      refutedAtMs.set(send, nowMs);
    }
    suspect.clearedAtMs = nowMs;
    this.#removeCrashes(suspect, [...crashes.keys()]);
    this.#updateQuarantines(fingerprint, "answered", nowMs);
    return count;
  }

  isQuarantined(fingerprint: string): boolean {
    return this.#quarantines.has(fingerprint);
  }

  /**
   * Decides whether a request may be sent now, and records the start of a trial
   * that it allows.
   */
  admit(fingerprint: string, nowMs: number): SuspectDecision {
    const suspect = this.#suspects.get(fingerprint);
    const quarantine = this.#quarantines.get(fingerprint);
    if (suspect === undefined || quarantine === undefined) {
      return { kind: "admitted" };
    }
    const crashes = countIncarnations(quarantine.crashes);
    const endsAtMs = Math.max(
      computeQuarantineEnd(quarantine.crashes),
      suspect.trialAtMs + MIN_TRIAL_INTERVAL_MS,
    );
    if (nowMs >= endsAtMs) {
      suspect.trialAtMs = nowMs;
      return { kind: "trial" };
    }
    return { kind: "quarantined", crashes, retryAfterMs: endsAtMs - nowMs };
  }

  /** Merges a report from another instance. */
  merge(report: SuspectReport, nowMs: number): MergeResult {
    const { fingerprint, trialAgeMs } = report;
    const suspect = this.#getSuspect(fingerprint, nowMs);
    suspect.trialAtMs = Math.max(suspect.trialAtMs, toTime(trialAgeMs, nowMs));
    const hasNewRefutations = this.#mergeRefuted(report, suspect, nowMs);
    const reported = report.crashes.map((one) => toCrash(one, nowMs));
    const refuted = reported.filter(({ send, crash }) =>
      this.#isRefuted(fingerprint, send, crash)
    );
    const hasOwnRefutations = refuted
      .some(({ send }) => !suspect.refutedAtMs.has(send));
    refuted.forEach(({ send }) => suspect.refutedAtMs.set(send, nowMs));
    this.#removeCrashes(suspect, refuted.map(({ send }) => send));
    const hasNewCrashes = reported
      .filter((one) => !refuted.includes(one))
      .map((one) => this.#addCrash(fingerprint, suspect, one))
      .includes(true);
    this.#updateQuarantines(
      fingerprint,
      hasNewRefutations ? "answered" : "crashes-dismissed",
      nowMs,
    );
    const isEnough = countIncarnations(reported.map(({ crash }) => crash)) >=
      CRASHES_TO_QUARANTINE;
    return {
      isNews: hasNewCrashes || hasNewRefutations,
      isRefutationDue: hasOwnRefutations && isEnough,
    };
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
      .filter(([fingerprint, { crashes }]) =>
        this.#quarantines.has(fingerprint) || crashes.size === 0
      )
      .slice(-MAX_REPORTS)
      .map(([fingerprint, suspect]) =>
        createReport(fingerprint, suspect, nowMs)
      );
  }

  /**
   * Removes suspects whose crashes are too old, and responses and refutations
   * that need no longer be remembered.
   */
  expire(nowMs: number): void {
    const oldestMs = nowMs - REFUTATION_RETENTION_MS;
    removeBefore(this.#answeredAtMs, oldestMs);
    for (const [fingerprint, suspect] of this.#suspects) {
      const { crashes, refutedAtMs } = suspect;
      removeBefore(refutedAtMs, oldestMs);
      const isOver = crashes.size === 0
        ? refutedAtMs.size === 0
        : nowMs - findLastCrashMs([...crashes.values()]) > CRASH_RETENTION_MS;
      if (isOver) {
        this.#removeSuspect(fingerprint, "expired", nowMs);
      }
    }
  }

  /** Whether the request got a response here after the crash, or elsewhere. */
  #isRefuted(fingerprint: string, send: string, { atMs }: Crash): boolean {
    return this.#suspects.get(fingerprint)?.refutedAtMs.has(send) === true ||
      atMs <= (this.#answeredAtMs.get(fingerprint) ?? -Infinity);
  }

  /** Merges the refutations of a report; returns whether any of them is new. */
  #mergeRefuted(
    { refuted = [] }: SuspectReport,
    suspect: Suspect,
    nowMs: number,
  ): boolean {
    const news = refuted.filter((send) => !suspect.refutedAtMs.has(send));
    news.forEach((send) => suspect.refutedAtMs.set(send, nowMs));
    this.#removeCrashes(suspect, news);
    return news.length > 0;
  }

  /**
   * Adds a crash, or the times of a further report of it; returns whether the
   * crash is new.
   */
  #addCrash(
    fingerprint: string,
    suspect: Suspect,
    { send, crash }: { readonly send: string; readonly crash: Crash },
  ): boolean {
    const { crashes } = suspect;
    const known = crashes.get(send);
    if (known !== undefined) {
      this.#changedIncarnations.add(crash.incarnation);
      // The report with the shortest latency has the most accurate times.
      crashes.set(send, {
        incarnation: known.incarnation,
        sentAtMs: Math.min(known.sentAtMs, crash.sentAtMs),
        atMs: Math.min(known.atMs, crash.atMs),
      });
      return false;
    }
    if (crashes.size >= MAX_KEPT_CRASHES) {
      const replaceable = this.#findReplaceable(fingerprint, suspect);
      if (replaceable === undefined) {
        return false;
      }
      this.#removeCrashes(suspect, [replaceable]);
    }
    crashes.set(send, crash);
    this.#changedIncarnations.add(crash.incarnation);
    return true;
  }

  /** Finds a kept crash that changes no decision. */
  #findReplaceable(
    fingerprint: string,
    { crashes }: Suspect,
  ): string | undefined {
    const incarnations = new Set<string>();
    for (const [send, crash] of [...crashes].reverse()) {
      if (
        incarnations.has(crash.incarnation) ||
        this.#isExplained(fingerprint, crash)
      ) {
        return send;
      }
      incarnations.add(crash.incarnation);
    }
    return undefined;
  }

  #removeCrashes({ crashes }: Suspect, sends: readonly string[]): void {
    for (const send of sends) {
      const crash = crashes.get(send);
      if (crash !== undefined) {
        crashes.delete(send);
        this.#changedIncarnations.add(crash.incarnation);
      }
    }
  }

  /** Lists the crashes that the request may have caused. */
  #listCounted(
    fingerprint: string,
    { crashes }: Suspect,
  ): readonly Crash[] {
    return [...crashes.values()]
      .filter((crash) => !this.#isExplained(fingerprint, crash));
  }

  /**
   * Whether another request that crashes targets repeatedly had ended the target
   * before this one was sent to it.
   */
  #isExplained(
    fingerprint: string,
    { incarnation, sentAtMs }: Crash,
  ): boolean {
    const repeated = this.#repeatedByIncarnation.get(incarnation) ?? [];
    return [...repeated].some((other) =>
      other !== fingerprint &&
      [...this.#suspects.get(other)!.crashes.values()].some((crash) =>
        crash.incarnation === incarnation &&
        crash.atMs + LATE_SEND_MS < sentAtMs
      )
    );
  }

  /**
   * Updates the quarantine of a request whose crashes have changed, and those of
   * the requests whose crashes it explains.
   */
  #updateQuarantines(
    fingerprint: string,
    reason: ReleaseReason,
    nowMs: number,
  ): void {
    const suspect = this.#suspects.get(fingerprint);
    const crashes = [...suspect?.crashes.values() ?? []];
    const ended = new Set(crashes.map(({ incarnation }) => incarnation));
    const isRepeated = ended.size >= CRASHES_TO_QUARANTINE;
    const affected = new Set([fingerprint]);
    for (
      const incarnation of new Set([...this.#changedIncarnations, ...ended])
    ) {
      this.#setRepeated(
        fingerprint,
        incarnation,
        isRepeated && ended.has(incarnation),
      );
      for (const other of this.#repeatedByIncarnation.get(incarnation) ?? []) {
        affected.add(other);
      }
    }
    this.#changedIncarnations.clear();
    for (const one of affected) {
      const why = one === fingerprint ? reason : "crashes-dismissed";
      this.#updateQuarantine(one, why, nowMs);
    }
  }

  /** Reports the start or the end of a quarantine, if it has just happened. */
  #updateQuarantine(
    fingerprint: string,
    reason: ReleaseReason,
    nowMs: number,
  ): void {
    const suspect = this.#suspects.get(fingerprint);
    const counted = suspect === undefined
      ? []
      : this.#listCounted(fingerprint, suspect);
    const crashes = countIncarnations(counted);
    const known = this.#quarantines.get(fingerprint);
    if (crashes >= CRASHES_TO_QUARANTINE) {
      const sinceMs = known?.sinceMs ?? nowMs;
      this.#quarantines.set(fingerprint, { sinceMs, crashes: counted });
      if (known === undefined) {
        this.#observe({ kind: "quarantined", fingerprint, crashes });
      }
    } else if (known !== undefined) {
      this.#quarantines.delete(fingerprint);
      const afterMs = Math.round(nowMs - known.sinceMs);
      this.#observe({ kind: "released", fingerprint, reason, afterMs });
    }
  }

  #setRepeated(
    fingerprint: string,
    incarnation: string,
    isRepeated: boolean,
  ): void {
    const requests = this.#repeatedByIncarnation.get(incarnation) ??
      new Set<string>();
    if (isRepeated) {
      requests.add(fingerprint);
    } else {
      requests.delete(fingerprint);
    }
    if (requests.size > 0) {
      this.#repeatedByIncarnation.set(incarnation, requests);
    } else {
      this.#repeatedByIncarnation.delete(incarnation);
    }
  }

  /**
   * Gets or creates a suspect. When the table is full, evicts the one with the
   * fewest crashes.
   */
  #getSuspect(fingerprint: string, nowMs: number): Suspect {
    const suspect = this.#suspects.get(fingerprint) ?? {
      crashes: new Map<string, Crash>(),
      refutedAtMs: new Map<string, number>(),
      clearedAtMs: -Infinity,
      trialAtMs: -Infinity,
    };
    this.#suspects.delete(fingerprint);
    if (this.#suspects.size >= MAX_SUSPECTS) {
      this.#removeSuspect(this.#findEvictionCandidate(), "table-full", nowMs);
    }
    this.#suspects.set(fingerprint, suspect);
    return suspect;
  }

  #removeSuspect(
    fingerprint: string,
    reason: ReleaseReason,
    nowMs: number,
  ): void {
    const suspect = this.#suspects.get(fingerprint)!;
    const sends = [...suspect.crashes.keys()];
    this.#removeCrashes(suspect, sends);
    this.#suspects.delete(fingerprint);
    this.#updateQuarantines(fingerprint, reason, nowMs);
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
  const count = countIncarnations(crashes);
  const durationMs = QUARANTINE_DURATIONS_MS[count - CRASHES_TO_QUARANTINE] ??
    CRASH_RETENTION_MS;
  return findLastCrashMs(crashes) + durationMs;
}

function countIncarnations(crashes: readonly Crash[]): number {
  return new Set(crashes.map(({ incarnation }) => incarnation)).size;
}

function findLastCrashMs(crashes: readonly Crash[]): number {
  return Math.max(...crashes.map(({ atMs }) => atMs));
}

function createReport(
  fingerprint: string,
  { crashes, refutedAtMs, clearedAtMs, trialAtMs }: Suspect,
  nowMs: number,
): SuspectReport {
  const reported = [...crashes].slice(-MAX_REPORTED_CRASHES);
  return {
    fingerprint,
    crashes: reported.map(([send, { incarnation, sentAtMs, atMs }]) => [
      incarnation,
      Math.floor(nowMs - atMs),
      Math.floor(nowMs - sentAtMs),
      send,
    ]),
    refuted: [...refutedAtMs.keys()].slice(-MAX_REPORTED_CRASHES),
    clearedAgeMs: toAge(clearedAtMs, nowMs),
    trialAgeMs: toAge(trialAtMs, nowMs),
  };
}

/** A crash without the name of a send counts as one per incarnation. */
function toCrash(
  [incarnation, ageMs, sentAgeMs, send = incarnation]: ReportedCrash,
  nowMs: number,
): { readonly send: string; readonly crash: Crash } {
  const crash = {
    incarnation,
    sentAtMs: nowMs - sentAgeMs,
    atMs: nowMs - ageMs,
  };
  return { send, crash };
}

function toAge(atMs: number, nowMs: number): number | null {
  return Number.isFinite(atMs) ? Math.floor(nowMs - atMs) : null;
}

function toTime(ageMs: number | null, nowMs: number): number {
  return ageMs === null ? -Infinity : nowMs - ageMs;
}

function removeBefore(times: Map<string, number>, oldestMs: number): void {
  for (const [name, atMs] of times) {
    if (atMs < oldestMs) {
      times.delete(name);
    }
  }
}

function removeOldest(times: Map<string, number>, maxSize: number): void {
  if (times.size > maxSize) {
    times.delete(times.keys().next().value!);
  }
}
