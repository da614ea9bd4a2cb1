/**
 * The requests that wait for one service's places at this instance, in the
 * order in which they get them, and what is known of those elsewhere.
 */
import { type AccountShare, FairScheduler } from "./fair_scheduler.ts";

/** What decides about a request's turn. */
export interface QueuedRequest {
  readonly requestId: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAtMs: number;
  /** The only target that may run it; undefined where any may. */
  readonly owner?: string;
  /** Whose it is, where accounts share the places. */
  readonly share?: AccountShare;
}

/** One that waits, with what its user keeps beside it. */
export interface QueueEntry<Request extends QueuedRequest, Extra> {
  readonly request: Request;
  /** Its turn among requests of the same rank. */
  readonly tag: number;
  readonly extra: Extra;
}

/** Requests that wait, by the target that they wait for and by rank. */
export type QueueLengths = ReadonlyMap<string, readonly number[]>;

/** What waits at a peer, or at several together. */
export interface PeerQueueLengths {
  readonly counts: QueueLengths;
  readonly instances: number;
  readonly atMs: number;
}

/** Waiting requests that a peer told of are worked off or told anew after this. */
const PEER_WAITS_VALID_MS = 1_000;
/** Less urgent ranks are told to peers as this one. */
const MAX_RANK = 7;
/** The lane of requests that any target may run. */
const ANY_TARGET = "";

/** Requests of one lane wait for the same places. */
export function getQueueKey({ owner }: QueuedRequest): string {
  return owner ?? ANY_TARGET;
}

export class WaitQueue<Request extends QueuedRequest, Extra> {
  readonly #peerWaits = new Map<string, PeerQueueLengths>();
  readonly #order = new FairScheduler();
  #waiters: QueueEntry<Request, Extra>[] = [];

  get size(): number {
    return this.#waiters.length;
  }

  /** Those that are to get places first come first. */
  list(): readonly QueueEntry<Request, Extra>[] {
    return this.#waiters;
  }

  add(request: Request, extra: Extra): void {
    const tag = this.#order.assignStartTag(request.share);
    const waiter = { request, tag, extra };
    const index = this.#waiters.findIndex((other) => isBefore(waiter, other));
    if (index < 0) {
      this.#waiters.push(waiter);
    } else {
      this.#waiters.splice(index, 0, waiter);
    }
  }

  remove(requestId: string): void {
    this.#waiters = this.#waiters
      .filter((waiter) => waiter.request.requestId !== requestId);
  }

  /** Only these wait on; they are in order. */
  setEntries(waiters: QueueEntry<Request, Extra>[]): void {
    this.#waiters = waiters;
  }

  /** It was given a place. */
  recordPlaced({ tag }: QueueEntry<Request, Extra>): void {
    this.#order.recordPlaced(tag);
  }

  setPeerQueueLengths(peer: string, waits: PeerQueueLengths): void {
    this.#peerWaits.set(peer, waits);
  }

  /** By lane; under the empty name those for any target. */
  countQueued(): QueueLengths {
    const counts = new Map<string, number[]>();
    for (const { request } of this.#waiters) {
      const lane = getQueueKey(request);
      const ofLane = counts.get(lane) ?? [];
      counts.set(lane, ofLane);
      const rank = Math.min(
        MAX_RANK,
        Math.max(0, Math.floor(request.priority)),
      );
      while (ofLane.length <= rank) {
        ofLane.push(0);
      }
      ofLane[rank]!++;
    }
    return counts;
  }

  /**
   * Requests that would get places before this one. Those of its rank that wait
   * at other instances count: which come first is not known. Were all ranks to
   * count, a flood of what is least urgent would have the most urgent refused.
   */
  countAhead(request: Request, nowMs: number): number {
    let ahead = 0;
    const own = { request, tag: this.#order.getNextStartTag(request.share) };
    for (const waiter of this.#waiters) {
      if (waiter.request.owner === request.owner && !isBefore(own, waiter)) {
        ahead++;
      }
    }
    const peers = [...this.#peerWaits.values()]
      .filter(({ atMs }) => nowMs - atMs <= PEER_WAITS_VALID_MS);
    // Turns of accounts are known here only: elsewhere they stand as they do here.
    if (request.share === undefined) {
      return ahead + countWaitsAhead(peers, request);
    }
    const elsewhere = peers.reduce((sum, { instances }) => sum + instances, 0);
    return ahead * (1 + elsewhere);
  }
}

/** What waits elsewhere and is no less urgent. */
function countWaitsAhead(
  peers: readonly PeerQueueLengths[],
  request: QueuedRequest,
): number {
  let sum = 0;
  for (const { counts } of peers) {
    const ofLane = counts.get(getQueueKey(request)) ?? [];
    for (
      let rank = 0;
      rank <= request.priority && rank < ofLane.length;
      rank++
    ) {
      sum += ofLane[rank]!;
    }
  }
  return sum;
}

interface Turn {
  readonly request: QueuedRequest;
  readonly tag: number;
}

/** More urgent ranks first, then the accounts' turns, then whoever came first. */
function isBefore(left: Turn, right: Turn): boolean {
  if (left.request.priority !== right.request.priority) {
    return left.request.priority < right.request.priority;
  }
  return left.tag === right.tag
    ? left.request.arrivedAtMs < right.request.arrivedAtMs
    : left.tag < right.tag;
}
