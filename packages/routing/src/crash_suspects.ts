/**
 * Requests under which targets have crashed, and which of them are sent to no
 * target for a while.
 *
 * Failure: a request crashes whoever runs it, and its caller sends it again and
 * again, each time under a new id and through another instance. Limits of one
 * attempt or of one instance never see it. So crashes are counted by request,
 * over all instances: what one observes is merged by all.
 *
 * An innocent request may have been at work at a target that crashed. One answer
 * clears it, wherever it came from; and a request in quarantine is tried once
 * when the quarantine is over.
 */

/** What instances tell each other of one request; ages in milliseconds. */
export interface SuspectReport {
  readonly fingerprint: string;
  /** Of each target that crashed: a name of that life of it, and how long ago. */
  readonly crashes: readonly (readonly [
    life: string,
    ageMs: number,
    /** Since the request was sent to it. */
    sentAgeMs: number,
  ])[];
  /** Since its last answer; null where there was none. */
  readonly clearedAgeMs: number | null;
  /** Since it was last tried in spite of its crashes. */
  readonly trialAgeMs: number | null;
}

export type SuspectDecision =
  | { readonly kind: "admitted" }
  /** Sent once, to see whether it still crashes its target. */
  | { readonly kind: "trial" }
  | {
    readonly kind: "quarantined";
    readonly crashes: number;
    readonly retryAfterMs: number;
  };

/** A send that broke with its target; own clock. */
export interface Crash {
  readonly sentAtMs: number;
  readonly atMs: number;
}

interface Suspect {
  /** By life of a target. */
  readonly crashes: Map<string, Crash>;
  clearedAtMs: number;
  trialAtMs: number;
}

/** Crashes that put a request into quarantine; fewer may be chance. */
const MAX_CRASHES = 3;
/**
 * How long a quarantine lasts after the third crash and after the fourth. After
 * the fifth it lasts until the crashes are forgotten.
 */
const QUARANTINES_MS = [30_000, 600_000] as const;
/** A trial has shown by now whether its target survives. */
const TRIAL_MS = 6_000;
/** A request that has crashed nothing for this long starts anew. */
const FORGET_MS = 24 * 3_600_000;
/** Older reports of crashes are still on their way for less than this. */
const CLEARED_KEPT_MS = 60_000;
const MAX_SUSPECTS = 1_024;
/**
 * What was sent to a target later than this after it had ended has not ended it.
 * Times from other instances are late by as long as their datagrams took.
 */
const LATE_SEND_MS = 100;
const MAX_LIVES = 1_024;
/** More of them change no decision. */
const MAX_KEPT_CRASHES = 5;
/** Reports that are told again and again: one or two datagrams each second. */
const MAX_REPORTS = 12;

export class CrashSuspects {
  readonly #suspects = new Map<string, Suspect>();
  /** When each life of a target ended: when the first send to it broke. */
  readonly #endedAtMs = new Map<string, number>();

  /** Whether there is no suspect at all, which saves callers the fingerprint. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  countQuarantined(): number {
    return [...this.#suspects.values()]
      .filter((suspect) => this.#isQuarantined(suspect)).length;
  }

  /** False where that crash is known, or an answer has come since. */
  recordCrash(fingerprint: string, life: string, crash: Crash): boolean {
    this.#recordEnd(life, crash.atMs);
    const { crashes, clearedAtMs } = this.#claim(fingerprint);
    const known = crashes.get(life);
    if (known !== undefined) {
      // The report that was the shortest time on its way is the nearest.
      crashes.set(life, {
        sentAtMs: Math.min(known.sentAtMs, crash.sentAtMs),
        atMs: Math.min(known.atMs, crash.atMs),
      });
      return false;
    }
    if (crash.atMs <= clearedAtMs || crashes.size >= MAX_KEPT_CRASHES) {
      return false;
    }
    crashes.set(life, crash);
    return true;
  }

  /** The request has been answered. Gives how many crashes that clears. */
  recordAnswered(fingerprint: string, nowMs: number): number {
    const suspect = this.#suspects.get(fingerprint);
    const crashes = suspect?.crashes.size ?? 0;
    if (suspect !== undefined && crashes > 0) {
      suspect.clearedAtMs = nowMs;
      suspect.crashes.clear();
    }
    return crashes;
  }

  isQuarantined(fingerprint: string): boolean {
    const suspect = this.#suspects.get(fingerprint);
    return suspect !== undefined && this.#isQuarantined(suspect);
  }

  /** Whether a request may be sent now; marks the trial that it allows. */
  admit(fingerprint: string, nowMs: number): SuspectDecision {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || !this.#isQuarantined(suspect)) {
      return { kind: "admitted" };
    }
    const crashes = this.#listCrashes(suspect);
    const endsAtMs = Math.max(
      computeQuarantineEnd(crashes),
      suspect.trialAtMs + TRIAL_MS,
    );
    if (nowMs >= endsAtMs) {
      suspect.trialAtMs = nowMs;
      return { kind: "trial" };
    }
    const retryAfterMs = endsAtMs - nowMs;
    return { kind: "quarantined", crashes: crashes.length, retryAfterMs };
  }

  /** Takes over what another instance knows; true where it was news. */
  merge(report: SuspectReport, nowMs: number): boolean {
    const { fingerprint, crashes, clearedAgeMs, trialAgeMs } = report;
    const suspect = this.#claim(fingerprint);
    let isNews = false;
    const clearedAtMs = toTime(clearedAgeMs, nowMs);
    if (clearedAtMs > suspect.clearedAtMs) {
      isNews = removeUntil(suspect.crashes, clearedAtMs);
      suspect.clearedAtMs = clearedAtMs;
    }
    suspect.trialAtMs = Math.max(suspect.trialAtMs, toTime(trialAgeMs, nowMs));
    for (const [life, ageMs, sentAgeMs] of crashes) {
      const crash = { sentAtMs: nowMs - sentAgeMs, atMs: nowMs - ageMs };
      const isNew = this.recordCrash(fingerprint, life, crash);
      isNews ||= isNew;
    }
    return isNews;
  }

  describe(fingerprint: string, nowMs: number): SuspectReport | undefined {
    const suspect = this.#suspects.get(fingerprint);
    return suspect === undefined
      ? undefined
      : createReport(fingerprint, suspect, nowMs);
  }

  /** What an instance that has just started has to know, the newest first. */
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

  /** Forgets what is over. */
  expire(nowMs: number): void {
    for (const [fingerprint, { crashes, clearedAtMs }] of this.#suspects) {
      const isOver = crashes.size === 0
        ? nowMs - clearedAtMs > CLEARED_KEPT_MS
        : nowMs - findLast([...crashes.values()]) > FORGET_MS;
      if (isOver) {
        this.#suspects.delete(fingerprint);
      }
    }
  }

  #isQuarantined(suspect: Suspect): boolean {
    return this.#listCrashes(suspect).length >= MAX_CRASHES;
  }

  /** Those that the request may have brought about. */
  #listCrashes({ crashes }: Suspect): readonly Crash[] {
    return [...crashes]
      .filter(([life, { sentAtMs }]) =>
        sentAtMs <= (this.#endedAtMs.get(life) ?? Infinity) + LATE_SEND_MS
      )
      .map(([, crash]) => crash);
  }

  #recordEnd(life: string, atMs: number): void {
    const known = this.#endedAtMs.get(life) ?? Infinity;
    this.#endedAtMs.delete(life);
    this.#endedAtMs.set(life, Math.min(known, atMs));
    if (this.#endedAtMs.size > MAX_LIVES) {
      this.#endedAtMs.delete(this.#endedAtMs.keys().next().value!);
    }
  }

  /** A flood of suspects pushes out those with the fewest crashes. */
  #claim(fingerprint: string): Suspect {
    const suspect = this.#suspects.get(fingerprint) ?? {
      crashes: new Map<string, Crash>(),
      clearedAtMs: -Infinity,
      trialAtMs: -Infinity,
    };
    this.#suspects.delete(fingerprint);
    if (this.#suspects.size >= MAX_SUSPECTS) {
      this.#suspects.delete(this.#findLeast());
    }
    this.#suspects.set(fingerprint, suspect);
    return suspect;
  }

  #findLeast(): string {
    let least = "";
    let fewest = Infinity;
    for (const [fingerprint, { crashes }] of this.#suspects) {
      if (crashes.size < fewest) {
        least = fingerprint;
        fewest = crashes.size;
      }
    }
    return least;
  }
}

function computeQuarantineEnd(crashes: readonly Crash[]): number {
  const lengthMs = QUARANTINES_MS[crashes.length - MAX_CRASHES] ?? FORGET_MS;
  return findLast(crashes) + lengthMs;
}

function findLast(crashes: readonly Crash[]): number {
  return Math.max(...crashes.map(({ atMs }) => atMs));
}

function createReport(
  fingerprint: string,
  { crashes, clearedAtMs, trialAtMs }: Suspect,
  nowMs: number,
): SuspectReport {
  return {
    fingerprint,
    crashes: [...crashes].map(([life, { sentAtMs, atMs }]) => [
      life,
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

/** True where any was removed. */
function removeUntil(crashes: Map<string, Crash>, untilMs: number): boolean {
  const before = crashes.size;
  for (const [life, { atMs }] of crashes) {
    if (atMs <= untilMs) {
      crashes.delete(life);
    }
  }
  return crashes.size < before;
}
