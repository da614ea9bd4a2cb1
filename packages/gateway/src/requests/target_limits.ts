/**
 * Keeps the limits that targets name in their responses: the requests per
 * second that a target accepts from all instances together. The instance that
 * observes a new limit reports it to all others at once, and the coordinator
 * that grants the target's permits repeats the report regularly.
 */
import {
  isSuccessful,
  type SendOutcome,
} from "@lentilspur/ports/request_sender";
import { sleepUntilTick } from "@lentilspur/ports/tick";
import {
  formatTargetIncarnation,
  type TargetIncarnation,
} from "@lentilspur/routing/target_incarnation";
import type { Member } from "../members/members.ts";
import type { LimitReport } from "./limit_report.ts";
import type { PeerMessage } from "../peers/peer_message.ts";
import type { PeerOptions } from "../peers/peer_options.ts";
import { splitReports } from "../peers/report_datagrams.ts";

type LimitsMessage = PeerMessage & { readonly kind: "limits" };

export interface LimitEvent {
  readonly kind: "target-limit";
  readonly targetId: string;
  readonly perSecond: number | null;
}

export interface TargetLimitsOptions extends PeerOptions {
  readonly findMember: (instance: string) => Member | undefined;
  readonly observe: (event: LimitEvent) => void;
}

interface KnownLimit {
  readonly perSecond: number | null;
  /** When the target last named the limit, on this instance's clock. */
  readonly atMs: number;
}

const TICK_MS = 1_000;
/** A limit that no instance has reported for this long no longer applies. */
const LIMIT_TTL_MS = 60_000;
/**
 * Two reports of the same response, received over different paths, give times
 * that differ by less than this. So a report must be newer by more than this to
 * count as a new one.
 */
const SAME_RESPONSE_MS = 50;
/**
 * A response without a limit lifts the limit only if its request was sent more
 * than this long after the limit was last named.
 */
const LIFT_DELAY_MS = 1_500;
/** A limit that changes by a smaller share is not reported at once. */
const MIN_CHANGE_SHARE = 0.1;
/** Number of reports that fit into one datagram. */
const REPORTS_PER_MESSAGE = 8;

export class TargetLimits {
  readonly #options: TargetLimitsOptions;
  readonly #limits = new Map<string, KnownLimit>();

  constructor(options: TargetLimitsOptions) {
    this.#options = options;
  }

  /** Number of targets that have a limit now. */
  get count(): number {
    return [...this.#limits.values()]
      .filter(({ perSecond }) => perSecond !== null).length;
  }

  /**
   * Requests per second that a target accepts; undefined if it names no limit.
   */
  getLimitPerSecond(target: TargetIncarnation): number | undefined {
    return this.#limits.size === 0
      ? undefined
      : this.findLimitPerSecond(formatTargetIncarnation(target));
  }

  /** Like `getLimitPerSecond`, by the result of `formatTargetIncarnation`. */
  findLimitPerSecond(incarnation: string): number | undefined {
    return this.#limits.get(incarnation)?.perSecond ?? undefined;
  }

  recordOutcome(
    target: TargetIncarnation,
    outcome: SendOutcome,
    sentAtMs: number,
  ): void {
    if (outcome.kind === "unknown") {
      return;
    }
    const { limitPerSecond } = outcome;
    if (limitPerSecond !== undefined) {
      this.#recordLimit(target, limitPerSecond);
    } else if (isSuccessful(outcome)) {
      this.#recordNoLimit(target, sentAtMs);
    }
  }

  /**
   * Applies the reports of a message. If the message came from another data
   * centre and this instance is the local reader, it forwards the reports that
   * changed a limit within its data centre.
   */
  apply(message: LimitsMessage): void {
    const { duties, send } = this.#options;
    const changes = message.limits.filter((report) => this.merge(report));
    if (changes.length > 0) {
      const receivers = duties.listForwardReceivers(message.dataCentre);
      send(receivers, { ...message, limits: changes });
    }
  }

  /** Applies another instance's report; returns whether the limit changed. */
  merge({ life: incarnation, perSecond, ageMs }: LimitReport): boolean {
    const atMs = this.#options.clock.readMs() - ageMs;
    const known = this.#limits.get(incarnation);
    if (known !== undefined && atMs <= known.atMs + SAME_RESPONSE_MS) {
      return false;
    }
    this.#limits.set(incarnation, { perSecond, atMs });
    return isChange(known?.perSecond ?? null, perSecond);
  }

  /** Creates the report of a limit for other instances. */
  createReport(incarnation: string): LimitReport | undefined {
    const known = this.#limits.get(incarnation);
    if (known === undefined) {
      return undefined;
    }
    const { perSecond, atMs } = known;
    const ageMs = Math.round(this.#options.clock.readMs() - atMs);
    return { life: incarnation, perSecond, ageMs };
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#limits.size > 0) {
        this.#expire();
        this.#sendCoordinated();
      }
      await sleepUntilTick(this.#options.clock, TICK_MS, signal);
    }
  }

  #recordLimit(target: TargetIncarnation, perSecond: number): void {
    const { clock, instance, duties, findMember } = this.#options;
    const incarnation = formatTargetIncarnation(target);
    const before = this.findLimitPerSecond(incarnation) ?? null;
    if (isChange(before, perSecond)) {
      this.#setLimit(target, perSecond);
      return;
    }
    this.#limits.set(incarnation, { perSecond, atMs: clock.readMs() });
    // The coordinator reports to the other instances that the limit still
    // holds.
    const [coordinator = instance] = duties.chooseCoordinators(incarnation);
    const member = coordinator === instance
      ? undefined
      : findMember(coordinator);
    this.#send(member === undefined ? [] : [member], [incarnation]);
  }

  #recordNoLimit(target: TargetIncarnation, sentAtMs: number): void {
    if (this.#limits.size === 0) {
      return;
    }
    const known = this.#limits.get(formatTargetIncarnation(target));
    if (
      known !== undefined && known.perSecond !== null &&
      sentAtMs > known.atMs + LIFT_DELAY_MS
    ) {
      this.#setLimit(target, null);
    }
  }

  /**
   * Sets a limit whose change this instance observed, and reports it to all.
   */
  #setLimit(target: TargetIncarnation, perSecond: number | null): void {
    const { clock, duties, observe } = this.#options;
    const incarnation = formatTargetIncarnation(target);
    this.#limits.set(incarnation, { perSecond, atMs: clock.readMs() });
    observe({ kind: "target-limit", targetId: target.id, perSecond });
    this.#send(duties.listBroadcastReceivers(), [incarnation]);
  }

  #expire(): void {
    const oldestMs = this.#options.clock.readMs() - LIMIT_TTL_MS;
    for (const [incarnation, { atMs }] of this.#limits) {
      if (atMs < oldestMs) {
        this.#limits.delete(incarnation);
      }
    }
  }

  #sendCoordinated(): void {
    const { instance, duties } = this.#options;
    const coordinated = [...this.#limits.keys()]
      .filter((incarnation) =>
        duties.chooseCoordinators(incarnation)[0] === instance
      );
    this.#send(duties.listBroadcastReceivers(), coordinated);
  }

  #send(
    receivers: readonly Member[],
    incarnations: readonly string[],
  ): void {
    const { instance: from, dataCentre, send } = this.#options;
    const reports = incarnations.map((incarnation) =>
      this.createReport(incarnation)
    )
      .filter((report) => report !== undefined);
    for (const limits of splitReports(reports, REPORTS_PER_MESSAGE)) {
      send(receivers, { kind: "limits", from, dataCentre, limits });
    }
  }
}

function isChange(before: number | null, after: number | null): boolean {
  return before === null || after === null
    ? before !== after
    : Math.abs(after - before) > MIN_CHANGE_SHARE * before;
}
