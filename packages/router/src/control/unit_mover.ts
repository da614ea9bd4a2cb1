/**
 * Carries out the moves of units whose owner this instance stewards.
 *
 * Every step can be cut off and taken up by the next steward: until the
 * release is in the log the old owner stays the owner, and what was drained or
 * revoked is simply drained or revoked again.
 */
import type { Lease } from "@lentilspur/ownership/lease";
import type { Position } from "@lentilspur/outcomes/position";
import type { Clock } from "@lentilspur/ports/clock";
import type { PeerPort } from "@lentilspur/ports/peer";
import type { DecisionSink } from "@lentilspur/proof/decision_line";
import type { UnitId } from "@lentilspur/state/entries";
import type { TargetState, UnitMove } from "@lentilspur/state/view";
import type { UnitWork } from "../authority.ts";
import type { ControlTiming } from "../settings.ts";
import { type LogAccess, waitForContact } from "./log_access.ts";
import { type MemoryParcel, transferMemory } from "./memory_transfer.ts";
import type { Stewardships } from "./stewardships.ts";
import type { TargetKeeper } from "./target_keeper.ts";

export interface UnitMoverOptions {
  readonly self: string;
  readonly lease: Lease;
  readonly clock: Clock;
  readonly peers: PeerPort;
  readonly log: LogAccess;
  readonly timing: ControlTiming;
  readonly decisions: DecisionSink;
  readonly stewardships: Stewardships;
  readonly work: UnitWork;
}

/** One move as this instance found it in the fold. */
interface MoveTask {
  readonly template: string;
  readonly unit: UnitId;
  readonly from: TargetState;
  readonly move: UnitMove;
}

/** Short beside a move's goal of 50 ms, long beside one exchange. */
const RETRY_REVOKE_MS = 10;

export class UnitMover {
  readonly #options: UnitMoverOptions;
  readonly #tasks = new Set<Position>();

  constructor(options: UnitMoverOptions) {
    this.#options = options;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { log, timing } = this.#options;
    while (!signal.aborted) {
      for (const task of this.#listTasks()) {
        if (!this.#tasks.has(task.move.token)) {
          this.#tasks.add(task.move.token);
          void this.#runTask(task, signal);
        }
      }
      await log.waitForFold(timing.renewEveryMs, signal);
    }
  }

  #listTasks(): readonly MoveTask[] {
    const { log, self } = this.#options;
    const view = log.getView();
    const tasks: MoveTask[] = [];
    for (const from of view.listTargets()) {
      if (from.steward !== self) {
        continue;
      }
      for (const { unit, move } of view.listUnitsOfTarget(from.target.id)) {
        if (move !== null) {
          const template = from.target.template;
          tasks.push({ template, unit, from, move });
        }
      }
    }
    return tasks;
  }

  async #runTask(task: MoveTask, signal: AbortSignal): Promise<void> {
    const { stewardships } = this.#options;
    // A unit that is stopped when the log goes down stays unserved until it is
    // back, so none is stopped unless the log has answered lately.
    await waitForContact(this.#options, signal);
    if (this.#isCurrent(task) && !signal.aborted) {
      stewardships.startMove(task.template, task.unit);
      await this.#moveStopped(task, signal);
      stewardships.settleMove(task.template, task.unit);
    }
    this.#tasks.delete(task.move.token);
  }

  async #moveStopped(task: MoveTask, signal: AbortSignal): Promise<void> {
    const { clock, work } = this.#options;
    const startedAtMs = clock.readMs();
    await work.waitForIdle(task.template, task.unit, signal);
    const keeper = this.#options.stewardships.getKeeper(task.from.target.id);
    const isOwn = keeper?.stewardToken === task.from.stewardToken;
    if (!isOwn || !this.#isCurrent(task) || signal.aborted) {
      return;
    }
    if (!keeper.checksGrants && this.#isPinned(task, keeper)) {
      await this.#cancelMove(task, signal);
      return;
    }
    const isGivenUp = !keeper.checksGrants ||
      await this.#revoke(task, keeper, signal);
    if (isGivenUp) {
      await this.#release(task, startedAtMs, signal);
    }
  }

  async #revoke(
    task: MoveTask,
    keeper: TargetKeeper,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { clock, lease } = this.#options;
    while (!signal.aborted && this.#isCurrent(task)) {
      if (lease.isHeld(clock.readMs()) && await keeper.revokeUnit(task.unit)) {
        return true;
      }
      await clock.sleep(RETRY_REVOKE_MS, signal);
    }
    keeper.restoreUnit(task.unit);
    return false;
  }

  /**
   * A target that does not check runs whatever reaches it. After a take-over
   * the lost steward's kernel may still deliver what it had written, and a
   * request whose fate is unknown may still be on its way; so the unit stays
   * until that can no longer be, or the process has ended.
   */
  #isPinned(task: MoveTask, keeper: TargetKeeper): boolean {
    const { clock, timing, work } = this.#options;
    const nowMs = clock.readMs();
    const sinceMs = keeper.getSinceMs();
    // What was on its way to a process that has ended can never run.
    const isTakenOver = task.from.takenOver && !keeper.hasRestarted();
    if (isTakenOver && nowMs - sinceMs < timing.connectionLingerMs) {
      return true;
    }
    const unknownAtMs = work.getLastUnknownMs(task.template, task.unit);
    return unknownAtMs !== undefined &&
      (!keeper.hasRestarted() || unknownAtMs >= sinceMs) &&
      nowMs - unknownAtMs < timing.connectionLingerMs;
  }

  async #release(
    task: MoveTask,
    startedAtMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, log, decisions, stewardships } = this.#options;
    const { template, unit, move } = task;
    const parcel = this.#collectMemory(task);
    const result = await log.submit([{
      kind: "move-released",
      template,
      unit,
      moveToken: move.token,
    }], signal);
    const verdict = result.ok ? result.val[0] : undefined;
    if (verdict?.kind !== "accepted") {
      stewardships.getKeeper(task.from.target.id)?.restoreUnit(unit);
      return;
    }
    decisions.log({
      decision: "move-released",
      template,
      unit,
      from: task.from.target.id,
      to: move.to,
      moveToken: move.token,
      drainedMs: clock.readMs() - startedAtMs,
    });
    await transferMemory(this.#options, parcel, verdict.position);
  }

  #collectMemory(task: MoveTask): MemoryParcel {
    const { work } = this.#options;
    const { template, unit, move } = task;
    const floor = work.getMemoryFloor(template, unit);
    const remembered = work.collectMemory(template, [unit]);
    return { template, target: move.to, units: [unit], floor, remembered };
  }

  async #cancelMove(task: MoveTask, signal: AbortSignal): Promise<void> {
    const { template, unit, move } = task;
    await this.#options.log.submit([{
      kind: "move-abandoned",
      template,
      unit,
      moveToken: move.token,
    }], signal);
  }

  #isCurrent(task: MoveTask): boolean {
    const { log, self } = this.#options;
    const view = log.getView();
    const unit = view.getUnit(task.template, task.unit);
    return unit?.move?.token === task.move.token &&
      view.getTarget(task.from.target.id)?.steward === self;
  }
}
