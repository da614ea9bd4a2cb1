/**
 * The control loop of one simulated template: once a second it plans moves
 * from what was observed, and carries each out as the real one does: stop the
 * unit's new work, let work in progress end, write to the log, go on.
 */
import { HotKeyDetector } from "@lentilspur/policy/hot_keys";
import {
  planBalance,
  planHotKeys,
  planInitialAssignment,
} from "@lentilspur/policy/placement";
import type {
  PlacementInput,
  PlacementTarget,
  PlacementUnit,
  PlannedMove,
} from "@lentilspur/policy/placement_input";
import { UnitLoads } from "@lentilspur/policy/unit_loads";
import type { Call } from "./call.ts";
import { PLACES_PER_TARGET } from "./deployments.ts";
import type { GroupSimulation } from "./group_simulation.ts";
import { END_MS, SHARDS } from "./patterns.ts";
import { type SimulatedUnit, UnitTable } from "./unit_table.ts";

const PLAN_EVERY_MS = 1_000;
/** Two appends to the log, each read back, and a grant. */
const HAND_OVER_MS = 30;

export class GroupPlanner {
  readonly units = new UnitTable(SHARDS);
  readonly #simulation: GroupSimulation;
  readonly #loads = new UnitLoads(0);
  readonly #hotKeys = new HotKeyDetector();
  readonly #held = new Map<string, Call[]>();
  readonly #moving = new Set<SimulatedUnit>();
  #correcting = false;
  /** When the first hot key had its own unit in service. */
  hotKeyPlacedAtMs: number | null = null;

  constructor(simulation: GroupSimulation) {
    this.#simulation = simulation;
    this.#assignAll();
  }

  start(): void {
    const { events, options } = this.#simulation;
    for (let atMs = PLAN_EVERY_MS; atMs < END_MS; atMs += PLAN_EVERY_MS) {
      events.schedule(atMs, () => this.#plan());
    }
    const { joinAtMs } = options.pattern;
    if (joinAtMs !== undefined) {
      events.schedule(joinAtMs, () => this.#addTarget());
    }
  }

  /** Keeps a call until its unit's move is done. */
  addHeld(unit: string, call: Call): void {
    const held = this.#held.get(unit) ?? [];
    held.push(call);
    this.#held.set(unit, held);
  }

  /** `tookMs` is what the call took; `expectedMs` what it was expected to. */
  observeServed(call: Call, tookMs: number, expectedMs: number): void {
    this.#observe(call, { loadMs: tookMs, costMs: expectedMs });
  }

  /** What was refused asks for a place as well. */
  observeRefused(call: Call, expectedMs: number): void {
    this.#observe(call, { loadMs: expectedMs, costMs: expectedMs });
  }

  /** Called when a dispatched call has ended; moves may have waited for it. */
  settleMoves(): void {
    for (const unit of this.#moving) {
      this.#releaseIfIdle(unit);
    }
  }

  #observe(
    call: Call,
    observed: { readonly loadMs: number; readonly costMs: number },
  ): void {
    const { events, options } = this.#simulation;
    const unit = this.units.locateKey(call.subject.key).unit;
    const loadMs = options.variant.measuresLoadBy === "time"
      ? observed.loadMs
      : options.group.serviceMs;
    this.#loads.observe(unit, loadMs, events.nowMs);
    this.#hotKeys.observe(
      options.group.template,
      String(call.subject.key),
      String(call.subject.account),
      observed.costMs,
      events.nowMs,
    );
  }

  #assignAll(): void {
    const units = Array.from({ length: SHARDS }, (_, shard) => ({
      unit: `s:${shard}`,
      owner: null,
      load: 0,
      moving: false,
    }));
    const input = { ...this.#buildInput(), units };
    for (const { unit, to } of planInitialAssignment(input)) {
      this.units.add({
        unit,
        shard: null,
        owner: to,
        movingTo: null,
        stoppedAtMs: 0,
      });
    }
  }

  #addTarget(): void {
    const { options, members } = this.#simulation;
    this.#simulation.addTarget(members.size, {
      cold: true,
    });
    if (options.variant.placement === "round-robin") {
      this.#assignRoundRobin();
    }
  }

  /** Shard number modulo targets: what a joining target does to plain hashing. */
  #assignRoundRobin(): void {
    const ids = [...this.#simulation.members.keys()];
    for (const [index, unit] of this.units.list().entries()) {
      const to = ids[index % ids.length]!;
      if (to !== unit.owner) {
        this.#startMove(unit, to);
      }
    }
  }

  #plan(): void {
    const { variant } = this.#simulation.options;
    switch (variant.placement) {
      case "fixed":
      case "round-robin":
        return;
      case "weighed":
      case "trusting-reports":
        break;
    }
    const input = this.#buildInput();
    const candidates = variant.placesHotKeys
      ? this.#listHotKeyCandidates()
      : [];
    const hotMoves = planHotKeys(input, candidates);
    for (const move of hotMoves) {
      const hot = candidates.find(({ key }) => move.unit === `k:${key}`);
      this.#startHotKeyMove(move, hot!.load);
    }
    if (hotMoves.length === 0) {
      const moves = planBalance(input);
      this.#correcting = moves.length > 0;
      for (const move of moves) {
        this.#startMove(this.units.get(move.unit)!, move.to);
      }
    }
  }

  #buildInput(): PlacementInput {
    const { options } = this.#simulation;
    const trusting = options.variant.placement === "trusting-reports";
    const units = this.units.list().map((unit) => this.#toPlacementUnit(unit));
    const targets = this.#listTargets();
    return {
      template: options.group.template,
      targets: trusting ? targets.map(removeReport) : targets,
      units: trusting ? weighByReports(units, targets) : units,
      weights: options.deployment.weights,
      placesPerTarget: PLACES_PER_TARGET,
      correcting: this.#correcting,
    };
  }

  #toPlacementUnit(unit: SimulatedUnit): PlacementUnit {
    return {
      unit: unit.unit,
      owner: unit.owner,
      load: this.#loads.get(unit.unit, this.#simulation.events.nowMs),
      moving: unit.movingTo !== null,
      ...(unit.movingTo === null ? {} : { movingTo: unit.movingTo }),
    };
  }

  #listTargets(): readonly PlacementTarget[] {
    const { members, options, events } = this.#simulation;
    const slow = options.variant.startsSlowly;
    return [...members.values()].map((member, index) => ({
      id: member.target.id,
      dataCentre: "",
      leaving: false,
      ageMs: slow ? events.nowMs - member.joinedAtMs : Infinity,
      reportedLoad: options.pattern.misreport?.(index) ??
        member.target.running / PLACES_PER_TARGET,
    }));
  }

  #listHotKeyCandidates() {
    const { keys } = this.#hotKeys.listHot(this.#simulation.events.nowMs);
    return keys
      .filter(({ key }) => this.units.get(`k:${key}`) === undefined)
      .map(({ key, places }) => ({
        key,
        owner: this.units.getShard(Number(key)).owner,
        load: places,
      }));
  }

  #startHotKeyMove(move: PlannedMove, load: number): void {
    const { nowMs } = this.#simulation.events;
    const shard = this.units.getShard(Number(move.unit.slice(2)));
    if (shard.movingTo !== null) {
      return;
    }
    const unit = {
      unit: move.unit,
      shard: shard.unit,
      owner: move.from,
      movingTo: null,
      stoppedAtMs: 0,
    };
    this.units.add(unit);
    this.units.hotKeyMoves++;
    this.#loads.move(shard.unit, unit.unit, load, nowMs);
    this.#startMove(unit, move.to);
  }

  #startMove(unit: SimulatedUnit, to: string): void {
    const { members, events } = this.#simulation;
    const from = members.get(unit.owner)!;
    const withdrawn = this.#simulation.removeWaiting(
      from,
      unit.shard ?? unit.unit,
    );
    unit.movingTo = to;
    this.#moving.add(unit);
    unit.stoppedAtMs = events.nowMs;
    this.units.moves++;
    this.#simulation.offerHeld(withdrawn);
    this.#releaseIfIdle(unit);
  }

  #releaseIfIdle(unit: SimulatedUnit): void {
    const { events } = this.#simulation;
    if (this.#isBusy(unit)) {
      return;
    }
    this.#moving.delete(unit);
    events.schedule(events.nowMs + HAND_OVER_MS, () => this.#applyMove(unit));
  }

  #isBusy(unit: SimulatedUnit): boolean {
    return this.#simulation.listRunning(unit.owner).some((call) =>
      this.units.locateKey(call.subject.key) === unit
    );
  }

  #applyMove(unit: SimulatedUnit): void {
    const { nowMs } = this.#simulation.events;
    unit.owner = unit.movingTo!;
    unit.movingTo = null;
    this.units.stoppedMs += nowMs - unit.stoppedAtMs;
    if (unit.shard !== null) {
      this.hotKeyPlacedAtMs ??= nowMs;
    }
    const held = this.#held.get(unit.unit) ?? [];
    this.#held.delete(unit.unit);
    this.#simulation.offerHeld(held);
  }
}

function removeReport(target: PlacementTarget): PlacementTarget {
  const { reportedLoad: _, ...rest } = target;
  return rest;
}

/** What a planner would see that took each target's own report for its load. */
function weighByReports(
  units: readonly PlacementUnit[],
  targets: readonly PlacementTarget[],
): readonly PlacementUnit[] {
  const counts = new Map<string, number>();
  for (const { owner } of units) {
    counts.set(owner ?? "", (counts.get(owner ?? "") ?? 0) + 1);
  }
  const reports = new Map(
    targets.map(({ id, reportedLoad }) => [id, reportedLoad ?? 0]),
  );
  return units.map((unit) => {
    const report = reports.get(unit.owner ?? "") ?? 0;
    const count = counts.get(unit.owner ?? "") ?? 1;
    return { ...unit, load: report * PLACES_PER_TARGET / count };
  });
}
