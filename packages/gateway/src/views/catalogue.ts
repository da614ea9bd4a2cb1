/**
 * Holds the configuration and the targets that this instance routes by.
 *
 * A configuration takes effect only if its version is above the version in
 * force, whether it came from the store or from a peer. Targets whose entries
 * expired while the store was unavailable have a grace period for their entries
 * to come back before the targets are removed. A target may restart under the
 * same id. The new incarnation inherits no state from the old one, and a late
 * entry of the old incarnation is ignored.
 */
import type { Result } from "@lentilspur/outcomes/result";
import type {
  KnownTarget,
  RoutingTable,
  RoutingTarget,
} from "@lentilspur/ports/routing_table";
import {
  type MatchedRoute,
  type RoutedRequest,
  RouteIndex,
} from "@lentilspur/routing/route_index";
import {
  formatTargetIncarnation,
  type TargetIncarnation,
} from "@lentilspur/routing/target_incarnation";
import type {
  CatalogueEvent,
  Withdrawal,
  WithdrawalReason,
} from "./catalogue_event.ts";
import { Evacuations } from "./evacuations.ts";
import { ReplacedTargets } from "./replaced_targets.ts";
import { TargetStartTimes } from "./target_start_times.ts";

export interface CatalogueOptions {
  readonly decodeConfiguration: (text: string) => Result<RoutingTable, string>;
  readonly decodeTarget: (
    id: string,
    text: string,
  ) => Result<RoutingTarget, string>;
  readonly observe: (event: CatalogueEvent) => void;
}

/**
 * Entries that expired during an outage are back about 2 s after its end; a
 * reader that polls every 750 ms sees the last of them a little later.
 */
export const EXPIRED_ENTRY_GRACE_MS = 2_500;

/** Maximum time between the write and the read of an entry. */
const ENTRY_DELAY_MS = 800;
/**
 * Targets of a data centre that is restored may have become cold while it was
 * evacuated; their entries report this within this time.
 */
const PRESUMED_COLD_MS = 2_000;

/** About a day of a fleet with 4,600 restarts a day. */
const MAX_REPORTED_LEAVING = 5_000;

/** What this instance knows of a target, also while its entry is missing. */
interface TargetState {
  target: KnownTarget;
  /** Sequence number of the newest entry. */
  sequence: number;
  /**
   * Since when the entry has been missing, by the local clock; null if present.
   */
  missingSinceMs: number | null;
  /** When the target is removed if the entry stays missing; null if present. */
  goneAtMs: number | null;
  /**
   * Since when the target has been leaving according to its entry, by the local
   * clock.
   */
  leavingSinceMs: number | null;
}

export class Catalogue {
  readonly #options: CatalogueOptions;
  readonly #targets = new Map<string, TargetState>();
  readonly #evacuations = new Evacuations();
  readonly #startTimes = new TargetStartTimes();
  readonly #replaced = new ReplacedTargets();
  /**
   * Since when each incarnation has been leaving according to its responses, by
   * the local clock. Kept while its entry is gone, which may come back.
   */
  readonly #reportedLeavingSinceMs = new Map<string, number>();
  #table: RoutingTable | undefined;
  #index = new RouteIndex([]);
  #targetsChanged = false;

  constructor(options: CatalogueOptions) {
    this.#options = options;
  }

  /** The configuration in force; undefined until one has been applied. */
  get routingTable(): RoutingTable | undefined {
    return this.#table;
  }

  match(request: RoutedRequest): MatchedRoute | undefined {
    return this.#index.match(request);
  }

  applyConfiguration(text: string): boolean {
    const { decodeConfiguration, observe } = this.#options;
    const decoded = decodeConfiguration(text);
    if (!decoded.ok) {
      observe({
        kind: "configuration-ignored",
        why: decoded.val,
        isUnreadable: true,
      });
      return false;
    }
    const table = decoded.val;
    if (this.#table !== undefined && table.version <= this.#table.version) {
      const why =
        `Version ${table.version} is not above version ${this.#table.version}, which is in force`;
      observe({ kind: "configuration-ignored", why, isUnreadable: false });
      return false;
    }
    this.#table = table;
    this.#index = new RouteIndex(table.routes);
    const routes = table.routes.length;
    observe({ kind: "configuration", version: table.version, routes });
    return true;
  }

  /** Whether an entry names a target or removes one. */
  isReadable(id: string, text: string): boolean {
    return text === "" || this.#options.decodeTarget(id, text).ok;
  }

  /** Whether applying an entry would change the state of its target. */
  isChange(id: string, text: string, nowMs: number): boolean {
    const known = this.#targets.get(id);
    if (text === "") {
      return known !== undefined && known.goneAtMs === null;
    }
    const decoded = this.#options.decodeTarget(id, text);
    return decoded.ok &&
      this.#describeStaleness(decoded.val) === undefined &&
      (known === undefined || known.goneAtMs !== null ||
        !isSameState(known.target, decoded.val) ||
        isColdLonger(known.target, decoded.val, nowMs));
  }

  /** Applies an entry. If it is empty, it may come back within `graceMs`. */
  applyTarget(
    id: string,
    text: string,
    options: { readonly nowMs: number; readonly graceMs: number },
  ): void {
    if (text === "") {
      this.#removeEntry(id, options.nowMs, options.graceMs);
      return;
    }
    const decoded = this.#options.decodeTarget(id, text);
    if (!decoded.ok) {
      this.#reportIgnored(id, decoded.val, true);
      return;
    }
    const staleness = this.#describeStaleness(decoded.val);
    if (staleness !== undefined) {
      this.#reportIgnored(id, staleness, false);
      return;
    }
    this.#setTarget(decoded.val, options.nowMs);
  }

  /**
   * Removes targets whose grace period is over; true if any target has changed
   * since the last call.
   */
  advance(nowMs: number): boolean {
    for (const [id, known] of this.#targets) {
      if (known.goneAtMs !== null && nowMs >= known.goneAtMs) {
        this.#targets.delete(id);
        this.#report(known.target, "gone");
      }
    }
    const changed = this.#targetsChanged;
    this.#targetsChanged = false;
    return changed;
  }

  getTarget(id: string): KnownTarget | undefined {
    return this.#targets.get(id)?.target;
  }

  /** Applies an operator's order to evacuate a data centre or to restore it. */
  applyEvacuation(
    dataCentre: string,
    isEvacuated: boolean,
    nowMs: number,
  ): void {
    if (!this.#evacuations.apply(dataCentre, isEvacuated, nowMs)) {
      return;
    }
    const targets = [...this.#targets.values()]
      .filter(({ target }) => target.dataCentre === dataCentre);
    if (!isEvacuated) {
      targets.forEach((known) =>
        this.#setCold(known, nowMs + PRESUMED_COLD_MS, nowMs)
      );
    }
    this.#targetsChanged = true;
    this.#options.observe({
      kind: "evacuation",
      dataCentre,
      state: isEvacuated ? "evacuated" : "restored",
      targets: targets.length,
    });
  }

  hasTargetsIn(dataCentre: string): boolean {
    return [...this.#targets.values()]
      .some(({ target }) => target.dataCentre === dataCentre);
  }

  isEvacuated(dataCentre: string): boolean {
    return this.#evacuations.getSinceMs(dataCentre) !== null;
  }

  /** Lists the data centres that are evacuated now. */
  listEvacuated(): readonly string[] {
    return this.#evacuations.list();
  }

  /**
   * Requests per second that a target accepts while cold; undefined if it is
   * not cold.
   */
  getColdPerSecond(
    { id, bornMs }: TargetIncarnation,
    nowMs: number,
  ): number | undefined {
    const target = this.getTarget(id);
    return target === undefined || target.bornMs !== bornMs ||
        nowMs >= target.coldUntilMs
      ? undefined
      : this.#table?.services.get(target.service)?.coldPerSecond;
  }

  /**
   * Records that a response of a target says that it leaves; returns whether
   * this is news. The store may take many seconds to accept the target's own
   * entry.
   */
  recordReportedLeaving(
    { id, bornMs }: TargetIncarnation,
    nowMs: number,
  ): boolean {
    const known = this.#targets.get(id);
    if (
      known === undefined || known.target.bornMs !== bornMs ||
      this.#findReportedLeavingSinceMs(known.target) !== null
    ) {
      return false;
    }
    const since = this.#reportedLeavingSinceMs;
    since.set(formatTargetIncarnation(known.target), nowMs);
    if (since.size > MAX_REPORTED_LEAVING) {
      since.delete(since.keys().next().value!);
    }
    known.target = { ...known.target, leaving: true };
    this.#report(known.target, "reported-leaving");
    return true;
  }

  /** Whether a target gets no new work. */
  isWithdrawn(id: string): boolean {
    const known = this.#targets.get(id);
    return known !== undefined &&
      (this.#findReportedLeavingSinceMs(known.target) !== null ||
        this.getLeavingSinceMs(id) !== null ||
        this.isEvacuated(known.target.dataCentre));
  }

  /** Lists why and since when a target gets no new work. */
  listWithdrawals(id: string): readonly Withdrawal[] {
    const known = this.#targets.get(id);
    if (known === undefined) {
      return [];
    }
    const since: readonly (readonly [WithdrawalReason, number | null])[] = [
      ["leaving", this.getLeavingSinceMs(id)],
      ["reported-leaving", this.#findReportedLeavingSinceMs(known.target)],
      ["evacuated", this.#evacuations.getSinceMs(known.target.dataCentre)],
    ];
    return since.flatMap(([reason, sinceMs]) =>
      sinceMs === null ? [] : [{ reason, sinceMs }]
    );
  }

  /**
   * Since when a target has been leaving; null if it is not leaving. A target
   * whose entry is missing counts as leaving, although the entry may come back:
   * the target may have left while this instance could not read the store. If
   * most entries of a service are missing, they expired in an outage, and their
   * targets do not count as leaving.
   */
  getLeavingSinceMs(id: string): number | null {
    const known = this.#targets.get(id);
    if (known === undefined) {
      return null;
    }
    const { leavingSinceMs, missingSinceMs, target } = known;
    return leavingSinceMs === null && missingSinceMs !== null &&
        this.#hasMassExpiry(target.service)
      ? null
      : leavingSinceMs ?? missingSinceMs;
  }

  /**
   * Lists all targets of a service. Those that get no new work, because they
   * are leaving or their data centre is evacuated, have `leaving` set.
   */
  listForNewWork(service: string): readonly KnownTarget[] {
    return this.listTargets(service).map((target) =>
      target.leaving || !this.isWithdrawn(target.id)
        ? target
        : { ...target, leaving: true }
    );
  }

  /** Lists the targets of all services. */
  listAllTargets(): readonly KnownTarget[] {
    return [...this.#targets.values()].map(({ target }) => target);
  }

  listTargets(service: string): readonly KnownTarget[] {
    const targets: KnownTarget[] = [];
    for (const { target } of this.#targets.values()) {
      if (target.service === service) {
        targets.push(target);
      }
    }
    return targets;
  }

  /**
   * Records that another process has answered at the address of a target, so
   * that the target has ended.
   */
  recordReplaced(incarnation: TargetIncarnation): void {
    this.#replaced.record(incarnation);
  }

  /**
   * Whether an incarnation of a target is proved to have ended and to hold no
   * keys any more. False if a later incarnation has the same id: orders that
   * were sent to the earlier one may have reached the later one.
   */
  hasEnded(incarnation: TargetIncarnation): boolean {
    return this.#replaced.has(incarnation) &&
      this.#startTimes.getBornMs(incarnation.id) === incarnation.bornMs;
  }

  get targetCount(): number {
    return this.#targets.size;
  }

  #removeEntry(id: string, nowMs: number, graceMs: number): void {
    const known = this.#targets.get(id);
    if (known !== undefined && known.goneAtMs === null) {
      known.missingSinceMs = nowMs;
      known.goneAtMs = nowMs + graceMs;
      this.#report(known.target, "missing");
    }
  }

  /**
   * Describes why an entry is older than the known state of its target; a stale
   * entry is ignored.
   */
  #describeStaleness(
    { id, bornMs, sequence }: RoutingTarget,
  ): string | undefined {
    const newestBornMs = this.#startTimes.getBornMs(id);
    if (newestBornMs === undefined) {
      return undefined;
    }
    if (bornMs === undefined) {
      return "The entry has no start time, but an earlier entry of the target had one";
    }
    if (bornMs < newestBornMs) {
      return `The entry is of an earlier incarnation: start time ${bornMs} is before ${newestBornMs}`;
    }
    const known = this.#targets.get(id);
    const isBehind = known !== undefined && bornMs === known.target.bornMs &&
      sequence < known.sequence;
    return isBehind
      ? `The entry is out of date: sequence ${sequence} is below ${known.sequence}`
      : undefined;
  }

  #reportIgnored(targetId: string, why: string, isUnreadable: boolean): void {
    this.#options.observe({
      kind: "target-ignored",
      targetId,
      why,
      isUnreadable,
    });
  }

  #setTarget(target: RoutingTarget, nowMs: number): void {
    const known = this.#targets.get(target.id);
    if (known !== undefined && isSameState(known.target, target)) {
      this.#targetsChanged ||= known.missingSinceMs !== null;
      known.sequence = target.sequence;
      known.missingSinceMs = null;
      known.goneAtMs = null;
      if (target.leaving) {
        known.leavingSinceMs ??= nowMs;
      }
      if (isColdLonger(known.target, target, nowMs)) {
        this.#setCold(known, nowMs + target.coldMs, nowMs);
      }
      return;
    }
    this.#startTimes.record(target);
    const isSameIncarnation = known !== undefined &&
      known.target.bornMs === target.bornMs;
    // An incarnation that has reported that it is leaving stays leaving.
    const leaving = target.leaving ||
      (isSameIncarnation && known.target.leaving) ||
      this.#findReportedLeavingSinceMs(target) !== null;
    const since = isSameIncarnation ? known.leavingSinceMs : null;
    const coldUntilMs = isSameIncarnation
      ? known.target.coldUntilMs
      : -Infinity;
    const state: TargetState = {
      target: { ...target, leaving, coldUntilMs },
      sequence: target.sequence,
      missingSinceMs: null,
      goneAtMs: null,
      leavingSinceMs: target.leaving ? since ?? nowMs : since,
    };
    this.#targets.set(target.id, state);
    this.#report(target, leaving ? "leaving" : "present");
    if (isColdLonger(state.target, target, nowMs)) {
      this.#setCold(state, nowMs + target.coldMs, nowMs);
    }
  }

  #findReportedLeavingSinceMs(incarnation: TargetIncarnation): number | null {
    return this.#reportedLeavingSinceMs.size === 0
      ? null
      : this.#reportedLeavingSinceMs.get(
        formatTargetIncarnation(incarnation),
      ) ?? null;
  }

  #setCold(known: TargetState, untilMs: number, nowMs: number): void {
    const { id: targetId, service, coldUntilMs } = known.target;
    known.target = {
      ...known.target,
      coldUntilMs: Math.max(coldUntilMs, untilMs),
    };
    this.#targetsChanged = true;
    const forMs = Math.round(known.target.coldUntilMs - nowMs);
    this.#options.observe({ kind: "target-cold", targetId, service, forMs });
  }

  #hasMassExpiry(service: string): boolean {
    let missing = 0;
    let all = 0;
    for (const { target, missingSinceMs } of this.#targets.values()) {
      if (target.service === service) {
        all++;
        missing += missingSinceMs === null ? 0 : 1;
      }
    }
    return missing > all / 2;
  }

  #report(
    target: RoutingTarget,
    state: (CatalogueEvent & { readonly kind: "target" })["state"],
  ): void {
    this.#targetsChanged = true;
    const { id: targetId, service } = target;
    this.#options.observe({ kind: "target", targetId, service, state });
  }
}

/**
 * Whether an entry reports that its target is cold for longer than known so
 * far.
 */
function isColdLonger(
  known: KnownTarget,
  { coldMs }: RoutingTarget,
  nowMs: number,
): boolean {
  const knownUntilMs = Math.max(known.coldUntilMs, nowMs);
  return nowMs + coldMs > knownUntilMs + ENTRY_DELAY_MS;
}

/**
 * Whether an entry differs from the known state of its target in nothing but
 * the sequence number and the cold time. An entry that is only written again is
 * no change. A known leaving state is kept, so an entry that is not leaving is
 * no change either.
 */
function isSameState(known: RoutingTarget, entry: RoutingTarget): boolean {
  return known.bornMs === entry.bornMs && known.service === entry.service &&
    known.address === entry.address &&
    known.dataCentre === entry.dataCentre && known.places === entry.places &&
    (known.leaving || known.leaving === entry.leaving);
}
