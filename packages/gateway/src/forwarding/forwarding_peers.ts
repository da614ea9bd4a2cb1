/**
 * Chooses the instances that requests are forwarded to: live ones of the same
 * data centre first, then live ones of others, and last those of which nothing
 * has been heard, since in a large deployment most instances send no heartbeats
 * to each other.
 */
import type { Clock, Random } from "@lentilspur/ports/clock";
import type { Member, Members } from "../members/members.ts";

export interface ForwardingPeersOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly dataCentre: string;
  readonly members: Members;
}

/** A peer that has just failed or refused gets no requests for this long. */
const PAUSE_MS = 1_000;
/** How long a list of the peers is kept; there may be thousands. */
const LIST_TTL_MS = 250;

export class ForwardingPeers {
  readonly #options: ForwardingPeersOptions;
  /** Until when each peer is left out. */
  readonly #pausedUntilMs = new Map<string, number>();
  /** Requests that have been forwarded to each peer and not been answered. */
  readonly #open = new Map<string, number>();
  #byKind: readonly (readonly Member[])[] = [];
  #listedAtMs = -Infinity;

  constructor(options: ForwardingPeersOptions) {
    this.#options = options;
  }

  /** Whether there is a peer, other than the excluded ones. */
  hasPeer(excluded: ReadonlySet<string>): boolean {
    const nowMs = this.#options.clock.readMs();
    return this.#listByKind().some((peers) =>
      peers.some((peer) => this.#isUsable(peer, excluded, nowMs))
    );
  }

  /** Chooses the less busy one of two random peers of the best kind. */
  choose(excluded: ReadonlySet<string>): Member | undefined {
    return this.#choose(excluded, this.#listByKind());
  }

  /** The same, with live peers of other data centres before local ones. */
  chooseRemote(excluded: ReadonlySet<string>): Member | undefined {
    const [local = [], remote = [], ...others] = this.#listByKind();
    return this.#choose(excluded, [remote, local, ...others]);
  }

  #choose(
    excluded: ReadonlySet<string>,
    kinds: readonly (readonly Member[])[],
  ): Member | undefined {
    const nowMs = this.#options.clock.readMs();
    for (const peers of kinds) {
      const first = this.#drawUsable(peers, excluded, nowMs);
      const second = this.#drawUsable(peers, excluded, nowMs);
      if (first !== undefined && second !== undefined) {
        return this.#chooseLessBusy(first, second);
      }
    }
    return undefined;
  }

  /** Lists the peers that accept requests, those of the best kind first. */
  #listByKind(): readonly (readonly Member[])[] {
    const nowMs = this.#options.clock.readMs();
    if (nowMs - this.#listedAtMs >= LIST_TTL_MS) {
      this.#listedAtMs = nowMs;
      this.#byKind = this.#createKinds(nowMs);
    }
    return this.#byKind;
  }

  #createKinds(nowMs: number): readonly (readonly Member[])[] {
    const { dataCentre, members } = this.#options;
    for (const [instance, untilMs] of this.#pausedUntilMs) {
      if (nowMs >= untilMs) {
        this.#pausedUntilMs.delete(instance);
      }
    }
    const kinds: [Member[], Member[], Member[]] = [[], [], []];
    for (const peer of members.listPeers()) {
      if (peer.forwardPort === undefined) {
        continue;
      }
      const isLocal = peer.dataCentre === dataCentre;
      const isAlive = members.isAlive(peer.instance, nowMs);
      kinds[isAlive ? isLocal ? 0 : 1 : 2].push(peer);
    }
    return kinds;
  }

  /** Draws a usable peer, beginning the search at a random one. */
  #drawUsable(
    peers: readonly Member[],
    excluded: ReadonlySet<string>,
    nowMs: number,
  ): Member | undefined {
    const start = Math.floor(this.#options.random.draw() * peers.length);
    for (let count = 0; count < peers.length; count++) {
      const peer = peers[(start + count) % peers.length]!;
      if (this.#isUsable(peer, excluded, nowMs)) {
        return peer;
      }
    }
    return undefined;
  }

  /** Leaves a peer out for a while. */
  markUnusable({ instance }: Member): void {
    this.#pausedUntilMs.set(instance, this.#options.clock.readMs() + PAUSE_MS);
  }

  recordOpened({ instance }: Member): void {
    this.#open.set(instance, this.#countOpen(instance) + 1);
  }

  recordClosed({ instance }: Member): void {
    const count = this.#countOpen(instance) - 1;
    if (count > 0) {
      this.#open.set(instance, count);
    } else {
      this.#open.delete(instance);
    }
  }

  #isUsable(
    { instance }: Member,
    excluded: ReadonlySet<string>,
    nowMs: number,
  ): boolean {
    return !excluded.has(instance) &&
      !this.#options.members.isIsolated(instance) &&
      nowMs >= (this.#pausedUntilMs.get(instance) ?? -Infinity);
  }

  #chooseLessBusy(first: Member, second: Member): Member {
    return this.#countOpen(second.instance) < this.#countOpen(first.instance)
      ? second
      : first;
  }

  #countOpen(instance: string): number {
    return this.#open.get(instance) ?? 0;
  }
}
