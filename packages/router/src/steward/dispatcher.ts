/**
 * The steward's side of a request's path: wait for the right to act, recognise
 * resends, and run what is new on the key's owner.
 */
import {
  makeRequestError,
  type RequestError,
  toResendError,
} from "@lentilspur/outcomes/error_kinds";
import { getOffset, type Position } from "@lentilspur/outcomes/position";
import type { Clock, Random } from "@lentilspur/ports/clock";
import type {
  ForwardReply,
  ForwardRequest,
  RememberedRequest,
} from "@lentilspur/ports/peer";
import type { DispatchFailure, TargetPort } from "@lentilspur/ports/target";
import type { RetryBudget } from "@lentilspur/policy/retry_budget";
import type { DecisionSink } from "@lentilspur/proof/decision_line";
import type { UnitId } from "@lentilspur/state/entries";
import { hashKeyToShard, makeShardUnit } from "@lentilspur/state/units";
import type {
  Authority,
  TargetContact,
  UnitMemory,
  UnitWork,
} from "../authority.ts";
import type { StateSource } from "../state_source.ts";
import { makeDispatchError } from "./dispatch_errors.ts";
import { ForwardJob } from "./forward_job.ts";
import type { LoadMeter } from "./load_meter.ts";
import { PermissionGate, type Permitted } from "./permission_gate.ts";
import { RequestMemory } from "./request_memory.ts";
import { type Handled, ResendDesk, type ServeOptions } from "./resend_desk.ts";
import { RetryBudgets } from "./retry_budgets.ts";
import { TargetRunner } from "./target_runner.ts";

/** How long a fenced or drained target is given before the key is looked up. */
const CHANGE_POLL_MS = 100;
/**
 * 870 non-idempotent requests a second (three in ten of a node's 2,900) for
 * two epochs of 5 minutes are 522,000 records.
 */
const DEFAULT_MAX_RECORDS = 525_000;

export interface DispatcherOptions {
  readonly authority: Authority;
  readonly state: StateSource;
  readonly targets: TargetPort;
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionSink;
  readonly maxChangeWaitMs: number;
  /** Non-idempotent requests remembered; more are refused as not run. */
  readonly maxRememberedRequests?: number;
}

export class Dispatcher implements UnitWork {
  readonly #options: DispatcherOptions;
  readonly #gate: PermissionGate;
  readonly #runner: TargetRunner;
  readonly #memory: RequestMemory<Handled>;
  readonly #desk: ResendDesk;
  readonly #budgets = new RetryBudgets();

  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#gate = new PermissionGate(options);
    this.#runner = new TargetRunner(options);
    this.#memory = new RequestMemory({
      maxRecords: options.maxRememberedRequests ?? DEFAULT_MAX_RECORDS,
      locateShard: (template, key) => this.#locateShard(template, key),
    });
    this.#desk = new ResendDesk({ ...options, memory: this.#memory });
  }

  /** Serves one forwarded request; never rejects. */
  async forward(
    request: ForwardRequest,
    signal: AbortSignal,
  ): Promise<ForwardReply> {
    const view = this.#options.state.getView();
    const template = view.getTemplate(request.template);
    if (template === undefined) {
      return { kind: "not-steward", foldedOffset: view.nextOffset };
    }
    const job = new ForwardJob({
      request,
      template,
      weight: this.#getWeight(request),
      nowMs: this.#options.clock.readMs(),
    });
    try {
      return job.resolveReply(await this.#handleJob(job, signal));
    } catch (error) {
      return { kind: "failed", error: makeInternalError(error) };
    }
  }

  waitForIdle(
    template: string,
    unit: UnitId,
    signal?: AbortSignal,
  ): Promise<void> {
    return this.#runner.activity.waitForIdle(template, unit, signal);
  }

  collectMemory(
    template: string,
    units: readonly UnitId[],
  ): readonly RememberedRequest[] {
    return this.#memory.collect(template, units);
  }

  getMemoryFloor(template: string, unit: UnitId): Position | undefined {
    const view = this.#options.state.getView();
    const state = view.getUnit(template, unit);
    const target = state?.owner == null
      ? undefined
      : view.getTarget(state.owner);
    if (state === undefined || target === undefined) {
      return undefined;
    }
    const { token: unitToken } = state;
    const { stewardToken } = target;
    return this.#memory.getFloor(template, { unit, unitToken, stewardToken });
  }

  addMemory(
    template: string,
    units: readonly UnitId[],
    memory: UnitMemory,
  ): void {
    this.#memory.add(template, units, memory);
  }

  removeMemory(template: string, units: readonly UnitId[]): void {
    this.#memory.remove(template, units);
  }

  getContact(target: string): TargetContact | undefined {
    return this.#runner.contacts.get(target);
  }

  /** What this steward has seen of its targets' load. */
  get meter(): LoadMeter {
    return this.#runner.meter;
  }

  getLastUnknownMs(template: string, unit: UnitId): number | undefined {
    return this.#runner.unknowns.getLastMs(template, unit);
  }

  async #handleJob(
    job: ForwardJob,
    signal: AbortSignal,
  ): Promise<ForwardReply> {
    // Lookups and first sends need no judging by the memory.
    let isJudged = job.request.idempotent || job.request.firstSend;
    for (;;) {
      const gate = await this.#gate.wait(job, signal);
      if (gate.kind === "ended") {
        return isJudged ? gate.reply : toUnjudgedReply(gate.reply);
      }
      const { permission } = gate;
      if (isFromBefore(permission, job.request)) {
        const { nextOffset } = this.#options.state.getView();
        return { kind: "not-steward", foldedOffset: nextOffset };
      }
      const reply = job.request.idempotent
        ? await this.#run(job, permission, { signal, markDispatched })
        : await this.#desk.handle(job, permission, {
          signal,
          run: (options) => this.#run(job, permission, options),
        });
      if (reply.kind !== "moved") {
        return reply;
      }
      isJudged = true;
    }
  }

  /** Dispatches until there is an answer, or a retry is not allowed. */
  async #run(
    job: ForwardJob,
    permission: Permitted,
    options: ServeOptions,
  ): Promise<ForwardReply | { readonly kind: "moved" }> {
    const { authority, clock } = this.#options;
    const { signal } = options;
    const budget = this.#budgets.claim(job.template);
    budget.recordFirstSend();
    const claimRetry = (): boolean => budget.claim(job.attempt, clock.readMs());
    for (;;) {
      const result = await this.#runner.run(job, permission, {
        ...options,
        claimRetry,
      });
      if (result.kind === "refused") {
        return { kind: "failed", error: result.error };
      }
      if (result.kind !== "failed") {
        return result;
      }
      const error = makeDispatchError(result.failure, result.target);
      if (error.outcome === "unknown") {
        job.recordUnknown(error);
      }
      if (isOwnerChanging(result.failure) && !signal.aborted) {
        await authority.waitForChange(CHANGE_POLL_MS, signal);
        return { kind: "moved" };
      }
      const mayRunAgain = error.outcome === "not-run" || job.request.idempotent;
      const isRetried = result.isGivenUp ||
        mayRunAgain && await this.#mayRetry(job, budget, signal);
      if (!isRetried || signal.aborted) {
        return { kind: "failed", error };
      }
    }
  }

  /** Waits out the pause before a retry, if one is allowed in time. */
  async #mayRetry(
    job: ForwardJob,
    budget: RetryBudget,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { clock, random } = this.#options;
    const pauseMs = budget.computeBackoffMs(job.attempt, random);
    const now = clock.readMs();
    const isInTime = now + pauseMs < job.deadlineAtMs && !signal.aborted;
    if (!isInTime || !budget.claim(job.attempt, now)) {
      return false;
    }
    await clock.sleep(pauseMs, signal);
    return true;
  }

  #getWeight(request: ForwardRequest): number {
    const account = this.#options.state.getView()
      .getClientAccount(request.clientAccount);
    const parameters = account?.templates.find((each) =>
      each.template === request.template
    );
    return parameters?.weight ?? 1;
  }

  #locateShard(template: string, key: string): UnitId {
    const declared = this.#options.state.getView().getTemplate(template);
    return makeShardUnit(hashKeyToShard(key, declared?.shardCount ?? 1));
  }
}

/** The gate refuses before the memory is asked whether an earlier send ran. */
function toUnjudgedReply(reply: ForwardReply): ForwardReply {
  return reply.kind === "failed"
    ? { kind: "failed", error: toResendError(reply.error) }
    : reply;
}

/**
 * Guards against a copy of a forward that was lost and arrives after the unit
 * has been served by others and come back: marked as a first send, it would
 * pass the memory floor and run again. An entry that had not folded the change
 * that gave the unit its present tokens is asked to look again; its next copy
 * is judged by what it knows then.
 */
function isFromBefore(permission: Permitted, request: ForwardRequest): boolean {
  const token = Math.max(permission.unitToken, permission.stewardToken);
  return !request.idempotent && request.foldedOffset <= getOffset(token);
}

/** Lookups leave no record. */
function markDispatched(): void {}

/** The target is right to refuse: the key is, or soon will be, elsewhere. */
function isOwnerChanging(failure: DispatchFailure): boolean {
  return failure.cause === "fenced" || failure.cause === "draining";
}

function makeInternalError(error: unknown): RequestError {
  return makeRequestError("internal", `The steward failed: ${String(error)}`);
}
