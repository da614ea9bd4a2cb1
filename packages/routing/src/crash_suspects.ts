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
 * What an instance knows only grows: crashes, and the names of those that are
 * refuted. So the order and the delay of reports do not matter. An instance
 * refutes a crash only by a response that it got itself after the crash, or, if
 * it sent the request itself, by a proof that the target had ended before. It
 * knows its own time exactly, and takes the other one for too late at worst.
 */
import { removeBefore, removeOldest } from "./bounded_collections.ts";
import {
  countIncarnations,
  type Crash,
  findLastCrashMs,
  findRepeatedCrash,
} from "./crash.ts";
import { ProvedEnds } from "./proved_ends.ts";
import {
  computeTrialTime,
  CRASH_RETENTION_MS,
  CRASHES_TO_QUARANTINE,
} from "./quarantine_schedule.ts";
import {
  type SuspectReport,
  toAge,
  toReceivedCrash,
  toTime,
} from "./suspect_report.ts";
import type { DismissalReason } from "./unanswered_sends.ts";

export type SuspectDecision =
  | { readonly kind: "admitted" }
  /** Sent once, to find out whether the request still crashes its target. */
  | { readonly kind: "trial" }
  | {
    readonly kind: "quarantined";
    readonly crashes: number;
    readonly retryAfterMs: number;
  };

/** What becomes of a suspicion at this instance. */
export type SuspectEvent =
  /** Counted crashes under own sends that were sent after the targets' ends. */
  | {
    readonly kind: "refuted";
    readonly fingerprint: string;
    readonly reason: "target-had-ended";
    readonly crashes: number;
  }
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
  /** Targets had ended before the request was sent to them. */
  | "crashes-dismissed"
  /** Its crashes are too old. */
  | "expired"
  /** Too many others are kept. */
  | "table-full";

/** What becomes of a crash that this instance has observed. */
export type CrashDecision =
  | { readonly kind: "recorded" }
  | { readonly kind: "dismissed"; readonly reason: DismissalReason };

/** A crash that this instance has observed, now that the end is known. */
export interface ObservedCrash {
  /** Name of the send, which no other send has. */
  readonly send: string;
  readonly incarnation: string;
  readonly sentAtMs: number;
  /** When the send failed. */
  readonly atMs: number;
  /** Whether the target's end is proved, not just likely. */
  readonly isProved: boolean;
  readonly nowMs: number;
}

interface Suspect {
  /** By the name of the send. */
  readonly crashes: Map<string, Crash>;
  /** When each refutation became known, by the name of the send. */
  readonly refutedAtMs: Map<string, number>;
  /** The incarnations under which it is listed as repeated. */
  repeatedOn: ReadonlySet<string>;
  clearedAtMs: number;
  trialAtMs: number;
  /** As far as this instance knows; those at the same moment count as one. */
  trials: number;
}

interface Quarantine {
  readonly sinceMs: number;
  readonly crashes: readonly Crash[];
}

/**
 * How long a refutation and a response are remembered: reports of older crashes
 * may still be in flight, but for less than this.
 */
const REFUTATION_RETENTION_MS = 60_000;
const MAX_SUSPECTS = 1_024;
const MAX_RESPONSES = 1_024;
/** Per request; those of crashes that are still reported are among them. */
const MAX_REFUTATIONS = 32;
/** More than the longest quarantine takes. */
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
  readonly #ends = new ProvedEnds();
  /** Requests of which other instances have to know what is refuted here. */
  readonly #dueReports = new Set<string>();
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

  /** Counts the targets that crashed while they ran a request. */
  countCrashes(fingerprint: string): number {
    const suspect = this.#suspects.get(fingerprint);
    return countIncarnations([...suspect?.crashes.values() ?? []]);
  }

  /** Records a crash that this instance has observed. */
  recordCrash(
    fingerprint: string,
    { send, isProved, nowMs, ...times }: ObservedCrash,
  ): CrashDecision {
    const suspect = this.#getSuspect(fingerprint, nowMs);
    const crash = { ...times, isOwn: true };
    if (this.#isSentAfterEnd(crash)) {
      return { kind: "dismissed", reason: "target-had-ended" };
    }
    if (isProved) {
      this.#recordEnd(crash.incarnation, nowMs);
    }
    if (this.#isRefuted(fingerprint, send, crash)) {
      return { kind: "dismissed", reason: "request-answered" };
    }
    if (!this.#addCrash(suspect, { send, crash })) {
      return { kind: "dismissed", reason: "table-full" };
    }
    this.#updateQuarantines(fingerprint, "crashes-dismissed", nowMs);
    return { kind: "recorded" };
  }

  /** Records that a target has responded to a request. */
  recordResponse(incarnation: string, sentAtMs: number): void {
    this.#ends.recordResponse(incarnation, sentAtMs);
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
    const { crashes } = suspect;
    const count = countIncarnations([...crashes.values()]);
    suspect.clearedAtMs = nowMs;
    this.#refute(suspect, [...crashes.keys()], nowMs);
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
    const endsAtMs = computeTrialTime({
      fingerprint,
      crashes: quarantine.crashes,
      trialAtMs: suspect.trialAtMs,
      trials: suspect.trials,
      isAmbiguous: this.#isAmbiguous(quarantine),
    });
    if (nowMs >= endsAtMs) {
      suspect.trialAtMs = nowMs;
      suspect.trials++;
      return { kind: "trial" };
    }
    return {
      kind: "quarantined",
      crashes: countIncarnations(quarantine.crashes),
      retryAfterMs: endsAtMs - nowMs,
    };
  }

  /** Merges a report from another instance; returns whether it adds anything. */
  merge(report: SuspectReport, nowMs: number): boolean {
    const { fingerprint, trialAgeMs } = report;
    const suspect = this.#getSuspect(fingerprint, nowMs);
    suspect.trialAtMs = Math.max(suspect.trialAtMs, toTime(trialAgeMs, nowMs));
    suspect.trials = Math.max(suspect.trials, report.trials ?? 0);
    const hasNewRefutations = this.#mergeRefuted(report, suspect, nowMs);
    const reported = report.crashes
      .map((one) => toReceivedCrash(one, nowMs));
    for (const { crash, provedAtMs } of reported) {
      if (provedAtMs !== undefined) {
        this.#recordEnd(crash.incarnation, provedAtMs);
      }
    }
    const refuted = reported.filter(({ send, crash }) =>
      this.#isRefuted(fingerprint, send, crash)
    );
    const hasOwnRefutations = refuted
      .some(({ send }) => !suspect.refutedAtMs.has(send));
    this.#refute(suspect, refuted.map(({ send }) => send), nowMs);
    const hasNewCrashes = reported
      .filter((one) => !refuted.includes(one))
      .map((one) => this.#addCrash(suspect, one))
      .includes(true);
    const isEnough = countIncarnations(reported.map(({ crash }) => crash)) >=
      CRASHES_TO_QUARANTINE;
    if (hasOwnRefutations && isEnough) {
      this.#dueReports.add(fingerprint);
    }
    this.#updateQuarantines(
      fingerprint,
      hasNewRefutations ? "answered" : "crashes-dismissed",
      nowMs,
    );
    return hasNewCrashes || hasNewRefutations;
  }

  /**
   * Returns the requests of which others have to be told, since this instance
   * has refuted crashes for which they quarantine them.
   */
  takeDueReports(): readonly string[] {
    const due = [...this.#dueReports];
    this.#dueReports.clear();
    return due;
  }

  createReport(fingerprint: string, nowMs: number): SuspectReport | undefined {
    const suspect = this.#suspects.get(fingerprint);
    return suspect === undefined
      ? undefined
      : this.#createReport(fingerprint, suspect, nowMs);
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
        this.#createReport(fingerprint, suspect, nowMs)
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

  /** Whether the target's end was proved before this instance sent the request. */
  #isSentAfterEnd({ isOwn, incarnation, sentAtMs }: Crash): boolean {
    return isOwn && this.#ends.isBefore(incarnation, sentAtMs);
  }

  /** Merges the refutations of a report; returns whether any of them is new. */
  #mergeRefuted(
    { refuted = [] }: SuspectReport,
    suspect: Suspect,
    nowMs: number,
  ): boolean {
    const news = refuted.filter((send) => !suspect.refutedAtMs.has(send));
    this.#refute(suspect, news, nowMs);
    return news.length > 0;
  }

  #refute(suspect: Suspect, sends: readonly string[], nowMs: number): void {
    for (const send of sends) {
      suspect.refutedAtMs.delete(send);
      suspect.refutedAtMs.set(send, nowMs);
      removeOldest(suspect.refutedAtMs, MAX_REFUTATIONS);
    }
    this.#removeCrashes(suspect, sends);
  }

  #recordEnd(incarnation: string, provedAtMs: number): void {
    this.#ends.record(incarnation, provedAtMs);
    this.#changedIncarnations.add(incarnation);
  }

  /**
   * Adds a crash, or the times of a further report of it; returns whether the
   * crash is new.
   */
  #addCrash(
    suspect: Suspect,
    { send, crash }: { readonly send: string; readonly crash: Crash },
  ): boolean {
    const { crashes } = suspect;
    const known = crashes.get(send);
    if (known !== undefined) {
      this.#changedIncarnations.add(crash.incarnation);
      // The report with the shortest latency has the most accurate times.
      crashes.set(send, {
        ...known,
        sentAtMs: Math.min(known.sentAtMs, crash.sentAtMs),
        atMs: Math.min(known.atMs, crash.atMs),
      });
      return false;
    }
    if (crashes.size >= MAX_KEPT_CRASHES) {
      const replaceable = findRepeatedCrash(crashes);
      if (replaceable === undefined) {
        return false;
      }
      this.#removeCrashes(suspect, [replaceable]);
    }
    crashes.set(send, crash);
    this.#changedIncarnations.add(crash.incarnation);
    return true;
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

  /**
   * Whether another request that may be quarantined was running on each of the
   * targets.
   */
  #isAmbiguous({ crashes }: Quarantine): boolean {
    return crashes.every(({ incarnation }) =>
      (this.#repeatedByIncarnation.get(incarnation)?.size ?? 0) > 1
    );
  }

  /**
   * Updates the quarantine of a request whose crashes have changed, and those of
   * the requests that ran on the same targets.
   */
  #updateQuarantines(
    fingerprint: string,
    reason: ReleaseReason,
    nowMs: number,
  ): void {
    const affected = new Set([fingerprint]);
    for (const incarnation of this.#changedIncarnations) {
      for (const other of this.#repeatedByIncarnation.get(incarnation) ?? []) {
        affected.add(other);
      }
    }
    for (const one of affected) {
      this.#refuteLate(one, nowMs);
      this.#updateRepeated(one);
      const why = one === fingerprint ? reason : "crashes-dismissed";
      this.#updateQuarantine(one, why, nowMs);
    }
    this.#changedIncarnations.clear();
  }

  /** Reports the start or the end of a quarantine, if it has just happened. */
  #updateQuarantine(
    fingerprint: string,
    reason: ReleaseReason,
    nowMs: number,
  ): void {
    const suspect = this.#suspects.get(fingerprint);
    const counted = [...suspect?.crashes.values() ?? []];
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

  /**
   * Refutes crashes of targets whose ends turn out to have been proved before
   * this instance sent the request to them.
   */
  #refuteLate(fingerprint: string, nowMs: number): void {
    const suspect = this.#suspects.get(fingerprint);
    const late = [...suspect?.crashes ?? []]
      .filter(([, crash]) => this.#isSentAfterEnd(crash))
      .map(([send]) => send);
    if (suspect !== undefined && late.length > 0) {
      this.#refute(suspect, late, nowMs);
      this.#dueReports.add(fingerprint);
      this.#observe({
        kind: "refuted",
        fingerprint,
        reason: "target-had-ended",
        crashes: late.length,
      });
    }
  }

  /** Lists a request under its targets while it may be quarantined. */
  #updateRepeated(fingerprint: string): void {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) {
      return;
    }
    const ended = new Set(
      [...suspect.crashes.values()].map(({ incarnation }) => incarnation),
    );
    const repeatedOn = ended.size >= CRASHES_TO_QUARANTINE
      ? ended
      : new Set<string>();
    for (const incarnation of suspect.repeatedOn) {
      const requests = this.#repeatedByIncarnation.get(incarnation);
      requests?.delete(fingerprint);
      if (requests?.size === 0) {
        this.#repeatedByIncarnation.delete(incarnation);
      }
    }
    for (const incarnation of repeatedOn) {
      const requests = this.#repeatedByIncarnation.get(incarnation) ??
        new Set<string>();
      this.#repeatedByIncarnation.set(incarnation, requests.add(fingerprint));
    }
    suspect.repeatedOn = repeatedOn;
  }

  /**
   * Gets or creates a suspect. When the table is full, evicts the one with the
   * fewest crashes.
   */
  #getSuspect(fingerprint: string, nowMs: number): Suspect {
    const suspect = this.#suspects.get(fingerprint) ?? {
      crashes: new Map<string, Crash>(),
      refutedAtMs: new Map<string, number>(),
      repeatedOn: new Set<string>(),
      clearedAtMs: -Infinity,
      trialAtMs: -Infinity,
      trials: 0,
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
    this.#updateRepeated(fingerprint);
    this.#suspects.delete(fingerprint);
    this.#updateQuarantine(fingerprint, reason, nowMs);
  }

  #createReport(
    fingerprint: string,
    suspect: Suspect,
    nowMs: number,
  ): SuspectReport {
    const { crashes, refutedAtMs, clearedAtMs, trialAtMs, trials } = suspect;
    return {
      fingerprint,
      crashes: listReported(crashes).map((
        [send, { incarnation, sentAtMs, atMs }],
      ) => [
        incarnation,
        Math.floor(nowMs - atMs),
        Math.floor(nowMs - sentAtMs),
        send,
        toAge(this.#ends.get(incarnation) ?? -Infinity, nowMs),
      ]),
      refuted: [...refutedAtMs.keys()].slice(-MAX_REPORTED_CRASHES),
      clearedAgeMs: toAge(clearedAtMs, nowMs),
      trialAgeMs: toAge(trialAtMs, nowMs),
      trials,
    };
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

/** Lists one crash for each target, of the last targets. */
function listReported(
  crashes: ReadonlyMap<string, Crash>,
): readonly (readonly [send: string, crash: Crash])[] {
  const byIncarnation = new Map(
    [...crashes].map((one) => [one[1].incarnation, one]),
  );
  return [...byIncarnation.values()].slice(-MAX_REPORTED_CRASHES);
}
