/**
 * One dispatch: wait for a place of the target, ask the authority once more,
 * send in the same turn, and record what became of it.
 */
import {
  makeRequestError,
  type RequestError,
} from "@lentilspur/outcomes/error_kinds";
import type { Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type {
  DispatchFailure,
  TargetAnswer,
  TargetPort,
} from "@lentilspur/ports/target";
import type {
  DecisionSink,
  RequestSubject,
} from "@lentilspur/proof/decision_line";
import type { Authority } from "../authority.ts";
import type { StateSource } from "../state_source.ts";
import {
  toDispatchRequest,
  toObservation,
  toScheduledJob,
} from "./dispatch_conversion.ts";
import { makeCancelledError, makeRefusalError } from "./dispatch_errors.ts";
import type { ForwardJob } from "./forward_job.ts";
import { LateWatch } from "./late_watch.ts";
import { LoadMeter } from "./load_meter.ts";
import type { Permitted } from "./permission_gate.ts";
import { TargetContacts } from "./target_contacts.ts";
import { type TargetLane, TargetLanes } from "./target_lanes.ts";
import type { PlaceDecision } from "./target_queue.ts";
import { UnitActivity } from "./unit_activity.ts";
import { UnknownOutcomes } from "./unknown_outcomes.ts";

export type RunResult =
  | {
    readonly kind: "answered";
    readonly answer: TargetAnswer;
    readonly target: string;
  }
  | {
    readonly kind: "failed";
    readonly failure: DispatchFailure;
    readonly target: string;
    /** The answer was late; a retry has been claimed for it. */
    readonly isGivenUp: boolean;
  }
  /** Never sent. */
  | { readonly kind: "refused"; readonly error: RequestError }
  /** Never sent: the permission changed while the request was queued. */
  | { readonly kind: "moved" };

export interface TargetRunnerOptions {
  readonly authority: Authority;
  readonly state: StateSource;
  readonly targets: TargetPort;
  readonly clock: Clock;
  readonly decisions: DecisionSink;
}

export interface RunOptions {
  readonly signal: AbortSignal;
  /** Called in the turn in which the request is sent. */
  readonly markDispatched: () => void;
  /** Called once if the answer is late; true gives it up for a retry. */
  readonly claimRetry: () => boolean;
}

/** A request whose turn has come; the place must be released. */
interface Turn {
  readonly kind: "turn";
  readonly permission: Permitted;
  readonly queuedMs: number;
  readonly startedAtMs: number;
  /** What the target is given, from now. */
  readonly remainingMs: number;
}

export class TargetRunner {
  readonly activity = new UnitActivity();
  readonly contacts = new TargetContacts();
  readonly meter = new LoadMeter();
  readonly unknowns: UnknownOutcomes;
  readonly #options: TargetRunnerOptions;
  readonly #lanes: TargetLanes;
  #jobCount = 0;

  constructor(options: TargetRunnerOptions) {
    this.#options = options;
    this.#lanes = new TargetLanes(options.clock);
    this.unknowns = new UnknownOutcomes(options.clock);
  }

  async run(
    job: ForwardJob,
    permission: Permitted,
    options: RunOptions,
  ): Promise<RunResult> {
    const { clock } = this.#options;
    const lane = this.#lanes.claim(permission.target.id, job.template);
    const id = String(this.#jobCount++);
    const scheduled = toScheduledJob(job, permission, {
      id,
      nowMs: clock.readMs(),
    });
    const place = await lane.queue.waitForPlace(scheduled, options.signal);
    const turn = this.#takeTurn(job, permission, place);
    if (turn.kind !== "turn") {
      lane.queue.release(id, { kind: "failed", serviceMs: 0 });
      return turn;
    }
    options.markDispatched();
    const watch = this.#watchLateness(lane, id, { job, turn, options });
    const signal = watch?.signal ?? options.signal;
    const result = await this.#dispatch(job, turn, signal);
    watch?.close();
    const now = clock.readMs();
    const serviceMs = now - turn.startedAtMs;
    if (result.ok) {
      lane.timeout.observe(serviceMs, now);
    }
    lane.queue.release(id, toObservation(result, serviceMs));
    const target = turn.permission.target.id;
    return result.ok
      ? { kind: "answered", answer: result.val, target }
      : toFailed(result.val, target, watch?.isGivenUp ?? false);
  }

  /**
   * Guards against a pause, or a move, between the first check and this turn:
   * a lease that lapsed meanwhile shows here. From here to the write nothing
   * waits.
   */
  #takeTurn(
    job: ForwardJob,
    permission: Permitted,
    place: PlaceDecision,
  ): Turn | Extract<RunResult, { readonly kind: "refused" | "moved" }> {
    switch (place.kind) {
      case "refused":
        return { kind: "refused", error: makeRefusalError(place) };
      case "cancelled":
        return { kind: "refused", error: makeCancelledError("not-run") };
      case "granted":
        break;
    }
    const { authority, clock } = this.#options;
    const { template, key } = job.request;
    const current = authority.check(template, key);
    if (current.kind !== "permitted" || !isSame(current, permission)) {
      return { kind: "moved" };
    }
    const startedAtMs = clock.readMs();
    const leftMs = job.deadlineAtMs - startedAtMs;
    const remainingMs = Math.min(leftMs, current.maxRunMs);
    return remainingMs <= 0
      ? { kind: "refused", error: makeDeadlineError() }
      : {
        kind: "turn",
        permission: current,
        queuedMs: place.queuedMs,
        startedAtMs,
        remainingMs,
      };
  }

  /** Undefined where the deadline comes before the answer counts as late. */
  #watchLateness(
    lane: TargetLane,
    id: string,
    about: {
      readonly job: ForwardJob;
      readonly turn: Turn;
      readonly options: RunOptions;
    },
  ): LateWatch | undefined {
    const { timeoutMs } = lane.timeout;
    const { job, turn, options } = about;
    if (timeoutMs >= turn.remainingMs) {
      return undefined;
    }
    return new LateWatch({
      clock: this.#options.clock,
      signal: options.signal,
      timeoutMs,
      mayGiveUp: () => job.request.idempotent && options.claimRetry(),
      releasePlace: () =>
        lane.queue.release(id, { kind: "failed", serviceMs: timeoutMs }),
    });
  }

  async #dispatch(
    job: ForwardJob,
    turn: Turn,
    signal: AbortSignal,
  ): Promise<Result<TargetAnswer, DispatchFailure>> {
    const { targets, decisions } = this.#options;
    const { permission } = turn;
    const { unit, target, stewardToken, unitToken } = permission;
    const attempt = job.advanceAttempt();
    const subject = job.subject;
    decisions.log({
      ...subject,
      decision: "request-dispatched",
      unit,
      target: target.id,
      stewardToken,
      unitToken,
      attempt,
      queuedMs: toTenths(turn.queuedMs),
    });
    this.activity.add(subject.template, unit, subject.key);
    const request = toDispatchRequest(job, permission, turn.remainingMs);
    const result = await targets.dispatch(target, request, signal);
    this.#settle(subject, turn, { attempt, result });
    return result;
  }

  #settle(
    subject: RequestSubject,
    turn: Turn,
    dispatch: {
      readonly attempt: number;
      readonly result: Result<TargetAnswer, DispatchFailure>;
    },
  ): void {
    const now = this.#options.clock.readMs();
    const { attempt, result } = dispatch;
    const { unit, target } = turn.permission;
    const tookMs = now - turn.startedAtMs;
    const mayStillRun = !result.ok && result.val.kind === "unknown";
    if (mayStillRun) {
      this.unknowns.record(subject.template, unit, subject.key);
    }
    this.#settleActivity(subject, turn, mayStillRun);
    if (result.ok) {
      this.contacts.recordAnswer(target.id, now);
      this.meter.observe({ ...subject, unit }, tookMs, now);
    } else {
      this.contacts.recordFailure(target.id, result.val, now);
    }
    this.#options.decisions.log({
      ...subject,
      decision: "request-settled",
      unit,
      target: target.id,
      attempt,
      tookMs: toTenths(tookMs),
      ...(result.ok
        ? { outcome: "ran", status: result.val.status }
        : { outcome: result.val.kind, cause: result.val.cause }),
    });
  }

  /**
   * Guards against a unit that moves while its old owner still works on a
   * request that nobody waits for. It shows as an unknown outcome before the
   * deadline that the target was given. A target that checks its grants says
   * when it is done; for any other the unit stays busy until that deadline.
   */
  #settleActivity(
    subject: RequestSubject,
    turn: Turn,
    mayStillRun: boolean,
  ): void {
    const { clock, state } = this.#options;
    const { unit, target } = turn.permission;
    const { template, key } = subject;
    const checks = state.getView().getTarget(target.id)?.target.checksGrants;
    const leftMs = turn.startedAtMs + turn.remainingMs - clock.readMs();
    if (checks === true || !mayStillRun || leftMs <= 0) {
      this.activity.settle(template, unit, key);
      return;
    }
    void clock.sleep(leftMs).then(() =>
      this.activity.settle(template, unit, key)
    );
  }
}

/** An answer that was given up is silence to the caller, not its own doing. */
function toFailed(
  failure: DispatchFailure,
  target: string,
  isGivenUp: boolean,
): RunResult {
  const told: DispatchFailure = isGivenUp && failure.kind === "unknown"
    ? { ...failure, cause: "silent" }
    : failure;
  return { kind: "failed", failure: told, target, isGivenUp };
}

function makeDeadlineError(): RequestError {
  return makeRequestError(
    "deadline-passed",
    "The deadline passed before the request was sent to the target",
    { outcome: "not-run" },
  );
}

function isSame(left: Permitted, right: Permitted): boolean {
  return left.target.id === right.target.id &&
    left.unit === right.unit &&
    left.unitToken === right.unitToken &&
    left.stewardToken === right.stewardToken;
}

function toTenths(ms: number): number {
  return Math.round(ms * 10) / 10;
}
