/**
 * The queue of requests that wait at this instance for one service's places,
 * and the queue lengths that peers report.
 */
import { type AccountShare, FairScheduler } from "./fair_scheduler.ts";

/** The properties of a request that determine its position in the queue. */
export interface QueuedRequest {
  readonly requestId: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAtMs: number;
  /** The only target that may run the request; undefined if any may. */
  readonly owner?: string;
  /** The account's share, if accounts share the places. */
  readonly share?: AccountShare;
}

/** A queued request, with data that the queue's user attaches to it. */
export interface QueueEntry<Request extends QueuedRequest, Context> {
  readonly request: Request;
  /** Start tag among requests of the same priority. */
  readonly startTag: number;
  readonly context: Context;
}

/** Number of queued requests, by target and priority. */
export type QueueLengths = ReadonlyMap<string, readonly number[]>;

/** Queue lengths of one peer or the sum over several. */
export interface PeerQueueLengths {
  readonly counts: QueueLengths;
  readonly instances: number;
  readonly atMs: number;
}

/**
 * Queue lengths of a peer expire after this: by then the requests are served or
 * the peer has reported again.
 */
const PEER_LENGTHS_VALID_MS = 1_000;
/** Less urgent priorities are reported to peers as this one. */
const LEAST_URGENT_PRIORITY = 7;
/** Key of the queue of requests that any target may run. */
const ANY_TARGET = "";

/** Requests with the same key wait for the same places. */
export function getQueueKey({ owner }: QueuedRequest): string {
  return owner ?? ANY_TARGET;
}

export class WaitQueue<Request extends QueuedRequest, Context> {
  readonly #peerLengths = new Map<string, PeerQueueLengths>();
  readonly #scheduler = new FairScheduler();
  #entries: QueueEntry<Request, Context>[] = [];

  get size(): number {
    return this.#entries.length;
  }

  /** Lists the queued requests in the order in which they get places. */
  list(): readonly QueueEntry<Request, Context>[] {
    return this.#entries;
  }

  add(request: Request, context: Context): void {
    const startTag = this.#scheduler.assignStartTag(request.share);
    const entry = { request, startTag, context };
    const index = this.#entries.findIndex((other) => isBefore(entry, other));
    if (index < 0) {
      this.#entries.push(entry);
    } else {
      this.#entries.splice(index, 0, entry);
    }
  }

  remove(requestId: string): void {
    this.#entries = this.#entries
      .filter((entry) => entry.request.requestId !== requestId);
  }

  /** Replaces the queued requests; the new ones must be in order. */
  setEntries(entries: QueueEntry<Request, Context>[]): void {
    this.#entries = entries;
  }

  /** Records that a queued request was placed. */
  recordPlaced({ startTag }: QueueEntry<Request, Context>): void {
    this.#scheduler.recordPlaced(startTag);
  }

  setPeerQueueLengths(peer: string, lengths: PeerQueueLengths): void {
    this.#peerLengths.set(peer, lengths);
  }

  /** Counts queued requests by target; the empty name is for any target. */
  countQueued(): QueueLengths {
    const counts = new Map<string, number[]>();
    for (const { request } of this.#entries) {
      const key = getQueueKey(request);
      const lengths = counts.get(key) ?? [];
      counts.set(key, lengths);
      const priority = Math.min(
        LEAST_URGENT_PRIORITY,
        Math.max(0, Math.floor(request.priority)),
      );
      while (lengths.length <= priority) {
        lengths.push(0);
      }
      lengths[priority]!++;
    }
    return counts;
  }

  /**
   * Estimates how many requests are served before this one. For a request
   * without a share, requests of the same priority at other instances count,
   * since their order is not known. Less urgent ones must not count: a flood of
   * the least urgent would cause the most urgent to be refused.
   */
  countAhead(request: Request, nowMs: number): number {
    let ahead = 0;
    const position = {
      request,
      startTag: this.#scheduler.getNextStartTag(request.share),
    };
    for (const entry of this.#entries) {
      if (entry.request.owner === request.owner && !isBefore(position, entry)) {
        ahead++;
      }
    }
    const peers = [...this.#peerLengths.values()]
      .filter(({ atMs }) => nowMs - atMs <= PEER_LENGTHS_VALID_MS);
    // Without shares, the order depends on priority only, so the peers' counts
    // suffice.
    if (request.share === undefined) {
      return ahead + countPeersAhead(peers, request);
    }
    // The start tags of peers' requests are unknown, so each peer is assumed to
    // have as many requests ahead as this instance.
    const peerInstances = peers.reduce(
      (sum, { instances }) => sum + instances,
      0,
    );
    return ahead * (1 + peerInstances);
  }
}

/** Counts peers' queued requests that are at least as urgent. */
function countPeersAhead(
  peers: readonly PeerQueueLengths[],
  request: QueuedRequest,
): number {
  let sum = 0;
  for (const { counts } of peers) {
    const lengths = counts.get(getQueueKey(request)) ?? [];
    for (
      let priority = 0;
      priority <= request.priority && priority < lengths.length;
      priority++
    ) {
      sum += lengths[priority]!;
    }
  }
  return sum;
}

interface QueuePosition {
  readonly request: QueuedRequest;
  readonly startTag: number;
}

/**
 * More urgent priorities first, then lower start tags, then earlier arrivals.
 */
function isBefore(left: QueuePosition, right: QueuePosition): boolean {
  if (left.request.priority !== right.request.priority) {
    return left.request.priority < right.request.priority;
  }
  return left.startTag === right.startTag
    ? left.request.arrivedAtMs < right.request.arrivedAtMs
    : left.startTag < right.startTag;
}
