/**
 * The configuration and the targets that this instance routes by.
 *
 * A configuration never goes back: one whose version is not above the one in
 * force is ignored, whatever way it came. Targets whose entries lapsed while
 * the store was away get a moment to come back before they count as gone. A
 * target may start again under its id: the later life has nothing of what is
 * known of the earlier, and an entry of the earlier may still arrive after it.
 */
import type { Result } from "@lentilspur/outcomes/result";
import type { Assignee } from "@lentilspur/ownership/key_table";
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
import type { TargetIncarnation } from "@lentilspur/routing/target_incarnation";
import type { CatalogueEvent, Withdrawal } from "./catalogue_event.ts";
import { Evacuations } from "./evacuations.ts";
import { TargetFirstSeenTimes } from "./target_first_seen_times.ts";

export interface CatalogueOptions {
  readonly decodeConfiguration: (text: string) => Result<RoutingTable, string>;
  readonly decodeTarget: (
    id: string,
    text: string,
  ) => Result<RoutingTarget, string>;
  readonly observe: (event: CatalogueEvent) => void;
}

/**
 * Entries that lapsed during an outage are back about 2 s after its end; a
 * reader that polls twice a second sees the last of them a little later.
 */
export const EXPIRED_ENTRY_GRACE_MS = 2_500;

/** Entries of one read are taken over within this; reads are 750 ms apart. */
const SAME_READ_WINDOW_MS = 300;
/** An entry is read at most this long after it was written. */
const ENTRY_DELAY_MS = 800;
/**
 * Targets of a data centre that is restored may have become cold in the
 * meantime; their entries tell within this.
 */
const PRESUMED_COLD_MS = 2_000;
interface Entry {
  target: KnownTarget;
  /** Of its newest entry. */
  sequence: number;
  /** Since when its entry has been missing; own clock. */
  missingSinceMs: number | null;
  /** When it counts as gone, if its entry stays missing. */
  goneAtMs: number | null;
  /** Since when it has been leaving; own clock. */
  leavingSinceMs: number | null;
}

export class Catalogue {
  readonly #options: CatalogueOptions;
  readonly #targets = new Map<string, Entry>();
  readonly #evacuations = new Evacuations();
  readonly #firstSeenTimes = new TargetFirstSeenTimes();
  #table: RoutingTable | undefined;
  #index = new RouteIndex([]);
  #targetsChanged = false;

  constructor(options: CatalogueOptions) {
    this.#options = options;
  }

  get table(): RoutingTable | undefined {
    return this.#table;
  }

  match(request: RoutedRequest): MatchedRoute | undefined {
    return this.#index.match(request);
  }

  applyConfiguration(text: string): boolean {
    const { decodeConfiguration, observe } = this.#options;
    const decoded = decodeConfiguration(text);
    if (!decoded.ok) {
      observe({ kind: "configuration-ignored", why: decoded.val });
      return false;
    }
    const table = decoded.val;
    if (this.#table !== undefined && table.version <= this.#table.version) {
      const why =
        `Version ${table.version} is not above ${this.#table.version}`;
      observe({ kind: "configuration-ignored", why });
      return false;
    }
    this.#table = table;
    this.#index = new RouteIndex(table.routes);
    const routes = table.routes.length;
    observe({ kind: "configuration", version: table.version, routes });
    return true;
  }

  /** Whether an entry would change what is known of its target. */
  isChange(id: string, text: string, nowMs: number): boolean {
    const known = this.#targets.get(id);
    if (text === "") {
      return known !== undefined && known.goneAtMs === null;
    }
    const decoded = this.#options.decodeTarget(id, text);
    if (!decoded.ok) {
      return true;
    }
    return this.#describeStaleness(decoded.val) === undefined &&
      (known === undefined || known.goneAtMs !== null ||
        !isSame(known.target, decoded.val) ||
        isColder(known.target, decoded.val, nowMs));
  }

  /** `graceMs` is how long a missing entry may still come back. */
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
      this.#reportIgnored(id, decoded.val);
      return;
    }
    const oldness = this.#describeStaleness(decoded.val);
    if (oldness !== undefined) {
      this.#reportIgnored(id, oldness);
      return;
    }
    this.#setTarget(decoded.val, options.nowMs);
  }

  /** Lets targets go whose time to come back is over; true after any change. */
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

  /** An operator takes a data centre out of use, or back into it. */
  applyEvacuation(
    dataCentre: string,
    isEvacuated: boolean,
    nowMs: number,
  ): void {
    if (!this.#evacuations.apply(dataCentre, isEvacuated, nowMs)) {
      return;
    }
    const entries = [...this.#targets.values()]
      .filter(({ target }) => target.dataCentre === dataCentre);
    if (!isEvacuated) {
      entries.forEach((entry) =>
        this.#setCold(entry, nowMs + PRESUMED_COLD_MS, nowMs)
      );
    }
    this.#targetsChanged = true;
    this.#options.observe({
      kind: "evacuation",
      dataCentre,
      state: isEvacuated ? "evacuated" : "restored",
      targets: entries.length,
    });
  }

  hasTargetsIn(dataCentre: string): boolean {
    return [...this.#targets.values()]
      .some(({ target }) => target.dataCentre === dataCentre);
  }

  isEvacuated(dataCentre: string): boolean {
    return this.#evacuations.getSinceMs(dataCentre) !== null;
  }

  /** Data centres that are evacuated now. */
  listEvacuated(): readonly string[] {
    return this.#evacuations.list();
  }

  /** Requests a second that a target takes while it is cold; else undefined. */
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

  /** Why and since when a target gets no new work; null where it does. */
  findWithdrawal(id: string): Withdrawal | null {
    const leavingSinceMs = this.getLeavingSinceMs(id);
    if (leavingSinceMs !== null) {
      return { reason: "leaving", sinceMs: leavingSinceMs };
    }
    const dataCentre = this.getTarget(id)?.dataCentre;
    const sinceMs = dataCentre === undefined
      ? null
      : this.#evacuations.getSinceMs(dataCentre);
    return sinceMs === null ? null : { reason: "evacuated", sinceMs };
  }

  /**
   * Since when a target has been leaving, or `null` where it is not. One whose
   * entry alone has gone is taken for leaving, though it may come back: it may
   * have left while this instance could not read the store. Where most entries
   * of a service have gone at once, they have lapsed in an outage.
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

  /** Targets of a service; those that get no new work are marked as leaving. */
  listForNewWork(service: string): readonly KnownTarget[] {
    return this.listTargets(service).map((target) =>
      target.leaving || this.findWithdrawal(target.id) === null
        ? target
        : { ...target, leaving: true }
    );
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
   * Whether a life of a target is known to have ended, because another process
   * has appeared at its address since it was seen there first. Entries outlive
   * processes, so which of two entries at an address is older must be known: two
   * that were first read together prove nothing, nor does one for a life that
   * was never seen here, nor one that names a service that there is not. A later
   * life under the same id proves nothing of use either: what was sent to the
   * earlier one may have reached the later.
   */
  hasEnded(life: Assignee): boolean {
    const { id, address } = life;
    const seenAtMs = this.#firstSeenTimes.findFirstSeenMs(life);
    if (seenAtMs === undefined) {
      return false;
    }
    for (const { target } of this.#targets.values()) {
      const otherAtMs = this.#firstSeenTimes.getNewestFirstSeenMs(target.id);
      if (
        target.id !== id && target.address === address &&
        this.#table?.services.has(target.service) === true &&
        otherAtMs > seenAtMs + SAME_READ_WINDOW_MS
      ) {
        return true;
      }
    }
    return false;
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

  /** Why an entry is older than what is known of its target; it is left out. */
  #describeStaleness(
    { id, bornMs, sequence }: RoutingTarget,
  ): string | undefined {
    const seen = this.#firstSeenTimes.getBornMs(id);
    if (seen === undefined) {
      return undefined;
    }
    if (bornMs === undefined) {
      return "It does not say when the target started, and earlier ones did";
    }
    if (bornMs < seen) {
      return `It is of an earlier life: ${bornMs} is before ${seen}`;
    }
    const known = this.#targets.get(id);
    const isBehind = known !== undefined && bornMs === known.target.bornMs &&
      sequence < known.sequence;
    return isBehind
      ? `Its count ${sequence} is below ${known.sequence}`
      : undefined;
  }

  #reportIgnored(targetId: string, why: string): void {
    this.#options.observe({ kind: "target-ignored", targetId, why });
  }

  #setTarget(target: RoutingTarget, nowMs: number): void {
    const known = this.#targets.get(target.id);
    if (known !== undefined && isSame(known.target, target)) {
      this.#targetsChanged ||= known.missingSinceMs !== null;
      known.sequence = target.sequence;
      known.missingSinceMs = null;
      known.goneAtMs = null;
      if (isColder(known.target, target, nowMs)) {
        this.#setCold(known, nowMs + target.coldMs, nowMs);
      }
      return;
    }
    this.#firstSeenTimes.record(target, nowMs);
    const isSameLife = known !== undefined &&
      known.target.bornMs === target.bornMs;
    // One that has said that it leaves does not come back in this life.
    const leaving = target.leaving ||
      (isSameLife && known.target.leaving);
    const since = isSameLife ? known.leavingSinceMs : undefined;
    const coldUntilMs = isSameLife ? known.target.coldUntilMs : -Infinity;
    const entry: Entry = {
      target: { ...target, leaving, coldUntilMs },
      sequence: target.sequence,
      missingSinceMs: null,
      goneAtMs: null,
      leavingSinceMs: leaving ? since ?? nowMs : null,
    };
    this.#targets.set(target.id, entry);
    this.#report(target, leaving ? "leaving" : "present");
    if (isColder(entry.target, target, nowMs)) {
      this.#setCold(entry, nowMs + target.coldMs, nowMs);
    }
  }

  #setCold(entry: Entry, untilMs: number, nowMs: number): void {
    const { id: targetId, service, coldUntilMs } = entry.target;
    entry.target = {
      ...entry.target,
      coldUntilMs: Math.max(coldUntilMs, untilMs),
    };
    this.#targetsChanged = true;
    const forMs = Math.round(entry.target.coldUntilMs - nowMs);
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
    state: "present" | "leaving" | "missing" | "gone",
  ): void {
    this.#targetsChanged = true;
    const { id: targetId, service } = target;
    this.#options.observe({ kind: "target", targetId, service, state });
  }
}

/** Whether an entry says that its target is cold for longer than is known. */
function isColder(
  known: KnownTarget,
  { coldMs }: RoutingTarget,
  nowMs: number,
): boolean {
  const knownUntilMs = Math.max(known.coldUntilMs, nowMs);
  return nowMs + coldMs > knownUntilMs + ENTRY_DELAY_MS;
}

/** A heartbeat that changes nothing but its count is no news. */
function isSame(left: RoutingTarget, right: RoutingTarget): boolean {
  return left.bornMs === right.bornMs && left.service === right.service &&
    left.address === right.address &&
    left.dataCentre === right.dataCentre && left.places === right.places &&
    (left.leaving || left.leaving === right.leaving);
}
