/**
 * Keeps one target under this instance's stewardship: renews its grants, knows
 * whether it may be sent to, and finds out when it is lost.
 */
import { GrantWindow } from "@lentilspur/ownership/grant_window";
import type { Position } from "@lentilspur/outcomes/position";
import type { Clock } from "@lentilspur/ports/clock";
import type {
  GrantedUnit,
  TargetAddress,
  TargetFailure,
  TargetPort,
} from "@lentilspur/ports/target";
import type { DecisionSink } from "@lentilspur/proof/decision_line";
import type { TargetLossEvidence, UnitId } from "@lentilspur/state/entries";
import { getKeyOfUnit } from "@lentilspur/state/units";
import type { TargetState, UnitState } from "@lentilspur/state/view";
import type { TargetContact } from "../authority.ts";
import type { ControlTiming } from "../settings.ts";
import type { StateSource } from "../state_source.ts";
import type { ChangeNotifier } from "./change_notifier.ts";
import { waitAtMost } from "./time_limit.ts";

export interface TargetKeeperOptions {
  readonly clock: Clock;
  readonly targets: TargetPort;
  readonly state: StateSource;
  readonly timing: ControlTiming;
  readonly changes: ChangeNotifier;
  readonly decisions: DecisionSink;
  /** What dispatches have shown of the target. */
  readonly getContact: (target: string) => TargetContact | undefined;
  /** Whether this instance's lease holds right now. */
  readonly mayAct: () => boolean;
}

export type KeeperReadiness = "ready" | "granting" | "suspected";

/** What the steward has found out about a silent target. */
export type LossFinding =
  | { readonly kind: "alive" }
  | { readonly kind: "suspected" }
  | { readonly kind: "lost"; readonly evidence: TargetLossEvidence };

export class TargetKeeper {
  readonly target: TargetAddress;
  readonly stewardToken: Position;
  readonly #template: string;
  readonly #checksGrants: boolean;
  readonly #options: TargetKeeperOptions;
  readonly #window: GrantWindow;
  readonly #granted = new Map<UnitId, Position>();
  /**
   * Units that the target must give up, with the ownership that ends. One that
   * comes back later has a new token and is granted again.
   */
  readonly #revoking = new Map<UnitId, Position>();
  readonly #startedAtMs: number;
  #lastHeardAtMs: number;
  /** Since when nothing has listened at the address; undefined if unsure. */
  #refusedSinceMs: number | undefined;
  #restartedAtMs: number | undefined;
  #lastExchange: Promise<unknown> = Promise.resolve();
  /** As last confirmed by the target; undefined where it holds nothing. */
  #excludedKeys: string | undefined;
  #isPaused = false;
  #grantedAllAtMs = Number.NEGATIVE_INFINITY;

  constructor(state: TargetState, options: TargetKeeperOptions) {
    const { id, address, checksGrants, template } = state.target;
    this.#template = template;
    this.target = { id, address };
    this.stewardToken = state.stewardToken;
    this.#checksGrants = checksGrants;
    this.#options = options;
    this.#startedAtMs = options.clock.readMs();
    this.#lastHeardAtMs = this.#startedAtMs;
    this.#window = new GrantWindow({
      grantMs: options.timing.grantMs,
      driftRatio: options.timing.clockDriftRatio,
      marginMs: options.timing.leaseMarginMs,
    });
  }

  get checksGrants(): boolean {
    return this.#checksGrants;
  }

  /** From when on what this steward sends may reach the present process. */
  getSinceMs(): number {
    return this.#restartedAtMs ?? this.#startedAtMs;
  }

  /** Whether the process that earlier stewards sent to has ended. */
  hasRestarted(): boolean {
    return this.#restartedAtMs !== undefined;
  }

  checkUnit(unit: UnitState, nowMs: number): KeeperReadiness {
    if (this.isSuspected(nowMs)) {
      return "suspected";
    }
    if (!this.#checksGrants) {
      return "ready";
    }
    const isGranted = this.#granted.get(unit.unit) === unit.token &&
      nowMs < this.#window.getUsableUntilMs();
    return isGranted ? "ready" : "granting";
  }

  isSuspected(nowMs: number): boolean {
    const silentMs = nowMs - this.#getLastHeardMs();
    return silentMs > this.#options.timing.targetSuspectMs;
  }

  /**
   * No grant leaves from here while a hand-over is on its way: the next
   * steward counts from when it folds the change, so a later grant of this one
   * would outlive its waiting.
   */
  setPaused(isPaused: boolean): void {
    this.#isPaused = isPaused;
  }

  /** One round of contact: a probe, or the renewal of all grants. */
  async renewOnce(): Promise<void> {
    await this.#runInTurn(() => this.#probeAndGrant());
  }

  /**
   * Has the target give a unit up for good. True once the target has confirmed
   * that it neither holds the unit nor works on it.
   */
  async revokeUnit(unit: UnitId): Promise<boolean> {
    const owned = this.#options.state.getView()
      .listUnitsOfTarget(this.target.id).find((each) => each.unit === unit);
    if (owned !== undefined) {
      this.#revoking.set(unit, owned.token);
    }
    return await this.#runInTurn(async () => {
      if (this.#window.getBootId() === undefined) {
        await this.#probe();
      }
      return this.#window.getBootId() !== undefined &&
        await this.#sendGrant([], [unit], unit);
    });
  }

  /** The move of this unit did not come about: it is granted again. */
  restoreUnit(unit: UnitId): void {
    this.#revoking.delete(unit);
  }

  /** What silence and refusals prove by now. */
  decideLoss(nowMs: number): LossFinding {
    const { timing } = this.#options;
    if (!this.isSuspected(nowMs)) {
      return { kind: "alive" };
    }
    if (this.#hasProcessEnded(nowMs)) {
      return { kind: "lost", evidence: { kind: "process-ended" } };
    }
    const lapsedFromMs = Math.max(
      this.#window.getLapsedFromMs(),
      // An earlier steward's grants are fenced only by a grant of this one;
      // until that has reached the target they are waited out.
      this.#startedAtMs + timing.grantMs * (1 + timing.clockDriftRatio),
    );
    return this.#checksGrants && nowMs >= lapsedFromMs
      ? { kind: "lost", evidence: { kind: "grants-lapsed" } }
      : { kind: "suspected" };
  }

  /**
   * A frozen process still has its listener, and its kernel accepts for it; so
   * refusals that go on prove that the process has closed it. One that is
   * stopping gracefully may still run a request, which is waited out.
   */
  #hasProcessEnded(nowMs: number): boolean {
    const { timing } = this.#options;
    return this.#refusedSinceMs !== undefined &&
      nowMs - this.#refusedSinceMs >=
        Math.max(timing.targetSuspectMs, timing.uncheckedMaxRunMs);
  }

  #getLastHeardMs(): number {
    const contact = this.#options.getContact(this.target.id);
    return Math.max(this.#lastHeardAtMs, contact?.lastHeardAt ?? 0);
  }

  /**
   * Exchanges with the target go one after another: two grants on two
   * connections could arrive in the other order, and an older list of units
   * would stand.
   */
  #runInTurn<T>(exchange: () => Promise<T>): Promise<T> {
    const turn = this.#lastExchange.then(exchange, exchange);
    this.#lastExchange = turn;
    return turn;
  }

  async #probeAndGrant(): Promise<void> {
    // A suspected target gets no further grants, so that the last one lapses;
    // a probe shows whether it is back. After a pause of this process the last
    // reading of the target's clock is too old to base a grant on.
    const isProbed = !this.#checksGrants || this.#isSuspectedNow() ||
      !this.#isGrantLive();
    if (isProbed) {
      await this.#probe();
    }
    const mayGrant = this.#checksGrants &&
      this.#window.getBootId() !== undefined && !this.#isSuspectedNow();
    if (mayGrant) {
      await this.#grant();
    }
  }

  /** The target has refused a request since it was last granted everything. */
  #hasBeenFenced(): boolean {
    const contact = this.#options.getContact(this.target.id);
    const fencedAtMs = contact?.lastFencedAt ?? Number.NEGATIVE_INFINITY;
    return fencedAtMs > this.#grantedAllAtMs;
  }

  #isGrantLive(): boolean {
    const nowMs = this.#options.clock.readMs();
    return nowMs < this.#window.getUsableUntilMs();
  }

  #isSuspectedNow(): boolean {
    return this.isSuspected(this.#options.clock.readMs());
  }

  async #probe(): Promise<void> {
    const { clock, targets, timing } = this.#options;
    const askedAtMs = clock.readMs();
    const call = targets.probe(this.target);
    const reply = await waitAtMost(clock, timing.grantEveryMs, call);
    if (reply === undefined || !reply.ok) {
      this.#recordFailure(reply?.val);
      return;
    }
    this.#recordHeard(askedAtMs, reply.val);
  }

  async #grant(): Promise<void> {
    // A target whose grant has lapsed holds no units any more, so all of them
    // are granted anew. Renewing in place would leave it refusing every request
    // while this steward takes its units for granted.
    if (!this.#isGrantLive() || this.#hasBeenFenced()) {
      this.#clearGranted();
    }
    const wanted = this.#listWantedUnits();
    const add = wanted.filter(({ unit, token }) =>
      this.#granted.get(unit) !== token
    );
    const names = new Set(wanted.map(({ unit }) => unit));
    const remove = [...this.#granted.keys()].filter((unit) => !names.has(unit));
    await this.#sendGrant(add, remove);
  }

  /** True where the target confirmed and does not work on `awaited`. */
  async #sendGrant(
    add: readonly GrantedUnit[],
    remove: readonly UnitId[],
    awaited?: UnitId,
  ): Promise<boolean> {
    const { clock, targets, timing, changes, mayAct } = this.#options;
    // A probe before may have taken until after the lease lapsed. A grant sent
    // then could outlive the time that a successor waits.
    if (this.#isPaused || !mayAct()) {
      return false;
    }
    const askedAtMs = clock.readMs();
    const basedOnMs = this.#window.getReadingAskedAtMs();
    const excludedKeys = this.#listExcludedKeys();
    const excludedText = JSON.stringify(excludedKeys);
    const isUnchanged = excludedText === this.#excludedKeys;
    const call = targets.grant(this.target, {
      stewardToken: this.stewardToken,
      bootId: this.#window.getBootId() ?? "",
      validUntilMs: this.#window.claimNextEnd(),
      add,
      remove,
      excludedKeys: isUnchanged ? null : excludedKeys,
    });
    const reply = await waitAtMost(clock, timing.grantEveryMs, call);
    const isAccepted = reply !== undefined && reply.ok;
    this.#logGrant(add, remove, isAccepted);
    if (reply === undefined || !reply.ok) {
      this.#recordFailure(reply?.val);
      return false;
    }
    if (this.#granted.size === 0) {
      this.#grantedAllAtMs = askedAtMs;
    }
    add.forEach(({ unit, token }) => this.#granted.set(unit, token));
    remove.forEach((unit) => this.#granted.delete(unit));
    this.#excludedKeys = excludedText;
    this.#window.recordConfirmed(basedOnMs);
    this.#recordHeard(askedAtMs, reply.val);
    changes.report();
    return awaited === undefined || !reply.val.busyUnits.includes(awaited);
  }

  /** Every unit that the target owns, until its move has it given up. */
  #listWantedUnits(): readonly GrantedUnit[] {
    return this.#options.state.getView().listUnitsOfTarget(this.target.id)
      .filter(({ unit, token }) => this.#revoking.get(unit) !== token)
      .map(({ unit, token }) => ({ unit, token }));
  }

  /** Keys whose shard may be here while they themselves are elsewhere. */
  #listExcludedKeys(): readonly string[] {
    return this.#options.state.getView().listKeyUnits(this.#template)
      .filter(({ unit, owner, token }) =>
        owner !== this.target.id || this.#revoking.get(unit) === token
      )
      .map(({ unit }) => getKeyOfUnit(unit)!)
      .sort();
  }

  #clearGranted(): void {
    this.#granted.clear();
    this.#excludedKeys = undefined;
  }

  #recordHeard(
    askedAtMs: number,
    reading: { readonly bootId: string; readonly elapsedMs: number },
  ): void {
    const arrivedAtMs = this.#options.clock.readMs();
    const before = this.#window.getBootId();
    if (before !== undefined && before !== reading.bootId) {
      this.#recordRestart();
    }
    this.#window.recordReading({ ...reading, askedAtMs, arrivedAtMs });
    this.#lastHeardAtMs = arrivedAtMs;
    this.#refusedSinceMs = undefined;
  }

  /**
   * The old process has ended with all its grants; the new one has none. It may
   * have started any time after the old one last answered, so what was sent
   * since then may have reached either.
   */
  #recordRestart(): void {
    this.#restartedAtMs = this.#window.getReadingArrivedAtMs();
    this.#window.reset();
    this.#clearGranted();
  }

  #recordFailure(failure: TargetFailure | undefined): void {
    const nowMs = this.#options.clock.readMs();
    switch (failure?.kind) {
      case "refused":
        this.#refusedSinceMs ??= nowMs;
        return;
      case "restarted":
        this.#recordRestart();
        return;
      case "fenced":
        // A later steward is at work; the fold will tell.
        this.#clearGranted();
        return;
      case "silent":
      case "unsupported":
      case undefined:
        this.#refusedSinceMs = undefined;
        return;
    }
  }

  #logGrant(
    add: readonly GrantedUnit[],
    remove: readonly UnitId[],
    accepted: boolean,
  ): void {
    if (accepted && add.length === 0 && remove.length === 0) {
      return;
    }
    this.#options.decisions.log({
      decision: "grant-sent",
      target: this.target.id,
      stewardToken: this.stewardToken,
      added: add.map(({ unit }) => unit),
      removed: remove,
      ttlMs: this.#options.timing.grantMs,
      accepted,
    });
  }
}
