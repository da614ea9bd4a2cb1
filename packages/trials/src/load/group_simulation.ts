/**
 * One template of a deployment in virtual time: callers, entries' limits, one
 * queue per target, the targets, and a planner that moves units once a second.
 * Read `#handleArrival`, `#send`, `#offer`, `#startWaiting` and `#settle` in this order for a
 * request's way.
 */
import { AccountLimiter } from "@lentilspur/policy/account_limiter";
import { AdaptiveTimeout } from "@lentilspur/policy/adaptive_timeout";
import { RetryBudget } from "@lentilspur/policy/retry_budget";
import type { ScheduledJob } from "@lentilspur/policy/scheduled_job";
import type { Call, CallEnd } from "./call.ts";
import { CallResults } from "./call_results.ts";
import {
  type Deployment,
  PLACES_PER_TARGET,
  type TargetGroup,
} from "./deployments.ts";
import { EventQueue } from "./event_queue.ts";
import { GroupPlanner } from "./group_planner.ts";
import {
  END_MS,
  type LoadPattern,
  LONG_FACTOR,
  type Stream,
  WARM_UP_MS,
} from "./patterns.ts";
import { SeededRandom } from "./seeded_random.ts";
import {
  SimulatedTarget,
  type TargetFault,
  type WorkEnd,
} from "./simulated_target.ts";
import type { TargetQueue } from "./target_queue.ts";
import type { Variant } from "./variants.ts";

export interface GroupOptions {
  readonly deployment: Deployment;
  readonly group: TargetGroup;
  readonly pattern: LoadPattern;
  readonly streams: readonly Stream[];
  readonly variant: Variant;
  readonly seed: number;
}

export interface SimulatedMember {
  readonly target: SimulatedTarget;
  readonly queue: TargetQueue;
  readonly joinedAtMs: number;
  /** Null where lookups are never given up before their deadline. */
  readonly timeout: AdaptiveTimeout | null;
  wakeAtMs: number;
}

/** The default of a template declaration, and its maximum. */
const DEADLINE_MS = 2_000;
const LONG_DEADLINE_MS = 10_000;
const KEYS = 4_096;
const INSTANCES = 12;
/** An account may ask for this many times an equal part of the capacity. */
const ACCOUNT_RATE_FACTOR = 4;
const ACCOUNT_MAX_CONCURRENT = 256;
const RETRY_POLICY = { budgetRatio: 0.1, maxAttempts: 2 };
/** A caller that returns sends this often at most. */
const MAX_SENDS = 5;
/** When callers come back who were told nothing. */
const UNTOLD_RETURN_MS = 1_000;

export class GroupSimulation {
  readonly events = new EventQueue();
  readonly results = new CallResults();
  readonly members = new Map<string, SimulatedMember>();
  readonly planner: GroupPlanner;
  readonly options: GroupOptions;
  readonly #random: SeededRandom;
  readonly #calls = new Map<string, Call>();
  readonly #limiters: readonly AccountLimiter[];
  readonly #retryBudget = new RetryBudget(RETRY_POLICY);
  readonly #networkMs: number;
  #lastId = 0;

  constructor(options: GroupOptions) {
    this.options = options;
    this.#random = new SeededRandom(options.seed);
    this.#limiters = Array.from(
      { length: INSTANCES },
      () => new AccountLimiter({ instanceCount: INSTANCES }),
    );
    const { dataCentres, betweenMs, clientMs } = options.deployment;
    const apart = 1 - 1 / dataCentres.length;
    this.#networkMs = 2 * (clientMs + apart * betweenMs);
    for (let index = 0; index < options.group.targets; index++) {
      this.addTarget(index, { cold: false });
    }
    this.planner = new GroupPlanner(this);
  }

  run(): void {
    for (const stream of this.options.streams) {
      this.events.schedule(stream.fromMs, () => this.#scheduleArrival(stream));
    }
    this.planner.start();
    this.events.schedule(WARM_UP_MS, () => {
      for (const { target } of this.members.values()) {
        target.busyMs = 0;
      }
    });
    this.events.advance(END_MS + LONG_DEADLINE_MS);
  }

  addTarget(index: number, options: { readonly cold: boolean }): void {
    const { adaptsTimeout } = this.options.variant;
    const target = new SimulatedTarget({
      id: `t${index}`,
      events: this.events,
      places: PLACES_PER_TARGET,
      faults: this.#listFaults(index),
      cold: options.cold,
    });
    this.members.set(target.id, {
      target,
      queue: this.options.variant.createQueue(options),
      joinedAtMs: options.cold ? this.events.nowMs : -Infinity,
      timeout: adaptsTimeout ? new AdaptiveTimeout() : null,
      wakeAtMs: Infinity,
    });
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

  #listFaults(index: number): readonly TargetFault[] {
    const { faults, faultsOnAll } = this.options.pattern;
    return index === 0 || faultsOnAll === true ? faults ?? [] : [];
  }

  #scheduleArrival(stream: Stream): void {
    const { group } = this.options;
    const serviceMs = group.serviceMs *
      (stream.costClass === "long" ? LONG_FACTOR : 1);
    const capacity = group.targets * PLACES_PER_TARGET;
    const places = stream.share * capacity + stream.places;
    const gapMs = this.#random.drawExponential(serviceMs / places);
    const atMs = this.events.nowMs + gapMs;
    if (atMs < Math.min(stream.untilMs, END_MS)) {
      this.events.schedule(atMs, () => {
        this.#handleArrival(stream, serviceMs);
        this.#scheduleArrival(stream);
      });
    }
  }

  #handleArrival(stream: Stream, meanMs: number): void {
    const { group, deployment } = this.options;
    const account = stream.account ??
      chooseAccount(deployment.accounts, this.#random);
    const key = stream.key ?? this.#random.drawIndex(KEYS);
    this.#send({
      stream,
      account,
      key,
      idempotent: this.#random.draw() < group.lookupShare,
      serviceMs: this.#random.drawService(meanMs),
      bystander: stream.bystander && account !== this.#getLoudAccount() &&
        !this.#isOnFirstTarget(key),
    }, 1);
  }

  #send(
    subject: Pick<
      Call,
      | "stream"
      | "account"
      | "key"
      | "idempotent"
      | "serviceMs"
      | "bystander"
    >,
    sends: number,
  ): void {
    const nowMs = this.events.nowMs;
    const allowedMs = subject.stream.costClass === "long"
      ? LONG_DEADLINE_MS
      : DEADLINE_MS;
    const call: Call = {
      stream: subject.stream,
      account: subject.account,
      key: subject.key,
      idempotent: subject.idempotent,
      serviceMs: subject.serviceMs,
      bystander: subject.bystander,
      id: String(++this.#lastId),
      sends,
      instance: this.#random.drawIndex(INSTANCES),
      admitted: false,
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + allowedMs,
      attempt: 0,
      timedOut: false,
      target: null,
      unit: "",
      ended: false,
    };
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
    const { group, deployment, variant } = this.options;
    if (!variant.limitsAccounts) {
      return true;
    }
    const capacity = group.targets * PLACES_PER_TARGET / group.serviceMs;
    const rate = 1_000 * ACCOUNT_RATE_FACTOR * capacity / deployment.accounts;
    const decision = this.#limiters[call.instance]!.offer(
      String(call.account),
      group.template,
      {
        template: group.template,
        weight: 1,
        requestsPerSecond: rate,
        burst: rate / INSTANCES,
        maxConcurrent: ACCOUNT_MAX_CONCURRENT,
      },
      this.events.nowMs,
    );
    if (decision.kind === "refused") {
      this.#recordEnd(call, decision);
      return false;
    }
    call.admitted = true;
    return true;
  }

  #offer(call: Call): void {
    const nowMs = this.events.nowMs;
    const unit = this.planner.units.locateKey(call.key);
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
      serviceMs: call.serviceMs,
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
      if (call.idempotent) {
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
    const kind = how.end === "cancelled" ? this.#describeCancel(call) : how.end;
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

  /**
   * A caller that went away, or one answer that did not come, says nothing
   * about the target; a deadline does.
   */
  #describeCancel(call: Call): "timed-out" | "failed" {
    return this.events.nowMs < call.deadlineAtMs ? "failed" : "timed-out";
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
        if (call.idempotent) {
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
      this.planner.units.locateKey(call.key).owner,
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
      const { template } = this.options.group;
      this.#limiters[call.instance]!.release(String(call.account), template);
    }
    const nowMs = this.events.nowMs;
    this.results.recordEnd(call, end, { nowMs, networkMs: this.#networkMs });
    if (this.options.pattern.callersReturn === true) {
      this.#scheduleReturn(call, end);
    }
  }

  #scheduleReturn(call: Call, end: CallEnd): void {
    if (end.kind === "answered" || call.sends >= MAX_SENDS) {
      return;
    }
    const pauseMs = end.kind === "refused"
      ? end.retryAfterMs
      : UNTOLD_RETURN_MS;
    const atMs = this.events.nowMs + pauseMs;
    if (atMs < END_MS) {
      this.events.schedule(atMs, () => this.#send(call, call.sends + 1));
    }
  }

  #estimateCostMs(member: SimulatedMember, call: Call): number {
    return member.queue.estimateCostMs(this.#toJob(call));
  }

  #toJob(call: Call): ScheduledJob {
    return {
      id: call.id,
      clientAccount: String(call.account),
      weight: 1,
      template: this.options.group.template,
      unit: call.unit,
      key: String(call.key),
      idempotent: call.idempotent,
      costClass: call.stream.costClass,
      arrivedAtMs: call.arrivedAtMs,
      deadlineAtMs: call.deadlineAtMs,
      attempt: call.attempt + 1,
    };
  }

  #getLoudAccount(): number | null {
    const loud = this.options.pattern.streams.find(({ account }) =>
      account !== null
    );
    return loud?.account ?? null;
  }

  /** Whether the key's callers are hurt by what is wrong with the first target. */
  #isOnFirstTarget(key: number): boolean {
    return this.options.pattern.bystandersAvoidFirstTarget === true &&
      this.planner.units.locateKey(key).owner === "t0";
  }
}

/** Accounts ask for 1 to 4 parts each, so an equal share is not what all want. */
function chooseAccount(accounts: number, random: SeededRandom): number {
  for (;;) {
    const account = random.drawIndex(accounts);
    if (random.draw() < (1 + account % 4) / 4) {
      return account;
    }
  }
}
