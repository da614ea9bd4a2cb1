/**
 * The targets that this instance stewards, each with its own task, and the
 * answer to whether it may act for a key right now.
 */
import type { Lease } from "@lentilspur/ownership/lease";
import type { InstanceListPort } from "@lentilspur/ports/instance_list";
import { planLoss } from "@lentilspur/policy/placement";
import type { Authority, Permission } from "../authority.ts";
import { buildPlacementInput, type PlacementHints } from "./placement_facts.ts";
import { isInContact, isWhollyAccepted, type LogAccess } from "./log_access.ts";
import { LeavingTargets } from "./leaving_targets.ts";
import { TargetKeeper, type TargetKeeperOptions } from "./target_keeper.ts";
import type { UnitId } from "@lentilspur/state/entries";
import type { TargetState } from "@lentilspur/state/view";

export interface StewardshipsOptions extends TargetKeeperOptions {
  readonly self: string;
  readonly lease: Lease;
  readonly log: LogAccess;
  readonly hints: PlacementHints;
  readonly instanceList: InstanceListPort;
}

interface KeptTarget {
  readonly keeper: TargetKeeper;
  readonly controller: AbortController;
}

export class Stewardships implements Authority {
  readonly #options: StewardshipsOptions;
  readonly #kept = new Map<string, KeptTarget>();
  readonly #handingOver = new Set<string>();
  readonly #leaving: LeavingTargets;
  /** Units that a move has stopped, by template and unit. */
  readonly #stoppedUnits = new Set<string>();

  constructor(options: StewardshipsOptions) {
    this.#options = options;
    this.#leaving = new LeavingTargets(options);
  }

  /** Follows the fold until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { log, timing, changes } = this.#options;
    void this.#leaving.run(signal);
    while (!signal.aborted) {
      this.#updateKept(signal);
      changes.report();
      await log.waitForFold(timing.grantEveryMs, signal);
    }
  }

  check(template: string, key: string): Permission {
    const { lease, clock, log, self } = this.#options;
    const nowMs = clock.readMs();
    if (!lease.isHeld(nowMs)) {
      return { kind: "lease-lapsed" };
    }
    const location = log.getView().locateKey(template, key);
    if (location === undefined || location.target === null) {
      return { kind: "owner-changing", why: "unowned" };
    }
    const { unit, target } = location;
    if (target.steward !== self) {
      return { kind: "not-steward", steward: target.steward };
    }
    if (this.#leaving.isClosed(target.target.id, nowMs)) {
      return { kind: "owner-changing", why: "moving" };
    }
    if (this.#stoppedUnits.has(formatUnit(template, unit.unit))) {
      return { kind: "owner-changing", why: "moving" };
    }
    const keeper = this.getKeeper(target.target.id);
    const isCurrent = keeper?.stewardToken === target.stewardToken;
    if (!isCurrent || this.#handingOver.has(target.target.id)) {
      return { kind: "owner-changing", why: "granting" };
    }
    switch (keeper.checkUnit(unit, nowMs)) {
      case "granting":
        return { kind: "owner-changing", why: "granting" };
      case "suspected":
        return { kind: "owner-changing", why: "waiting-out" };
      case "ready":
        return {
          kind: "permitted",
          unit: unit.unit,
          target: keeper.target,
          stewardToken: target.stewardToken,
          unitToken: unit.token,
          maxRunMs: keeper.checksGrants
            ? Number.MAX_SAFE_INTEGER
            : this.#options.timing.uncheckedMaxRunMs,
          untilMs: lease.computeExpiryMs(),
        };
    }
  }

  waitForChange(maxMs: number, signal?: AbortSignal): Promise<void> {
    return this.#options.changes.waitForChange(maxMs, signal);
  }

  getKeeper(target: string): TargetKeeper | undefined {
    return this.#kept.get(target)?.keeper;
  }

  /**
   * From now on nothing new is sent for this unit from here. A move that is
   * only proposed stops nothing: its unit is served until it is its turn.
   */
  startMove(template: string, unit: UnitId): void {
    this.#stoppedUnits.add(formatUnit(template, unit));
    this.#options.changes.report();
  }

  /** The move is over, one way or the other. */
  settleMove(template: string, unit: UnitId): void {
    this.#stoppedUnits.delete(formatUnit(template, unit));
    this.#options.changes.report();
  }

  /** From now on nothing new is sent to this target from here. */
  startHandOver(target: string): void {
    this.#handingOver.add(target);
    this.getKeeper(target)?.setPaused(true);
    this.#options.changes.report();
  }

  /** The hand-over did not come about. */
  cancelHandOver(target: string): void {
    this.#handingOver.delete(target);
    this.getKeeper(target)?.setPaused(false);
    this.#options.changes.report();
  }

  #updateKept(signal: AbortSignal): void {
    const { log, self } = this.#options;
    const view = log.getView();
    for (const [id, { keeper, controller }] of this.#kept) {
      const state = view.getTarget(id);
      const isKept = state?.steward === self &&
        state.stewardToken === keeper.stewardToken;
      if (!isKept) {
        controller.abort();
        this.#kept.delete(id);
        this.#handingOver.delete(id);
        this.#logChange(keeper, "given-up");
      }
    }
    for (const state of view.listTargets()) {
      if (state.steward === self && !this.#kept.has(state.target.id)) {
        this.#addKeeper(state, signal);
      }
    }
  }

  #addKeeper(state: TargetState, signal: AbortSignal): void {
    const keeper = new TargetKeeper(state, this.#options);
    const controller = new AbortController();
    signal.addEventListener("abort", () => controller.abort(), { once: true });
    this.#kept.set(state.target.id, { keeper, controller });
    this.#logChange(keeper, "taken-up");
    void this.#runKeeper(keeper, controller.signal);
  }

  async #runKeeper(keeper: TargetKeeper, signal: AbortSignal): Promise<void> {
    const { clock, lease, log, timing } = this.#options;
    while (!signal.aborted) {
      const { nextOffset } = log.getView();
      // Without its lease an instance renews no grant either, so that a
      // successor never waits for longer than the last one.
      if (lease.isHeld(clock.readMs())) {
        await keeper.renewOnce();
        await this.#settleLoss(keeper, signal);
      }
      // What was folded meanwhile may have brought units to grant.
      if (log.getView().nextOffset === nextOffset) {
        await log.waitForFold(timing.grantEveryMs, signal);
      }
    }
  }

  async #settleLoss(keeper: TargetKeeper, signal: AbortSignal): Promise<void> {
    const { clock, log, timing, decisions, self } = this.#options;
    let finding = keeper.decideLoss(clock.readMs());
    // Once the entry is written the target gets no grant again, even if it
    // comes back; so it is written only when the log will take it soon.
    while (
      finding.kind !== "alive" && !signal.aborted &&
      (finding.kind === "suspected" || !isInContact(log, clock.readMs()))
    ) {
      await clock.sleep(timing.grantEveryMs / 2, signal);
      await keeper.renewOnce();
      finding = keeper.decideLoss(clock.readMs());
    }
    if (finding.kind !== "lost" || signal.aborted) {
      return;
    }
    const target = keeper.target.id;
    const state = log.getView().getTarget(target);
    const isOwn = state?.steward === self &&
      state.stewardToken === keeper.stewardToken;
    if (!isOwn) {
      return;
    }
    const input = buildPlacementInput(
      log.getView(),
      state.target.template,
      this.#options.hints,
    );
    const reassigned = input === undefined
      ? []
      : planLoss(input, new Set([target])).map(({ unit, to }) => ({
        unit,
        to,
      }));
    const result = await log.submit([{
      kind: "target-lost",
      target,
      expectedStewardToken: keeper.stewardToken,
      evidence: finding.evidence,
      reassigned,
    }], signal);
    if (isWhollyAccepted(result)) {
      decisions.log({
        decision: "target-declared-lost",
        target,
        evidence: finding.evidence.kind,
        waitedMs: clock.readMs() - keeper.getSinceMs(),
      });
    }
  }

  #logChange(keeper: TargetKeeper, state: "taken-up" | "given-up"): void {
    this.#options.decisions.log({
      decision: "stewardship-changed",
      target: keeper.target.id,
      state,
      stewardToken: keeper.stewardToken,
    });
  }
}

function formatUnit(template: string, unit: UnitId): string {
  return `${template}\n${unit}`;
}
