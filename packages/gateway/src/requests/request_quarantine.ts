/**
 * Keeps requests that crash their targets from being sent to the next ones,
 * whichever instance they come to.
 *
 * What shows that a target has ended while it was at work on a request comes
 * from this instance's sends and from the targets' entries; the crashes are told
 * to all instances at once, and told again until everybody has heard of them.
 */
import {
  isSuccessful,
  type SendOutcome,
} from "@lentilspur/ports/request_sender";
import {
  type UnansweredSend,
  UnansweredSends,
} from "@lentilspur/routing/unanswered_sends";
import {
  CrashSuspects,
  type SuspectDecision,
  type SuspectReport,
} from "@lentilspur/routing/crash_suspects";
import {
  formatTargetIncarnation,
  type TargetIncarnation,
} from "@lentilspur/routing/target_incarnation";
import { sleepUntilTick } from "@lentilspur/ports/tick";
import type { CatalogueEvent } from "../views/catalogue_event.ts";
import { getFingerprint, type RequestContext } from "./request_context.ts";
import type { PeerMessage } from "../peers/peer_message.ts";
import type { PeerOptions } from "../peers/peer_options.ts";
import { splitReports } from "../peers/report_datagrams.ts";
import { hashToShortText } from "../members/stable_hash.ts";

type SuspectsMessage = PeerMessage & { readonly kind: "suspects" };

export type QuarantineEvent =
  /** A target ended while it was at work on the request. */
  | {
    readonly kind: "crash";
    readonly fingerprint: string;
    readonly targetId: string;
    readonly isQuarantined: boolean;
  }
  /** It is sent once, to see whether it still crashes its target. */
  | {
    readonly kind: "trial";
    readonly fingerprint: string;
    readonly requestId: string;
  }
  /** It was answered: the crashes had other causes, or the cause is gone. */
  | {
    readonly kind: "cleared";
    readonly fingerprint: string;
    readonly crashes: number;
  };

export interface RequestQuarantineOptions extends PeerOptions {
  readonly findTarget: (
    id: string,
  ) => (TargetIncarnation & { readonly leaving: boolean }) | undefined;

  readonly observe: (event: QuarantineEvent) => void;
}

/** What came of a send. */
export interface CompletedSend {
  readonly target: TargetIncarnation;
  readonly outcome: SendOutcome;
  readonly sentAtMs: number;
  /** Given up since its answer was overdue. */
  readonly isOverdue: boolean;
}

const TICK_MS = 500;
/** What an instance that has just started has to know is told this often. */
const LIST_EVERY_MS = 1_000;
/** What this instance has observed is told again for this long. */
const TOLD_AGAIN_MS = 3_000;
/** What fits into one datagram. */
const REPORTS_PER_MESSAGE = 4;

export class RequestQuarantine {
  readonly #options: RequestQuarantineOptions;
  readonly #broken = new UnansweredSends();
  readonly #suspects = new CrashSuspects();
  /** Until when a change that this instance observed is told again. */
  readonly #recentChanges = new Map<string, number>();
  #listedAtMs = -Infinity;

  constructor(options: RequestQuarantineOptions) {
    this.#options = options;
  }

  countQuarantined(): number {
    return this.#suspects.countQuarantined();
  }

  isQuarantined(passage: RequestContext): boolean {
    return !this.#suspects.isEmpty && !passage.isTrial &&
      this.#suspects.isQuarantined(getFingerprint(passage));
  }

  /** Whether a request may be sent on now. */
  admit(passage: RequestContext): SuspectDecision {
    if (this.#suspects.isEmpty || passage.isTrial) {
      return { kind: "admitted" };
    }
    const { clock, observe } = this.#options;
    const fingerprint = getFingerprint(passage);
    const decision = this.#suspects.admit(fingerprint, clock.readMs());
    if (decision.kind === "trial") {
      const { requestId } = passage.request;
      observe({ kind: "trial", fingerprint, requestId });
      this.#report(fingerprint);
    }
    return decision;
  }

  recordOutcome(passage: RequestContext, end: CompletedSend): void {
    const { target, outcome, sentAtMs } = end;
    const nowMs = this.#options.clock.readMs();
    switch (outcome.kind) {
      case "answered":
        this.#broken.recordAnswered(target.id, sentAtMs);
        if (isSuccessful(outcome)) {
          this.#clear(passage);
        }
        return;
      case "not-run":
        if (outcome.cause === "unreachable") {
          this.#recordCrashes(this.#broken.takeUnreachable(target.id, nowMs));
        } else if (outcome.cause !== "replaced") {
          this.#broken.recordAnswered(target.id, sentAtMs);
        }
        return;
      case "unknown":
        if (hasNoAnswer(end)) {
          const fingerprint = getFingerprint(passage);
          this.#broken.record({ fingerprint, target, sentAtMs, atMs: nowMs });
        }
        return;
    }
  }

  /** An entry that goes, or names another life, shows that a target has ended. */
  handleCatalogueEvent(event: CatalogueEvent): void {
    if (event.kind !== "target") {
      return;
    }
    const { clock, findTarget } = this.#options;
    const { targetId, state } = event;
    const known = findTarget(targetId);
    const nowMs = clock.readMs();
    switch (state) {
      case "present":
        this.#recordCrashes(this.#broken.takeEnded(targetId, nowMs, known));
        return;
      case "missing": {
        const ended = this.#broken.takeEnded(targetId, nowMs);
        // One that leaves ends by itself.
        this.#recordCrashes(known?.leaving === true ? [] : ended);
        return;
      }
      case "leaving":
      case "gone":
        return;
    }
  }

  apply(message: SuspectsMessage): void {
    const { clock, duties, send } = this.#options;
    const nowMs = clock.readMs();
    const news = message.reports
      .filter((report) => this.#suspects.merge(report, nowMs));
    if (news.length > 0) {
      const to = duties.listForwardReceivers(message.dataCentre);
      send(to, { ...message, reports: news });
    }
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.#suspects.isEmpty) {
        this.#sendAgain();
      }
      await sleepUntilTick(this.#options.clock, TICK_MS, signal);
    }
  }

  #sendAgain(): void {
    const { clock, duties } = this.#options;
    const nowMs = clock.readMs();
    this.#suspects.expire(nowMs);
    const reports = new Map<string, SuspectReport>();
    for (const [fingerprint, untilMs] of this.#recentChanges) {
      const report = this.#suspects.describe(fingerprint, nowMs);
      if (report === undefined || nowMs > untilMs) {
        this.#recentChanges.delete(fingerprint);
      } else {
        reports.set(fingerprint, report);
      }
    }
    if (duties.isLocalReader() && nowMs - this.#listedAtMs >= LIST_EVERY_MS) {
      this.#listedAtMs = nowMs;
      for (const report of this.#suspects.listReports(nowMs)) {
        reports.set(report.fingerprint, report);
      }
    }
    this.#send([...reports.values()]);
  }

  /** Tells all instances what is known of a request now. */
  #report(fingerprint: string): void {
    const nowMs = this.#options.clock.readMs();
    const report = this.#suspects.describe(fingerprint, nowMs);
    if (report !== undefined) {
      this.#recentChanges.set(fingerprint, nowMs + TOLD_AGAIN_MS);
      this.#send([report]);
    }
  }

  #send(reports: readonly SuspectReport[]): void {
    const { instance: from, dataCentre, duties, send } = this.#options;
    for (const some of splitReports(reports, REPORTS_PER_MESSAGE)) {
      const message = { kind: "suspects", from, dataCentre } as const;
      send(duties.listBroadcastReceivers(), { ...message, reports: some });
    }
  }

  #recordCrashes(sends: readonly UnansweredSend[]): void {
    for (const { fingerprint, target, ...times } of sends) {
      if (this.#suspects.recordCrash(fingerprint, hashLife(target), times)) {
        const isQuarantined = this.#suspects.isQuarantined(fingerprint);
        const { id: targetId } = target;
        this.#options
          .observe({ kind: "crash", fingerprint, targetId, isQuarantined });
        this.#report(fingerprint);
      }
    }
  }

  #clear(passage: RequestContext): void {
    if (this.#suspects.isEmpty) {
      return;
    }
    const { clock, observe } = this.#options;
    const fingerprint = getFingerprint(passage);
    const crashes = this.#suspects.recordAnswered(fingerprint, clock.readMs());
    if (crashes > 0) {
      observe({ kind: "cleared", fingerprint, crashes });
      this.#report(fingerprint);
    }
  }
}

/** Whether nothing has come back, and the target may have ended. */
function hasNoAnswer({ outcome, isOverdue }: CompletedSend): boolean {
  if (outcome.kind !== "unknown") {
    return false;
  }
  switch (outcome.cause) {
    case "reset":
    case "cut":
    case "silent":
      return true;
    case "cancelled":
      return isOverdue;
    case "garbled":
      return false;
  }
}

function hashLife(target: TargetIncarnation): string {
  return hashToShortText(formatTargetIncarnation(target));
}
