/**
 * Which partitions of the table of owners fall to this instance: the store's
 * group of keepers divides them among the instances that have joined. A hint to
 * claim, and no right.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { Store } from "@lentilspur/ports/store";
import { sleepUntilTick } from "@lentilspur/ports/tick";
import {
  formatIncarnation,
  type KeeperClaim,
} from "@lentilspur/ownership/keeper_records";

export type PartitionAssignmentEvent =
  | {
    readonly kind: "share";
    readonly generation: number;
    readonly parts: readonly number[];
  }
  | { readonly kind: "share-failed"; readonly cause: string };

export interface PartitionAssignmentOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly claim: KeeperClaim;
  readonly topic: string;
  /** The shortest time after which the store takes a silent member for gone. */
  readonly minMemberTtlMs: number;
  /** Whether this instance is to stand ready to keep keys. */
  readonly isCandidate: () => boolean;
  readonly observe: (event: PartitionAssignmentEvent) => void;
}

const GROUP = "keepers";
/** A lost keeper is replaced before the holds that it granted run out (3 s). */
const MEMBER_TTL_MS = 1_500;
const JOINS_PER_TTL = 3;
/** Between two looks at whether to join; each wake-up costs about 0.1 ms. */
const TICK_MS = 250;
/** Between two tries to leave the group while the store is away. */
const LEAVE_EVERY_MS = 300;
/** A datagram or two may be lost; to leave and join moves partitions twice. */
const LEAVE_AFTER_MS = 10_000;

export class PartitionAssignment {
  readonly #options: PartitionAssignmentOptions;
  readonly #assignedAt = new Map<number, number>();
  readonly #ttlMs: number;
  #joinedAtMs = -Infinity;
  #generation = 0;
  #isLeaving = false;
  #hasEnded = false;

  constructor(options: PartitionAssignmentOptions) {
    this.#options = options;
    this.#ttlMs = Math.max(MEMBER_TTL_MS, options.minMemberTtlMs);
  }

  /** When the store last answered a join; own clock, from when it was sent. */
  get lastJoinedAtMs(): number {
    return this.#joinedAtMs;
  }

  /**
   * Whether the store still counts this instance as a member, as far as is known
   * here. Where it does not, the partitions have fallen to others.
   */
  get isMember(): boolean {
    const ageMs = this.#options.clock.readMs() - this.#joinedAtMs;
    return ageMs < this.#ttlMs;
  }

  /** Whether this instance is about to end. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  has(part: number): boolean {
    return this.#assignedAt.has(part);
  }

  /** The partitions, and since when each has fallen to this instance. */
  listAssigned(): ReadonlyMap<number, number> {
    return this.#assignedAt;
  }

  /** Joins while this instance is a candidate, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, isCandidate } = this.#options;
    let candidateAtMs = -Infinity;
    while (!signal.aborted && !this.#isLeaving) {
      const nowMs = clock.readMs();
      candidateAtMs = isCandidate() ? nowMs : candidateAtMs;
      if (nowMs - candidateAtMs < LEAVE_AFTER_MS) {
        await this.#join();
        await clock.sleep(this.#ttlMs / JOINS_PER_TTL, signal);
        continue;
      }
      if (this.#generation > 0) {
        await this.#leaveToOthers();
      }
      await sleepUntilTick(clock, TICK_MS, signal);
    }
  }

  /**
   * For a stop of this instance. Without the store nothing can be handed over:
   * keepers here act on until it is back, or until the process ends. Failure: an
   * instance is stopped in an outage of the store; had its keeper stopped at
   * once, every key would be unserved from 3 s later until the outage is over
   * (4 s, all lookups).
   */
  async leave(): Promise<void> {
    this.#isLeaving = true;
    while (!this.#hasEnded && !await this.#leaveOnce()) {
      await this.#options.clock.sleep(LEAVE_EVERY_MS);
    }
    this.#assignedAt.clear();
  }

  /** The process ends. */
  stop(): void {
    this.#hasEnded = true;
  }

  /** Others stand ready: what is kept here passes to them. */
  async #leaveToOthers(): Promise<void> {
    if (await this.#leaveOnce()) {
      this.#generation = 0;
      this.#assignedAt.clear();
      this.#options.observe({ kind: "share", generation: 0, parts: [] });
    }
  }

  async #leaveOnce(): Promise<boolean> {
    const { store, claim, observe } = this.#options;
    const left = await store.leave(GROUP, formatIncarnation(claim));
    if (!left.ok) {
      observe({ kind: "share-failed", cause: left.val.kind });
    }
    return left.ok;
  }

  async #join(): Promise<void> {
    const { clock, store, topic, claim, observe } = this.#options;
    const sentAtMs = clock.readMs();
    const joined = await store.join({
      group: GROUP,
      member: formatIncarnation(claim),
      topic,
      ttlMs: this.#ttlMs,
      generation: this.#generation,
    });
    if (this.#isLeaving) {
      return;
    }
    if (!joined.ok) {
      observe({ kind: "share-failed", cause: joined.val.kind });
      return;
    }
    this.#joinedAtMs = sentAtMs;
    const { generation, parts } = joined.val;
    if (generation !== this.#generation) {
      observe({ kind: "share", generation, parts });
    }
    this.#generation = generation;
    this.#setParts(parts, clock.readMs());
  }

  #setParts(parts: readonly number[], nowMs: number): void {
    for (const part of [...this.#assignedAt.keys()]) {
      if (!parts.includes(part)) {
        this.#assignedAt.delete(part);
      }
    }
    for (const part of parts) {
      if (!this.#assignedAt.has(part)) {
        this.#assignedAt.set(part, nowMs);
      }
    }
  }
}
