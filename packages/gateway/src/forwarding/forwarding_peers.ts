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

export class ForwardingPeers {
  readonly #options: ForwardingPeersOptions;
  /** Until when each peer is left out. */
  readonly #pausedUntilMs = new Map<string, number>();
  /** Requests that have been forwarded to each peer and not been answered. */
  readonly #open = new Map<string, number>();

  constructor(options: ForwardingPeersOptions) {
    this.#options = options;
  }

  /** Whether there is a peer, other than the excluded ones. */
  hasPeer(excluded: ReadonlySet<string>): boolean {
    const nowMs = this.#options.clock.readMs();
    return this.#options.members.listPeers()
      .some((peer) => this.#isUsable(peer, excluded, nowMs));
  }

  /** Chooses the less busy one of two random peers of the best kind. */
  choose(excluded: ReadonlySet<string>): Member | undefined {
    const { clock, dataCentre, members } = this.#options;
    const nowMs = clock.readMs();
    const usable = members.listPeers()
      .filter((peer) => this.#isUsable(peer, excluded, nowMs));
    const isAlive = ({ instance }: Member) => members.isAlive(instance, nowMs);
    const isLocal = (peer: Member) => peer.dataCentre === dataCentre;
    const kinds = [
      (peer: Member) => isLocal(peer) && isAlive(peer),
      (peer: Member) => !isLocal(peer) && isAlive(peer),
      isLocal,
      () => true,
    ];
    for (const isOfKind of kinds) {
      const peers = usable.filter(isOfKind);
      if (peers.length > 0) {
        return this.#chooseLessBusy(this.#draw(peers), this.#draw(peers));
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
    { instance, forwardPort }: Member,
    excluded: ReadonlySet<string>,
    nowMs: number,
  ): boolean {
    return forwardPort !== undefined && !excluded.has(instance) &&
      !this.#options.members.isIsolated(instance) &&
      nowMs >= (this.#pausedUntilMs.get(instance) ?? -Infinity);
  }

  #chooseLessBusy(first: Member, second: Member): Member {
    return this.#countOpen(second.instance) < this.#countOpen(first.instance)
      ? second
      : first;
  }

  #draw(peers: readonly Member[]): Member {
    return peers[Math.floor(this.#options.random.draw() * peers.length)]!;
  }

  #countOpen(instance: string): number {
    return this.#open.get(instance) ?? 0;
  }
}
