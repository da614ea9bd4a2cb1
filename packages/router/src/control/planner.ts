/**
 * Turns the instance list and the folded state into entries: targets join and
 * leave, units get owners, vacant targets get stewards, epochs advance.
 *
 * One member plans for one template, chosen by rendezvous hashing. That is only
 * to save appends: two planners at once propose entries of which the fold
 * accepts one.
 */
import { sortByRendezvous } from "@lentilspur/ownership/rendezvous";
import {
  chooseSteward,
  countStewardships,
} from "@lentilspur/ownership/take_over";
import {
  planBalance,
  planDrain,
  planInitialAssignment,
} from "@lentilspur/policy/placement";
import type { PlannedMove } from "@lentilspur/policy/placement_input";
import type { Lease } from "@lentilspur/ownership/lease";
import type { Clock } from "@lentilspur/ports/clock";
import type {
  InstanceListPort,
  ListedInstance,
  ListedTarget,
} from "@lentilspur/ports/instance_list";
import type { TargetPort } from "@lentilspur/ports/target";
import type { DecisionSink } from "@lentilspur/proof/decision_line";
import type { Entry } from "@lentilspur/state/entries";
import type { TargetState } from "@lentilspur/state/view";
import type { ControlTiming } from "../settings.ts";
import type { LogAccess } from "./log_access.ts";
import { buildPlacementInput, type PlacementHints } from "./placement_facts.ts";
import { waitAtMost } from "./time_limit.ts";

export interface PlannerOptions {
  readonly self: string;
  readonly lease: Lease;
  readonly clock: Clock;
  readonly targets: TargetPort;
  readonly instanceList: InstanceListPort;
  readonly log: LogAccess;
  readonly timing: ControlTiming;
  readonly decisions: DecisionSink;
  readonly hints: PlacementHints;
}

/** Who advances the epoch; any fixed subject does. */
const EPOCH_SUBJECT = "epoch";

export class Planner {
  readonly #options: PlannerOptions;
  readonly #correcting = new Set<string>();
  #epochSeen = -1;
  #epochSeenAtMs = 0;

  constructor(options: PlannerOptions) {
    this.#options = options;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, lease, timing } = this.#options;
    while (!signal.aborted) {
      if (lease.isHeld(clock.readMs())) {
        await this.#planOnce(signal);
      }
      await clock.sleep(timing.planEveryMs, signal);
    }
  }

  async #planOnce(signal: AbortSignal): Promise<void> {
    const { log } = this.#options;
    const templates = log.getView().listTemplates()
      .filter(({ name }) => this.#isPlannerOf(`template:${name}`));
    const entries: Entry[] = [...this.#planEpoch()];
    if (templates.length > 0) {
      const listed = await this.#fetchList();
      for (const { name } of templates) {
        entries.push(...await this.#planTemplate(name, listed));
      }
    }
    if (entries.length > 0 && !signal.aborted) {
      await log.submit(entries, signal);
    }
  }

  #isPlannerOf(subject: string): boolean {
    const { log, self } = this.#options;
    const members = log.getView().listMembers();
    const ranked = sortByRendezvous(
      subject,
      members,
      (member) => member.instance.id,
    );
    return ranked[0]?.instance.id === self;
  }

  async #fetchList(): Promise<readonly ListedInstance[]> {
    const { clock, instanceList, timing } = this.#options;
    const list = await waitAtMost(
      clock,
      timing.listEveryMs,
      instanceList.list(),
    );
    return list !== undefined && list.ok ? list.val : [];
  }

  async #planTemplate(
    template: string,
    listed: readonly ListedInstance[],
  ): Promise<readonly Entry[]> {
    const targets = listed.filter((each): each is ListedTarget =>
      each.kind === "target" && each.template === template
    );
    return [
      ...await this.#planJoins(targets),
      ...this.#planLeaves(template, targets),
      ...this.#planStewards(template),
      ...this.#planAssignments(template),
      ...this.#planMoves(template),
    ];
  }

  async #planJoins(
    listed: readonly ListedTarget[],
  ): Promise<readonly Entry[]> {
    const view = this.#options.log.getView();
    const unknown = listed.filter(({ id, state }) =>
      state === "live" && view.getTarget(id) === undefined
    );
    const answers = await Promise.all(
      unknown.map((target) => this.#isReachable(target)),
    );
    const members = view.listMembers();
    const counts = countStewardships(view, members);
    const entries: Entry[] = [];
    for (const target of unknown.filter((_, index) => answers[index])) {
      const steward = chooseSteward(target.dataCentre, members, counts);
      if (steward !== undefined) {
        counts.set(steward, (counts.get(steward) ?? 0) + 1);
        entries.push(makeTargetJoined(target, steward));
      }
    }
    return entries;
  }

  /**
   * The list lags: it names a lost target as live for a while. Joining it
   * again unseen would give it units only to lose them once more.
   */
  async #isReachable(target: ListedTarget): Promise<boolean> {
    const { clock, targets, timing } = this.#options;
    const reply = await waitAtMost(
      clock,
      timing.targetSuspectMs,
      targets.probe(target),
    );
    return reply !== undefined && reply.ok && reply.val.state !== "leaving";
  }

  #planLeaves(
    template: string,
    listed: readonly ListedTarget[],
  ): readonly Entry[] {
    const view = this.#options.log.getView();
    const leaving = new Set(
      listed.filter(({ state }) => state === "leaving").map(({ id }) => id),
    );
    const entries: Entry[] = [];
    for (const state of view.listTargetsOfTemplate(template)) {
      const target = state.target.id;
      if (leaving.has(target) && !state.leaving) {
        entries.push({ kind: "target-leaving", target });
      }
      if (state.leaving && this.#isEmpty(state)) {
        entries.push({ kind: "target-left", target });
      }
    }
    return entries;
  }

  #isEmpty(state: TargetState): boolean {
    const view = this.#options.log.getView();
    const { id } = state.target;
    return view.listUnitsOfTarget(id).length === 0 &&
      view.listUnitsMovingTo(id).length === 0;
  }

  #planStewards(template: string): readonly Entry[] {
    const view = this.#options.log.getView();
    const members = view.listMembers();
    const counts = countStewardships(view, members);
    const entries: Entry[] = [];
    for (const state of view.listTargetsOfTemplate(template)) {
      const to = state.steward === null
        ? chooseSteward(state.target.dataCentre, members, counts)
        : undefined;
      if (to !== undefined) {
        counts.set(to, (counts.get(to) ?? 0) + 1);
        entries.push({
          kind: "steward-changed",
          target: state.target.id,
          expectedToken: state.stewardToken,
          to,
        });
      }
    }
    return entries;
  }

  #planAssignments(template: string): readonly Entry[] {
    const { log, hints } = this.#options;
    const input = buildPlacementInput(log.getView(), template, hints);
    const planned = input === undefined ? [] : planInitialAssignment(input);
    if (planned.length === 0) {
      return [];
    }
    const units = planned.map(({ unit, to }) => ({ unit, to }));
    return [{ kind: "units-assigned", template, units }];
  }

  #planMoves(template: string): readonly Entry[] {
    const { log, hints } = this.#options;
    const view = log.getView();
    const input = buildPlacementInput(view, template, hints);
    if (input === undefined) {
      return [];
    }
    const drains = planDrain(input);
    const correcting = this.#correcting.has(template);
    const balances = drains.length > 0
      ? []
      : planBalance({ ...input, correcting });
    if (balances.length > 0) {
      this.#correcting.add(template);
    } else {
      this.#correcting.delete(template);
    }
    return [...drains, ...balances].flatMap((move) => this.#startMove(move));
  }

  #startMove(move: PlannedMove): readonly Entry[] {
    const { log, decisions } = this.#options;
    const state = log.getView().getUnit(move.template, move.unit);
    if (state === undefined) {
      return [];
    }
    const { template, unit, from, to, reason, why } = move;
    decisions.log({
      decision: "move-proposed",
      template,
      unit,
      from,
      to,
      reason,
      why,
    });
    const expectedToken = state.token;
    return [{
      kind: "move-started",
      template,
      unit,
      expectedToken,
      to,
      reason,
    }];
  }

  /**
   * Epochs bound how long request ids are remembered. They advance by elapsed
   * time since this instance saw the present one begin.
   */
  #planEpoch(): readonly Entry[] {
    const { clock, log, timing } = this.#options;
    const { epoch } = log.getView();
    const nowMs = clock.readMs();
    if (epoch !== this.#epochSeen) {
      this.#epochSeen = epoch;
      this.#epochSeenAtMs = nowMs;
    }
    const isDue = nowMs - this.#epochSeenAtMs >= timing.epochMs;
    return isDue && this.#isPlannerOf(EPOCH_SUBJECT)
      ? [{ kind: "epoch-advanced", expectedEpoch: epoch }]
      : [];
  }
}

function makeTargetJoined(target: ListedTarget, steward: string): Entry {
  return {
    kind: "target-joined",
    target: {
      id: target.id,
      address: target.address,
      dataCentre: target.dataCentre,
      template: target.template,
      checksGrants: target.checksGrants ?? false,
    },
    steward,
  };
}
