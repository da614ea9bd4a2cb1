/**
 * Determines which partitions of the ownership table are assigned to this
 * instance: the store's group of keepers divides them among the instances that
 * have joined. An assignment is a hint to claim, not a right to act.
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
  /**
   * Shortest time after which the store may drop a member that does not join.
   */
  readonly minMemberTtlMs: number;
  /** Whether this instance is a keeper candidate. */
  readonly isCandidate: () => boolean;
  /** Whether this instance must leave the group at once. */
  readonly isUnfit: () => boolean;
  readonly observe: (event: PartitionAssignmentEvent) => void;
}

const GROUP = "keepers";
/** A lost keeper is replaced before the holds that it granted expire (3 s). */
const MEMBER_TTL_MS = 1_500;
const JOINS_PER_TTL = 3;
/** Interval between checks whether to join; each wake-up costs about 0.1 ms. */
const TICK_MS = 250;
/** Delay between attempts to leave the group while the store is unavailable. */
const LEAVE_RETRY_MS = 300;
/**
 * How long an instance stays in the group after it was last a candidate. The
 * loss of one or two datagrams can end its candidacy for a moment, and leaving
 * and rejoining moves partitions twice.
 */
const LEAVE_DELAY_MS = 10_000;

export class PartitionAssignment {
  readonly #options: PartitionAssignmentOptions;
  /**
   * When this instance learned of the assignment of each partition; own clock.
   */
  readonly #assignedAtMs = new Map<number, number>();
  readonly #ttlMs: number;
  #lastJoinedAtMs = -Infinity;
  /**
   * Generation of the group's assignment, as the store last returned it; 0
   * before this instance has joined the group and after it has left.
   */
  #generation = 0;
  #isLeaving = false;
  #isStopped = false;
  /** Aborted to end the pause between two joins. */
  #pause = new AbortController();

  constructor(options: PartitionAssignmentOptions) {
    this.#options = options;
    this.#ttlMs = Math.max(MEMBER_TTL_MS, options.minMemberTtlMs);
  }

  /** When the last join that the store answered was sent; own clock. */
  get lastJoinedAtMs(): number {
    return this.#lastJoinedAtMs;
  }

  /**
   * Whether the store still counts this instance as a member, judging by the
   * time of its last join. Otherwise the partitions are assigned to others.
   */
  get isMember(): boolean {
    const ageMs = this.#options.clock.readMs() - this.#lastJoinedAtMs;
    return ageMs < this.#ttlMs;
  }

  /** Whether this instance is shutting down. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  has(part: number): boolean {
    return this.#assignedAtMs.has(part);
  }

  /** The assigned partitions, each with the time since when it is assigned. */
  listAssigned(): ReadonlyMap<number, number> {
    return this.#assignedAtMs;
  }

  /** Joins while this instance is a candidate, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, isCandidate, isUnfit } = this.#options;
    let lastCandidateAtMs = -Infinity;
    while (!signal.aborted && !this.#isLeaving) {
      const nowMs = clock.readMs();
      lastCandidateAtMs = isCandidate() ? nowMs : lastCandidateAtMs;
      if (!isUnfit() && nowMs - lastCandidateAtMs < LEAVE_DELAY_MS) {
        await this.#join();
        await this.#waitForNextJoin(signal);
        continue;
      }
      if (this.#generation > 0) {
        await this.#leaveGroup();
      }
      await sleepUntilTick(clock, TICK_MS, signal);
    }
  }

  /** Joins or leaves the group without waiting for the next join. */
  schedule(): void {
    this.#pause.abort();
  }

  async #waitForNextJoin(signal: AbortSignal): Promise<void> {
    this.#pause = new AbortController();
    const { clock } = this.#options;
    const ends = AbortSignal.any([signal, this.#pause.signal]);
    await clock.sleep(this.#ttlMs / JOINS_PER_TTL, ends);
  }

  /**
   * Leaves the group, for a shutdown of this instance. Retries until the store
   * answers or the process ends: nothing can be handed over without the store,
   * so this instance's keepers keep acting meanwhile. If they stopped at once
   * during an outage of the store, every key would be unserved from 3 s later
   * until the outage is over (all idempotent requests failed for 4 s).
   */
  async leave(): Promise<void> {
    this.#isLeaving = true;
    while (!this.#isStopped && !await this.#leaveOnce()) {
      await this.#options.clock.sleep(LEAVE_RETRY_MS);
    }
    this.#assignedAtMs.clear();
  }

  /** Stops the attempts to leave, since the process ends. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Leaves the group, so that the partitions go to the other candidates. */
  async #leaveGroup(): Promise<void> {
    if (await this.#leaveOnce()) {
      this.#generation = 0;
      this.#assignedAtMs.clear();
      this.#options.observe({ kind: "share", generation: 0, parts: [] });
    }
  }

  async #leaveOnce(): Promise<boolean> {
    const { store, claim, observe } = this.#options;
    const result = await store.leave(GROUP, formatIncarnation(claim));
    if (!result.ok) {
      observe({ kind: "share-failed", cause: result.val.kind });
    }
    return result.ok;
  }

  async #join(): Promise<void> {
    const { clock, store, topic, claim, observe } = this.#options;
    const sentAtMs = clock.readMs();
    const result = await store.join({
      group: GROUP,
      member: formatIncarnation(claim),
      topic,
      ttlMs: this.#ttlMs,
      generation: this.#generation,
    });
    if (this.#isLeaving) {
      return;
    }
    if (!result.ok) {
      observe({ kind: "share-failed", cause: result.val.kind });
      return;
    }
    this.#lastJoinedAtMs = sentAtMs;
    const { generation, parts } = result.val;
    if (generation !== this.#generation) {
      observe({ kind: "share", generation, parts });
    }
    this.#generation = generation;
    this.#setAssigned(parts, clock.readMs());
  }

  #setAssigned(parts: readonly number[], nowMs: number): void {
    for (const part of [...this.#assignedAtMs.keys()]) {
      if (!parts.includes(part)) {
        this.#assignedAtMs.delete(part);
      }
    }
    for (const part of parts) {
      if (!this.#assignedAtMs.has(part)) {
        this.#assignedAtMs.set(part, nowMs);
      }
    }
  }
}
