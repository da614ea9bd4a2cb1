/**
 * Quarantines requests that crash their targets, so that no instance sends them
 * to further targets.
 *
 * From its own sends and the targets' entries, an instance detects that a
 * target ended while it ran a request. The instance reports the crash to all
 * others at once, and repeats the report so that every instance receives it.
 */
import {
  isSuccessful,
  isUnsent,
  type SendOutcome,
} from "@lentilspur/ports/request_sender";
import {
  type DismissalReason,
  type UnansweredSend,
  UnansweredSends,
} from "@lentilspur/routing/unanswered_sends";
import {
  CrashSuspects,
  type SuspectDecision,
  type SuspectEvent,
} from "@lentilspur/routing/crash_suspects";
import type { SuspectReport } from "@lentilspur/routing/suspect_report";
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
  /** A quarantine has begun or ended here, or a crash counts no more. */
  | SuspectEvent
  /** A target ended while it ran the request. */
  | {
    readonly kind: "crash";
    readonly fingerprint: string;
    readonly requestId: string;
    readonly targetId: string;
    /** Targets that count against the request now. */
    readonly crashes: number;
    readonly isQuarantined: boolean;
  }
  /** An unanswered send does not count as a crash. */
  | {
    readonly kind: "crash-dismissed";
    readonly fingerprint: string;
    readonly requestId: string;
    readonly targetId: string;
    readonly reason: DismissalReason;
  }
  /** The request is sent once, to see whether it still crashes its target. */
  | {
    readonly kind: "trial";
    readonly fingerprint: string;
    readonly requestId: string;
  }
  /**
   * The request was answered: the crashes had other causes, or the cause is
   * gone.
   */
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

/** A send that has ended. */
export interface CompletedSend {
  readonly target: TargetIncarnation;
  readonly outcome: SendOutcome;
  readonly sentAtMs: number;
  /** Whether the target had begun to respond. */
  readonly hasResponded: boolean;
}

const TICK_MS = 500;
/**
 * Interval at which the local reader reports quarantined and cleared requests,
 * for instances that have just started.
 */
const LIST_INTERVAL_MS = 1_000;
/** How long this instance repeats the report of a change that it observed. */
const REPEAT_REPORT_MS = 3_000;
/** Number of reports that fit into one datagram. */
const REPORTS_PER_MESSAGE = 3;
/** More than leave at one time. */
const MAX_LEAVING = 256;

export class RequestQuarantine {
  readonly #options: RequestQuarantineOptions;
  readonly #unansweredSends: UnansweredSends;
  readonly #suspects: CrashSuspects;
  /** End of the repeated reports of an observed change, by fingerprint. */
  readonly #recentChanges = new Map<string, number>();
  /** Incarnations of targets that have announced that they leave. */
  readonly #leaving = new Set<string>();
  #lastListedAtMs = -Infinity;

  constructor(options: RequestQuarantineOptions) {
    this.#options = options;
    this.#unansweredSends = new UnansweredSends({
      onDismissed: (send, reason) => this.#reportDismissed(send, reason),
    });
    this.#suspects = new CrashSuspects(options.observe);
  }

  countQuarantined(): number {
    return this.#suspects.countQuarantined();
  }

  isQuarantined(context: RequestContext): boolean {
    return !this.#suspects.isEmpty && !context.isTrial &&
      this.#suspects.isQuarantined(getFingerprint(context));
  }

  /** Decides whether a request may be sent now. */
  admit(context: RequestContext): SuspectDecision {
    if (this.#suspects.isEmpty || context.isTrial) {
      return { kind: "admitted" };
    }
    const { clock, observe } = this.#options;
    const fingerprint = getFingerprint(context);
    const decision = this.#suspects.admit(fingerprint, clock.readMs());
    if (decision.kind === "trial") {
      const { requestId } = context.request;
      observe({ kind: "trial", fingerprint, requestId });
      this.#report(fingerprint);
    }
    return decision;
  }

  recordOutcome(context: RequestContext, completed: CompletedSend): void {
    const { target, outcome, sentAtMs } = completed;
    const nowMs = this.#options.clock.readMs();
    switch (outcome.kind) {
      case "answered":
        this.#recordResponse(target, sentAtMs);
        if (isSuccessful(outcome)) {
          this.#clear(context);
        }
        return;
      case "not-run":
        if (outcome.cause === "replaced") {
          // Another target is at its address.
          this.#handleEnded(this.#unansweredSends.takeEnded(target.id));
        } else if (!isUnsent(outcome)) {
          this.#recordResponse(target, sentAtMs);
        }
        return;
      case "unknown":
        if (hasNoResponse(completed)) {
          this.#recordUnanswered({
            fingerprint: getFingerprint(context),
            requestId: context.request.requestId,
            target,
            sentAtMs,
            atMs: nowMs,
          });
        }
        return;
    }
  }

  /**
   * Records a crash of a target that this instance does not reach, if no other
   * instance does (`isConfirmed`). If no other can tell, the own paths count as
   * working once another target has responded.
   */
  handleUnreachable(
    { id }: TargetIncarnation,
    { isConfirmed }: { readonly isConfirmed: boolean },
  ): void {
    // A leaving target ends by itself, not by a crash.
    if (this.#options.findTarget(id)?.leaving === true) {
      return;
    }
    if (isConfirmed) {
      this.#handleEnded(this.#unansweredSends.takeEnded(id));
    } else {
      this.#handleEnded(this.#unansweredSends.takeUnreachable(id), false);
    }
  }

  /**
   * Records a crash if the event shows that a target has ended: its entry is
   * gone for good or names another incarnation.
   */
  handleCatalogueEvent(event: CatalogueEvent): void {
    if (event.kind !== "target") {
      return;
    }
    const { targetId, state } = event;
    const target = this.#options.findTarget(targetId);
    switch (state) {
      case "leaving":
      case "reported-leaving":
      case "present":
        if (target !== undefined) {
          this.#handleEnded(this.#unansweredSends.takeReplaced(target));
        }
        if (target !== undefined && state !== "present") {
          this.#recordLeaving(target);
        }
        return;
      case "gone":
        this.#handleEnded(this.#unansweredSends.takeEnded(targetId));
        return;
      case "missing":
        // It may come back.
        return;
    }
  }

  /**
   * Applies the reports of a message. If the message came from another data
   * centre and this instance is the local reader, it forwards the reports that
   * added something within its data centre.
   */
  apply(message: SuspectsMessage): void {
    const { clock, duties, send } = this.#options;
    const nowMs = clock.readMs();
    const changes = message.reports
      .filter((report) => this.#suspects.merge(report, nowMs));
    this.#sendDueReports();
    if (changes.length > 0) {
      const receivers = duties.listForwardReceivers(message.dataCentre);
      send(receivers, { ...message, reports: changes });
    }
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#unansweredSends.expire(this.#options.clock.readMs());
      if (!this.#suspects.isEmpty) {
        this.#sendRepeats();
      }
      await sleepUntilTick(this.#options.clock, TICK_MS, signal);
    }
  }

  #sendRepeats(): void {
    const { clock, duties } = this.#options;
    const nowMs = clock.readMs();
    this.#suspects.expire(nowMs);
    const reports = new Map<string, SuspectReport>();
    for (const [fingerprint, untilMs] of this.#recentChanges) {
      const report = this.#suspects.createReport(fingerprint, nowMs);
      if (report === undefined || nowMs > untilMs) {
        this.#recentChanges.delete(fingerprint);
      } else {
        reports.set(fingerprint, report);
      }
    }
    if (
      duties.isLocalReader() && nowMs - this.#lastListedAtMs >= LIST_INTERVAL_MS
    ) {
      this.#lastListedAtMs = nowMs;
      for (const report of this.#suspects.listReports(nowMs)) {
        reports.set(report.fingerprint, report);
      }
    }
    this.#send([...reports.values()]);
  }

  /**
   * Reports to all instances what this instance knows of a request, and repeats
   * it for a while.
   */
  #report(fingerprint: string): void {
    const nowMs = this.#options.clock.readMs();
    this.#recentChanges.set(fingerprint, nowMs + REPEAT_REPORT_MS);
    this.#sendReport(fingerprint);
  }

  #sendReport(fingerprint: string): void {
    const nowMs = this.#options.clock.readMs();
    const report = this.#suspects.createReport(fingerprint, nowMs);
    if (report !== undefined) {
      this.#send([report]);
    }
  }

  #sendDueReports(): void {
    for (const fingerprint of this.#suspects.takeDueReports()) {
      this.#sendReport(fingerprint);
    }
  }

  #send(reports: readonly SuspectReport[]): void {
    const { instance: from, dataCentre, duties, send } = this.#options;
    for (const batch of splitReports(reports, REPORTS_PER_MESSAGE)) {
      const message = { kind: "suspects", from, dataCentre } as const;
      send(duties.listBroadcastReceivers(), { ...message, reports: batch });
    }
  }

  #recordResponse(target: TargetIncarnation, sentAtMs: number): void {
    this.#unansweredSends.recordAnswered(target.id, sentAtMs);
    if (!this.#suspects.isEmpty) {
      this.#suspects.recordResponse(hashIncarnation(target), sentAtMs);
    }
  }

  #recordUnanswered(send: UnansweredSend): void {
    const current = this.#options.findTarget(send.target.id);
    if (current !== undefined && current.bornMs === send.target.bornMs) {
      this.#unansweredSends.record(send);
    } else {
      this.#handleEnded([send]);
    }
  }

  #recordLeaving(target: TargetIncarnation): void {
    this.#leaving.add(formatTargetIncarnation(target));
    if (this.#leaving.size > MAX_LEAVING) {
      this.#leaving.delete(this.#leaving.values().next().value!);
    }
  }

  /** Handles unanswered sends whose targets have ended, or very likely have. */
  #handleEnded(sends: readonly UnansweredSend[], isProved = true): void {
    for (const send of sends) {
      if (this.#leaving.has(formatTargetIncarnation(send.target))) {
        // It has ended by itself.
        this.#reportDismissed(send, "target-left");
      } else {
        this.#recordCrash(send, isProved);
      }
    }
  }

  #recordCrash(send: UnansweredSend, isProved: boolean): void {
    const { fingerprint, requestId, target, sentAtMs, atMs } = send;
    const incarnation = hashIncarnation(target);
    const decision = this.#suspects.recordCrash(fingerprint, {
      send: hashToShortText(`${requestId} ${incarnation} ${sentAtMs}`),
      incarnation,
      sentAtMs,
      atMs,
      isProved,
      nowMs: this.#options.clock.readMs(),
    });
    switch (decision.kind) {
      case "recorded":
        this.#reportCounted(send);
        this.#report(fingerprint);
        this.#sendDueReports();
        return;
      case "dismissed":
        this.#reportDismissed(send, decision.reason);
        return;
    }
  }

  #reportCounted({ fingerprint, requestId, target }: UnansweredSend): void {
    const isQuarantined = this.#suspects.isQuarantined(fingerprint);
    const { id: targetId } = target;
    this.#options.observe({
      kind: "crash",
      fingerprint,
      requestId,
      targetId,
      crashes: this.#suspects.countCrashes(fingerprint),
      isQuarantined,
    });
  }

  #reportDismissed(
    { fingerprint, requestId, target }: UnansweredSend,
    reason: DismissalReason,
  ): void {
    const { id: targetId } = target;
    this.#options.observe({
      kind: "crash-dismissed",
      fingerprint,
      requestId,
      targetId,
      reason,
    });
  }

  #clear(context: RequestContext): void {
    if (this.#suspects.isEmpty && this.#unansweredSends.isEmpty) {
      return;
    }
    const { clock, observe } = this.#options;
    const fingerprint = getFingerprint(context);
    this.#unansweredSends.recordRequestAnswered(fingerprint);
    const crashes = this.#suspects.recordAnswered(fingerprint, clock.readMs());
    if (crashes > 0) {
      observe({ kind: "cleared", fingerprint, crashes });
      this.#report(fingerprint);
    }
  }
}

/**
 * Whether the send may have ended its target: no response arrived, or it broke
 * off. A caller may leave before the target ends.
 */
function hasNoResponse({ outcome, hasResponded }: CompletedSend): boolean {
  if (outcome.kind !== "unknown") {
    return false;
  }
  switch (outcome.cause) {
    case "reset":
    case "cut":
    case "silent":
      return true;
    case "cancelled":
      return !hasResponded;
    case "garbled":
      return false;
  }
}

function hashIncarnation(target: TargetIncarnation): string {
  return hashToShortText(formatTargetIncarnation(target));
}
