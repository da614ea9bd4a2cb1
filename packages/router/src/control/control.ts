/**
 * The control side of one instance, assembled: lease, membership, succession,
 * stewardships, moves and planning, each a task of its own.
 */
import { Guardian } from "@lentilspur/ownership/guardian";
import { Lease } from "@lentilspur/ownership/lease";
import {
  chooseSteward,
  countStewardships,
} from "@lentilspur/ownership/take_over";
import type { Clock } from "@lentilspur/ports/clock";
import type { InstanceListPort } from "@lentilspur/ports/instance_list";
import type {
  ConsentReply,
  ConsentRequest,
  LoadReport,
  PeerPort,
  RenewReply,
  RenewRequest,
  TransferRequest,
} from "@lentilspur/ports/peer";
import type { TargetPort } from "@lentilspur/ports/target";
import type { DecisionSink } from "@lentilspur/proof/decision_line";
import type { InstanceDescription } from "@lentilspur/state/entries";
import type { UnitWork } from "../authority.ts";
import type { ControlTiming } from "../settings.ts";
import type { LoadMeter } from "../steward/load_meter.ts";
import { ChangeNotifier } from "./change_notifier.ts";
import { type HandOverOptions, transferStewardship } from "./hand_over.ts";
import { LeaseKeeper } from "./lease_keeper.ts";
import { type LogAccess, waitForContact } from "./log_access.ts";
import { Membership } from "./membership.ts";
import { LoadReporter } from "./load_reporter.ts";
import { LoadTable } from "./load_table.ts";
import { Planner } from "./planner.ts";
import { StewardSpread } from "./steward_spread.ts";
import { Stewardships } from "./stewardships.ts";
import { Succession } from "./succession.ts";
import { UnitMover } from "./unit_mover.ts";

export interface ControlOptions {
  readonly instance: InstanceDescription;
  readonly clock: Clock;
  readonly peers: PeerPort;
  readonly targets: TargetPort;
  readonly instanceList: InstanceListPort;
  readonly log: LogAccess;
  readonly timing: ControlTiming;
  readonly decisions: DecisionSink;
  readonly getMeter: () => LoadMeter;
  /** The data path is built on `stewardships`, so it comes in afterwards. */
  readonly getWork: () => UnitWork;
}

/** A rack that was just lost holds fewer of the best candidates than this. */
const MAX_ASKED = 8;

export class Control {
  readonly stewardships: Stewardships;
  readonly #options: ControlOptions;
  readonly #lease: Lease;
  readonly #guardian = new Guardian();
  readonly #membership: Membership;
  readonly #leaseKeeper: LeaseKeeper;
  readonly #loads: LoadTable;
  readonly #running = new AbortController();
  #isDraining = false;
  /** Tasks that would take on new work; they end first. */
  readonly #planning = new AbortController();

  constructor(options: ControlOptions) {
    this.#options = options;
    const { timing, clock, log, getWork } = options;
    const self = options.instance.id;
    const changes = new ChangeNotifier(clock);
    const lease = new Lease({
      leaseMs: timing.leaseMs,
      marginMs: timing.leaseMarginMs,
      driftRatio: timing.clockDriftRatio,
    });
    this.#lease = lease;
    this.#loads = new LoadTable(clock, () => log.getView());
    const shared = { ...options, self, lease, changes, state: log };
    this.#leaseKeeper = new LeaseKeeper(shared);
    this.#membership = new Membership({
      ...shared,
      leaseKeeper: this.#leaseKeeper,
    });
    this.stewardships = new Stewardships({
      ...shared,
      hints: this.#loads,
      getContact: (target) => getWork().getContact(target),
      mayAct: () => lease.isHeld(clock.readMs()),
    });
  }

  /** Resolves once this instance is a member; its tasks go on until `stop`. */
  async start(): Promise<void> {
    const signal = this.#running.signal;
    await this.#membership.join(signal);
    if (signal.aborted) {
      return;
    }
    const shared = {
      ...this.#buildHandOverOptions(),
      lease: this.#lease,
      guardian: this.#guardian,
      loads: this.#loads,
      handleOwn: (report: LoadReport) => this.handleLoadReport(report),
    };
    const planning = this.#planning.signal;
    void this.#leaseKeeper.run(signal);
    void this.#membership.run(signal);
    void this.stewardships.run(signal);
    void new UnitMover(shared).run(signal);
    void new Succession(shared).run(planning);
    void new LoadReporter({ ...this.#options, ...shared }).run(planning);
    void new Planner({ ...this.#options, ...shared }).run(planning);
    void new StewardSpread(shared).run(planning);
  }

  /** Whether this instance may act for its targets right now. */
  isLeaseHeld(): boolean {
    return this.#lease.isHeld(this.#options.clock.readMs());
  }

  /**
   * Whether this instance may pledge to others: it was surely a member not
   * long ago. Its own lease shows that, since it lapses before a removal; and
   * so does the log.
   *
   * Were only the present lease asked, instances whose leases have all lapsed
   * (a pause of the whole network does it) would refuse each other for ever.
   */
  #isInStanding(): boolean {
    const { clock, log, timing, instance } = this.#options;
    if (this.#lease.isStopped()) {
      return false;
    }
    const isListed = log.getView().getMember(instance.id) !== undefined;
    const memberAtMs = Math.max(
      this.#lease.computeExpiryMs(),
      isListed ? log.getConfirmedAtMs() : Number.NEGATIVE_INFINITY,
    );
    return clock.readMs() < memberAtMs + timing.standingMs;
  }

  /** Taken over, or given up by too many guardians: it must start anew. */
  isBeyondRenewal(): boolean {
    return this.#lease.isBeyondRenewal();
  }

  /**
   * Hands every target over; for a planned stop, before `stop`. While the log
   * is silent no hand-over could be finished, so the targets are served on.
   */
  async drain(): Promise<void> {
    this.#planning.abort();
    this.#isDraining = true;
    const { log, instance } = this.#options;
    const signal = this.#running.signal;
    for (const { target } of log.getView().listTargets()) {
      const present = log.getView().getTarget(target.id);
      if (present?.steward === instance.id) {
        await waitForContact(this.#options, signal);
        await this.#transferTarget(target.id, signal);
      }
    }
  }

  async #transferTarget(target: string, signal: AbortSignal): Promise<void> {
    const { log, instance } = this.#options;
    const to = await this.#findSuccessor(target);
    const state = log.getView().getTarget(target);
    if (state?.steward === instance.id && to !== undefined) {
      const options = this.#buildHandOverOptions();
      await transferStewardship(options, state, to, signal);
    }
  }

  /**
   * The best steward that answers and is not stopping itself. Two instances
   * that stop at once would else hand a target to each other, and a member that
   * was lost a moment ago would be given one.
   */
  async #findSuccessor(target: string): Promise<string | undefined> {
    const { log, instance } = this.#options;
    const view = log.getView();
    const dataCentre = view.getTarget(target)?.target.dataCentre ?? "";
    let others = view.listMembers()
      .filter((member) => member.instance.id !== instance.id);
    const counts = countStewardships(view, others);
    for (let asked = 0; asked < MAX_ASKED; asked++) {
      const to = chooseSteward(dataCentre, others, counts);
      if (to === undefined || await this.#membership.isWilling(to)) {
        return to;
      }
      others = others.filter((member) => member.instance.id !== to);
    }
    return undefined;
  }

  /** Leaves the members if `drain` has handed everything over. */
  async leave(): Promise<void> {
    await this.#membership.leave(this.#running.signal);
  }

  /** Ends every task at once; whatever is not handed over is waited out. */
  stop(): void {
    this.#planning.abort();
    this.#running.abort();
    this.#lease.stop();
  }

  /**
   * A holder that the fold has removed gets no pledge, whoever consented: one
   * that was paused for its take-over would else hold a lease again until it
   * has folded its own removal.
   */
  answerRenewal(request: RenewRequest): RenewReply {
    const view = this.#options.log.getView();
    if (view.getRemovalPosition(request.holder) !== undefined) {
      return { kind: "revoked" };
    }
    if (this.#isDraining) {
      return { kind: "unable", message: "The guardian is stopping" };
    }
    if (view.getMember(request.holder) === undefined) {
      return { kind: "unable", message: "The holder is not a member here" };
    }
    return this.#guardian.answerRenewal(request.holder, request.leaseMs, {
      nowMs: this.#options.clock.readMs(),
      mayPledge: this.#isInStanding(),
    });
  }

  answerConsent(request: ConsentRequest): ConsentReply {
    const nowMs = this.#options.clock.readMs();
    return this.#guardian.answerConsent(request.holder, nowMs);
  }

  handleLoadReport(report: LoadReport): void {
    this.#loads.handleReport(report);
  }

  handleTransfer(request: TransferRequest): void {
    this.#options.getWork().addMemory(request.template, request.units, {
      token: request.token,
      floor: request.completeSince,
      remembered: request.remembered,
    });
  }

  #buildHandOverOptions(): HandOverOptions {
    return {
      ...this.#options,
      self: this.#options.instance.id,
      stewardships: this.stewardships,
      work: this.#options.getWork(),
    };
  }
}
