/**
 * Which targets name a limit in their answers: requests a second that they take
 * from all instances together. That a target has a limit is told to all at once,
 * and by the instance that gives out its turns again and again.
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
  /** When it was named last; own clock. */
  readonly atMs: number;
}

const TICK_MS = 1_000;
/** A target that nobody has heard of for this long is asked without a limit. */
const VALID_MS = 60_000;
/** Two instances' words of the same answer differ by less. */
const SAME_WORD_MS = 50;
/** An answer without a limit lifts it if none has named it for this long. */
const LIFTED_MS = 1_500;
/** A limit that differs by less than this share is not worth telling at once. */
const MIN_CHANGE = 0.1;
/** What fits into one datagram. */
const REPORTS_PER_MESSAGE = 8;

export class TargetLimits {
  readonly #options: TargetLimitsOptions;
  readonly #limits = new Map<string, KnownLimit>();

  constructor(options: TargetLimitsOptions) {
    this.#options = options;
  }

  /** Targets that name a limit now. */
  get count(): number {
    return [...this.#limits.values()]
      .filter(({ perSecond }) => perSecond !== null).length;
  }

  /** Requests a second that a target takes; undefined where it names no limit. */
  getLimitPerSecond(target: TargetIncarnation): number | undefined {
    return this.#limits.size === 0
      ? undefined
      : this.findLimitPerSecond(formatTargetIncarnation(target));
  }

  /** As above, by `formatLife`. */
  findLimitPerSecond(life: string): number | undefined {
    return this.#limits.get(life)?.perSecond ?? undefined;
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
      this.#recordNamed(target, limitPerSecond);
    } else if (isSuccessful(outcome)) {
      this.#recordUnnamed(target, sentAtMs);
    }
  }

  apply(message: LimitsMessage): void {
    const { duties, send } = this.#options;
    const news = message.limits.filter((report) => this.merge(report));
    if (news.length > 0) {
      const to = duties.listForwardReceivers(message.dataCentre);
      send(to, { ...message, limits: news });
    }
  }

  /** What another instance knows of a limit; true where it was news. */
  merge({ life, perSecond, ageMs }: LimitReport): boolean {
    const atMs = this.#options.clock.readMs() - ageMs;
    const known = this.#limits.get(life);
    if (known !== undefined && atMs <= known.atMs + SAME_WORD_MS) {
      return false;
    }
    this.#limits.set(life, { perSecond, atMs });
    return isChange(known?.perSecond ?? null, perSecond);
  }

  /** What to tell others of a limit. */
  describe(life: string): LimitReport | undefined {
    const known = this.#limits.get(life);
    if (known === undefined) {
      return undefined;
    }
    const { perSecond, atMs } = known;
    const ageMs = Math.round(this.#options.clock.readMs() - atMs);
    return { life, perSecond, ageMs };
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

  #recordNamed(target: TargetIncarnation, perSecond: number): void {
    const { clock, instance, duties, findMember } = this.#options;
    const life = formatTargetIncarnation(target);
    const before = this.findLimitPerSecond(life) ?? null;
    if (isChange(before, perSecond)) {
      this.#setLimit(target, perSecond);
      return;
    }
    this.#limits.set(life, { perSecond, atMs: clock.readMs() });
    // Whoever gives out the turns tells the others that it holds.
    const [decider = instance] = duties.chooseCoordinators(life);
    const member = decider === instance ? undefined : findMember(decider);
    this.#send(member === undefined ? [] : [member], [life]);
  }

  #recordUnnamed(target: TargetIncarnation, sentAtMs: number): void {
    if (this.#limits.size === 0) {
      return;
    }
    const known = this.#limits.get(formatTargetIncarnation(target));
    if (
      known !== undefined && known.perSecond !== null &&
      sentAtMs > known.atMs + LIFTED_MS
    ) {
      this.#setLimit(target, null);
    }
  }

  /** This instance is the first to see a change; all are told. */
  #setLimit(target: TargetIncarnation, perSecond: number | null): void {
    const { clock, duties, observe } = this.#options;
    const life = formatTargetIncarnation(target);
    this.#limits.set(life, { perSecond, atMs: clock.readMs() });
    observe({ kind: "target-limit", targetId: target.id, perSecond });
    this.#send(duties.listBroadcastReceivers(), [life]);
  }

  #expire(): void {
    const oldestMs = this.#options.clock.readMs() - VALID_MS;
    for (const [life, { atMs }] of this.#limits) {
      if (atMs < oldestMs) {
        this.#limits.delete(life);
      }
    }
  }

  #sendCoordinated(): void {
    const { instance, duties } = this.#options;
    const decided = [...this.#limits.keys()]
      .filter((life) => duties.chooseCoordinators(life)[0] === instance);
    this.#send(duties.listBroadcastReceivers(), decided);
  }

  #send(to: readonly Member[], lives: readonly string[]): void {
    const { instance: from, dataCentre, send } = this.#options;
    const reports = lives.map((life) => this.describe(life))
      .filter((report) => report !== undefined);
    for (const limits of splitReports(reports, REPORTS_PER_MESSAGE)) {
      send(to, { kind: "limits", from, dataCentre, limits });
    }
  }
}

function isChange(before: number | null, after: number | null): boolean {
  return before === null || after === null
    ? before !== after
    : Math.abs(after - before) > MIN_CHANGE * before;
}
