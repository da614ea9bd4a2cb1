/**
 * One template of a deployment in virtual time: callers, entries' limits, one
 * queue per target, the targets, and a planner that moves units once a second.
 * Read `#send`, `#offer`, `#startWaiting`, `#dispatch` and `#settle` in this
 * order for a request's way.
 */
import { RetryBudget } from "@lentilspur/policy/retry_budget";
import type { ScheduledJob } from "@lentilspur/policy/scheduled_job";
import {
  type Call,
  type CallEnd,
  type CallSubject,
  computeReturnMs,
  LONG_DEADLINE_MS,
  makeCall,
  toScheduledJob,
} from "./call.ts";
import { CallResults } from "./call_results.ts";
import {
  computeNetworkMs,
  type Deployment,
  type TargetGroup,
} from "./deployments.ts";
import { EntryLimits, INSTANCES } from "./entry_limits.ts";
import { EventQueue } from "./event_queue.ts";
import { GroupPlanner } from "./group_planner.ts";
import {
  END_MS,
  type LoadPattern,
  type Stream,
  WARM_UP_MS,
} from "./patterns.ts";
import { SeededRandom } from "./seeded_random.ts";
import { createMember, type SimulatedMember } from "./simulated_member.ts";
import type { WorkEnd } from "./simulated_target.ts";
import { Traffic } from "./traffic.ts";
import type { Variant } from "./variants.ts";

export interface GroupOptions {
  readonly deployment: Deployment;
  readonly group: TargetGroup;
  readonly pattern: LoadPattern;
  readonly streams: readonly Stream[];
  readonly variant: Variant;
  readonly seed: number;
}

const RETRY_POLICY = { budgetRatio: 0.1, maxAttempts: 2 };

export class GroupSimulation {
  readonly events = new EventQueue();
  readonly results = new CallResults();
  readonly members = new Map<string, SimulatedMember>();
  readonly planner: GroupPlanner;
  readonly options: GroupOptions;
  readonly #random: SeededRandom;
  readonly #calls = new Map<string, Call>();
  readonly #limits: EntryLimits;
  readonly #retryBudget = new RetryBudget(RETRY_POLICY);
  readonly #networkMs: number;
  #lastId = 0;

  constructor(options: GroupOptions) {
    this.options = options;
    this.#random = new SeededRandom(options.seed);
    this.#limits = new EntryLimits(options.group, options.deployment.accounts);
    this.#networkMs = computeNetworkMs(options.deployment);
    for (let index = 0; index < options.group.targets; index++) {
      this.addTarget(index, { cold: false });
    }
    this.planner = new GroupPlanner(this);
  }

  run(): void {
    new Traffic({
      group: this.options,
      events: this.events,
      random: this.#random,
      isDisturbed: (key) => this.#isOnFirstTarget(key),
      send: (subject) => this.#send(subject, 1),
    }).start();
    this.planner.start();
    this.events.schedule(WARM_UP_MS, () => {
      for (const { target } of this.members.values()) {
        target.busyMs = 0;
      }
    });
    this.events.advance(END_MS + LONG_DEADLINE_MS);
  }

  addTarget(index: number, options: { readonly cold: boolean }): void {
    const member = createMember(this.options, {
      index,
      cold: options.cold,
      events: this.events,
    });
    this.members.set(member.target.id, member);
  }

  /** Puts calls that waited for a move into the new owner's queue. */
  offerHeld(calls: readonly Call[]): void {
    for (const call of calls) {
      if (!call.ended) {
        this.#offer(call);
      }
    }
  }

  /** Takes a unit's waiting calls out of a target's queue. */
  removeWaiting(member: SimulatedMember, unit: string): readonly Call[] {
    return member.queue.removeUnit(this.options.group.template, unit)
      .map((job) => this.#calls.get(job.id)!);
  }

  listRunning(target: string): readonly Call[] {
    return [...this.#calls.values()].filter((call) => call.target === target);
  }

  #send(subject: CallSubject, sends: number): void {
    const call = makeCall(subject, {
      id: String(++this.#lastId),
      sends,
      instance: this.#random.drawIndex(INSTANCES),
      arrivedAtMs: this.events.nowMs,
    });
    this.#calls.set(call.id, call);
    this.results.recordSend(call);
    if (this.#admit(call)) {
      this.events.schedule(this.#chooseEnd(call), () => this.#expire(call));
      this.#offer(call);
    }
  }

  /** When the caller goes away: at its deadline, or before it in one pattern. */
  #chooseEnd(call: Call): number {
    const { hangUp } = this.options.pattern;
    if (hangUp === undefined || this.#random.draw() >= hangUp.share) {
      return call.deadlineAtMs;
    }
    return call.arrivedAtMs + this.#random.drawExponential(hangUp.meanMs);
  }

  #admit(call: Call): boolean {
    if (!this.options.variant.limitsAccounts) {
      return true;
    }
    const decision = this.#limits.offer(call, this.events.nowMs);
    if (decision.kind === "refused") {
      this.#recordEnd(call, decision);
      return false;
    }
    call.admitted = true;
    return true;
  }

  #offer(call: Call): void {
    const nowMs = this.events.nowMs;
    const unit = this.planner.units.locateKey(call.subject.key);
    call.unit = unit.unit;
    if (unit.movingTo !== null) {
      this.planner.addHeld(unit.unit, call);
      return;
    }
    const member = this.members.get(unit.owner)!;
    this.results.offers += nowMs < WARM_UP_MS ? 0 : 1;
    const result = member.queue.offer(this.#toJob(call), nowMs);
    for (const job of result.shed) {
      this.#refuseWaiting(member, job);
    }
    if (result.kind === "refused") {
      this.planner.observeRefused(call, this.#estimateCostMs(member, call));
      this.#recordEnd(call, result);
    }
    this.#startWaiting(member);
  }

  #startWaiting(member: SimulatedMember): void {
    const nowMs = this.events.nowMs;
    for (const job of member.queue.takeExpired(nowMs)) {
      this.#refuseWaiting(member, job);
    }
    for (;;) {
      const step = member.queue.take(nowMs);
      if (step.kind === "idle") {
        this.#scheduleWake(member, step.wakeAtMs);
        return;
      }
      const call = this.#calls.get(step.job.id);
      if (call === undefined) {
        // Its caller has gone and nothing withdrew it: it runs for nobody.
        this.#dispatchForNobody(member, step.job);
      } else {
        this.#dispatch(member, call);
      }
    }
  }

  #scheduleWake(member: SimulatedMember, atMs: number | null): void {
    const nowMs = this.events.nowMs;
    const pending = member.wakeAtMs > nowMs && member.wakeAtMs < Infinity;
    if (atMs === null || (pending && member.wakeAtMs <= atMs)) {
      return;
    }
    member.wakeAtMs = Math.max(atMs, nowMs + 1);
    this.events.schedule(member.wakeAtMs, () => this.#startWaiting(member));
  }

  #dispatch(member: SimulatedMember, call: Call): void {
    const startedAtMs = this.events.nowMs;
    call.target = member.target.id;
    call.attempt++;
    if (call.attempt === 1) {
      this.#retryBudget.recordFirstSend();
    }
    member.target.start({
      id: call.id,
      serviceMs: call.subject.serviceMs,
      luck: this.#random.draw(),
      onEnd: (end) => this.#settle(member, call, { end, startedAtMs }),
    });
    this.#scheduleTimeout(member, call);
  }

  /**
   * An answer that takes far longer than others do is not coming. A lookup is
   * given up and sent again; any other request goes on waiting for its answer,
   * but its place counts as free.
   */
  #scheduleTimeout(member: SimulatedMember, call: Call): void {
    const { attempt } = call;
    const timeoutMs = member.timeout?.timeoutMs ?? Infinity;
    const atMs = this.events.nowMs + timeoutMs;
    if (atMs >= call.deadlineAtMs) {
      return;
    }
    this.events.schedule(atMs, () => {
      if (call.target === null || call.attempt !== attempt || call.ended) {
        return;
      }
      if (call.subject.idempotent) {
        call.timedOut = true;
        member.target.cancel(call.id);
        return;
      }
      const observation = { kind: "failed", serviceMs: timeoutMs } as const;
      member.queue.settle(call.id, observation, this.events.nowMs);
      this.#startWaiting(member);
    });
  }

  #dispatchForNobody(member: SimulatedMember, job: ScheduledJob): void {
    const startedAtMs = this.events.nowMs;
    const { serviceMs } = this.options.group;
    member.target.start({
      id: job.id,
      serviceMs,
      luck: 1,
      onEnd: () => {
        const nowMs = this.events.nowMs;
        const observation = {
          kind: "completed",
          serviceMs: nowMs - startedAtMs,
        } as const;
        member.queue.settle(job.id, observation, nowMs);
        this.#startWaiting(member);
      },
    });
  }

  #settle(
    member: SimulatedMember,
    call: Call,
    how: { readonly end: WorkEnd; readonly startedAtMs: number },
  ): void {
    const nowMs = this.events.nowMs;
    const serviceMs = nowMs - how.startedAtMs;
    // A caller that went away, or one answer that did not come, says nothing
    // about the target; a deadline does.
    const cancelled = nowMs < call.deadlineAtMs ? "failed" : "timed-out";
    const kind = how.end === "cancelled" ? cancelled : how.end;
    member.queue.settle(call.id, { kind, serviceMs }, nowMs);
    call.target = null;
    if (how.end === "completed") {
      member.timeout?.observe(serviceMs, nowMs);
    }
    const expectedMs = this.#estimateCostMs(member, call);
    this.planner.observeServed(call, serviceMs, expectedMs);
    this.#settleCall(call, how.end);
    this.planner.settleMoves();
    this.#startWaiting(member);
  }

  #settleCall(call: Call, end: WorkEnd): void {
    switch (end) {
      case "completed":
        this.#recordEnd(call, { kind: "answered" });
        return;
      case "shed-by-target":
        this.#retryOrEnd(call, { kind: "refused", retryAfterMs: 100 });
        return;
      case "failed":
        if (call.subject.idempotent) {
          this.#retryOrEnd(call, { kind: "unknown" });
        } else {
          this.#recordEnd(call, { kind: "unknown" });
        }
        return;
      case "cancelled":
        if (call.timedOut) {
          call.timedOut = false;
          this.#retryOrEnd(call, { kind: "unknown" });
        }
        return;
    }
  }

  #retryOrEnd(call: Call, end: CallEnd): void {
    const nowMs = this.events.nowMs;
    const budgeted = this.options.variant.retries === "budgeted";
    const mayRetry = budgeted
      ? this.#retryBudget.claim(call.attempt, nowMs)
      : call.attempt < RETRY_POLICY.maxAttempts + 1;
    if (!mayRetry || call.ended) {
      this.#recordEnd(call, end);
      return;
    }
    const pauseMs = this.#retryBudget.computeBackoffMs(
      call.attempt,
      this.#random,
    );
    this.events.schedule(nowMs + pauseMs, () => this.offerHeld([call]));
  }

  #refuseWaiting(member: SimulatedMember, job: ScheduledJob): void {
    const call = this.#calls.get(job.id);
    if (call !== undefined) {
      const retryAfterMs = member.queue.assignReturnMs(
        this.#toJob(call),
        this.events.nowMs,
      );
      this.planner.observeRefused(call, this.#estimateCostMs(member, call));
      this.#recordEnd(call, { kind: "refused", retryAfterMs });
    }
  }

  #expire(call: Call): void {
    if (call.ended) {
      return;
    }
    const gone = this.events.nowMs < call.deadlineAtMs;
    this.#recordEnd(call, { kind: gone ? "gone" : "unanswered" });
    if (!this.options.variant.cancels) {
      return;
    }
    const member = this.members.get(
      this.planner.units.locateKey(call.subject.key).owner,
    )!;
    member.queue.cancel(call.id, this.events.nowMs);
    if (call.target !== null) {
      this.members.get(call.target)!.target.cancel(call.id);
    }
  }

  #recordEnd(call: Call, end: CallEnd): void {
    if (call.ended) {
      return;
    }
    call.ended = true;
    this.#calls.delete(call.id);
    if (call.admitted) {
      this.#limits.release(call);
    }
    const nowMs = this.events.nowMs;
    this.results.recordEnd(call, end, { nowMs, networkMs: this.#networkMs });
    const returnMs = computeReturnMs(call, end);
    const atMs = nowMs + (returnMs ?? Infinity);
    if (this.options.pattern.callersReturn === true && atMs < END_MS) {
      const sends = call.sends + 1;
      this.events.schedule(atMs, () => this.#send(call.subject, sends));
    }
  }

  #estimateCostMs(member: SimulatedMember, call: Call): number {
    return member.queue.estimateCostMs(this.#toJob(call));
  }

  #toJob(call: Call): ScheduledJob {
    return toScheduledJob(call, this.options.group.template);
  }

  /** Whether the key's callers are hurt by what is wrong with the first target. */
  #isOnFirstTarget(key: number): boolean {
    return this.options.pattern.bystandersAvoidFirstTarget === true &&
      this.planner.units.locateKey(key).owner === "t0";
  }
}
