/**
 * Sends this instance's counts of running and waiting requests per target to
 * the other instances, and receives theirs.
 *
 * If there are only a few instances, they send to each other directly: almost
 * immediately within a data centre, whose instances share its targets, and a
 * few times a second to other data centres, because traffic between data
 * centres has a cost.
 *
 * Direct messages do not scale to deployments of 60 to 200 instances. Among 200
 * instances, each would receive the counts of another every 3 s, when most of
 * the counted requests are over, and would still spend half of its processor
 * time on 260 datagrams a second. So one instance in each data centre, the
 * aggregator, adds up the counts of the instances there and sends the sum, the
 * aggregate. The aggregator is the data centre's local reader. Each instance
 * then sends 21 datagrams a second, and counts reach all instances within
 * 0.6 s.
 *
 * The counts are only hints. A lost datagram makes decisions worse for a
 * moment, and counts of instances that no longer send decay.
 */
import { sleepUntilTick } from "@lentilspur/ports/tick";
import {
  decodeValue,
  encodeValue,
  type Fragment,
  FragmentAssembler,
} from "./datagram_fragments.ts";
import {
  type LoadCounts,
  mergeCounts,
  NO_LOAD,
  removeCounts,
  toLoadCounts,
} from "./load_counts.ts";
import type { Member, Members } from "../members/members.ts";
import type { PeerMessage, PeerStatus } from "./peer_message.ts";
import type { PeerOptions } from "./peer_options.ts";

type LoadMessage = PeerMessage & { readonly kind: "load" };
type AggregateMessage = PeerMessage & { readonly kind: "gathered-load" };

export interface LoadExchangeOptions extends PeerOptions {
  readonly members: Members;
  readonly readCounts: () => LoadCounts;
  /**
   * Applies the counts of another instance, or the aggregate of a data centre.
   */
  readonly applyCounts: (peer: string, counts: LoadCounts) => void;
  readonly describeStatus: () => PeerStatus;
}

/**
 * Maximum number of instances that send to each other directly; with more,
 * counts are aggregated. At this number, direct messages are up to 276 ms apart
 * if all instances are in one data centre; if they are spread over five, those
 * to other data centres are about 420 ms apart.
 */
const MAX_DIRECT_INSTANCES = 24;
/**
 * Time between two messages, which grows with the number of receivers, since
 * each instance sends to each.
 */
interface SendInterval {
  readonly minMs: number;
  readonly perInstanceMs: number;
}
/**
 * Minimum time between two messages within a data centre; changes in between go
 * out together. Requests take 40 ms and more.
 */
const LOCAL_INTERVAL: SendInterval = { minMs: 40, perInstanceMs: 12 };
/**
 * The same to other data centres. Traffic to them has a cost, and requests to
 * them take about this long in total. `minMs` applies up to eleven receivers.
 */
const REMOTE_INTERVAL: SendInterval = { minMs: 250, perInstanceMs: 22 };
/**
 * Time after which counts that have not changed are sent again, often enough
 * for a receiver to treat them as current.
 */
const REPEAT_INTERVAL: SendInterval = { minMs: 400, perInstanceMs: 16 };
/** To the aggregator, which sends aggregates about as often. */
const AGGREGATOR_INTERVAL_MS = 100;
/**
 * Aggregates within the data centre, and to the local readers of the other data
 * centres, which forward them.
 */
const LOCAL_AGGREGATE_INTERVAL_MS = 150;
const REMOTE_AGGREGATE_INTERVAL_MS = 300;
/**
 * Counts that an instance reported longer ago than this are left out of the
 * aggregate.
 */
const REPORT_TTL_MS = 1_500;
/** Time between two checks; each wake-up costs about 0.1 ms. */
const TICK_MS = 40;
/** The same at an instance that sends only to the aggregator. */
const AGGREGATED_TICK_MS = 100;

interface ReportedCounts {
  readonly counts: LoadCounts;
  readonly atMs: number;
}

/** Text and time of the last message. */
interface SentMessage {
  readonly text: string;
  readonly atMs: number;
}

const NEVER_SENT: SentMessage = { text: "", atMs: -Infinity };

export class LoadExchange {
  readonly #options: LoadExchangeOptions;
  readonly #assembler = new FragmentAssembler();
  /** By instance of this data centre: the last counts that it reported. */
  readonly #reported = new Map<string, ReportedCounts>();
  /**
   * The last counts that this instance reported, which the aggregate of its
   * data centre includes.
   */
  #lastReported = NO_LOAD;
  #lastLocal = NEVER_SENT;
  #lastRemote = NEVER_SENT;
  #aggregateNumber = 0;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#advance();
      await sleepUntilTick(
        this.#options.clock,
        this.#isAggregated() ? AGGREGATED_TICK_MS : TICK_MS,
        signal,
      );
    }
  }

  /** Whether this instance sends its counts only to the aggregator. */
  #isAggregated(): boolean {
    const { members, duties } = this.#options;
    return members.knownCount > MAX_DIRECT_INSTANCES &&
      !duties.isLocalReader();
  }

  /** Applies the counts of another instance. */
  applyLoad({ from, counts }: LoadMessage): void {
    const { clock, applyCounts } = this.#options;
    this.#reported.set(from, { counts, atMs: clock.readMs() });
    applyCounts(from, counts);
  }

  /** Applies the aggregate of a data centre. */
  applyAggregate(message: AggregateMessage): void {
    const { dataCentre, duties, send, applyCounts } = this.#options;
    const { from, dataCentre: origin, number } = message;
    send(duties.listForwardReceivers(origin), message);
    const text = this.#assembler.add(from, number, message);
    const counts = text === undefined
      ? undefined
      : toLoadCounts(decodeValue(text));
    if (counts === undefined) {
      return;
    }
    const peerCounts = origin === dataCentre
      ? removeCounts(counts, this.#lastReported)
      : counts;
    applyCounts(formatAggregateName(origin), peerCounts);
  }

  #advance(): void {
    if (this.#options.members.knownCount <= MAX_DIRECT_INSTANCES) {
      this.#sendDirectly();
    } else if (this.#isAggregated()) {
      this.#sendToAggregator();
    } else {
      this.#sendAggregates();
    }
  }

  #sendDirectly(): void {
    const { clock, duties, send } = this.#options;
    const nowMs = clock.readMs();
    const localPeers = duties.listLocal();
    const remotePeers = duties.listRemote();
    const localIntervalMs = computeIntervalMs(
      LOCAL_INTERVAL,
      localPeers.length,
    );
    const remoteIntervalMs = computeIntervalMs(
      REMOTE_INTERVAL,
      remotePeers.length,
    );
    if (
      nowMs - this.#lastLocal.atMs < localIntervalMs &&
      nowMs - this.#lastRemote.atMs < remoteIntervalMs
    ) {
      return;
    }
    const message = this.#createMessage();
    const text = JSON.stringify(message);
    const repeatMs = computeIntervalMs(
      REPEAT_INTERVAL,
      localPeers.length + remotePeers.length,
    );
    if (
      isDue(this.#lastLocal, {
        text,
        intervalMs: localIntervalMs,
        repeatMs,
        nowMs,
      })
    ) {
      send(localPeers, message);
      this.#lastLocal = { text, atMs: nowMs };
    }
    if (
      isDue(this.#lastRemote, {
        text,
        intervalMs: remoteIntervalMs,
        repeatMs,
        nowMs,
      })
    ) {
      send(remotePeers, message);
      this.#lastRemote = { text, atMs: nowMs };
    }
  }

  #sendToAggregator(): void {
    const { clock, duties, send } = this.#options;
    const nowMs = clock.readMs();
    const aggregator = duties.findLocalReader();
    if (
      aggregator === undefined ||
      nowMs - this.#lastLocal.atMs < AGGREGATOR_INTERVAL_MS
    ) {
      return;
    }
    const message = this.#createMessage();
    const text = JSON.stringify(message);
    const repeatMs = REPEAT_INTERVAL.minMs;
    if (
      isDue(this.#lastLocal, {
        text,
        intervalMs: AGGREGATOR_INTERVAL_MS,
        repeatMs,
        nowMs,
      })
    ) {
      this.#lastReported = message.counts;
      send([aggregator], message);
      this.#lastLocal = { text, atMs: nowMs };
    }
  }

  #sendAggregates(): void {
    const { clock, duties } = this.#options;
    const nowMs = clock.readMs();
    const isLocalDue =
      nowMs - this.#lastLocal.atMs >= LOCAL_AGGREGATE_INTERVAL_MS;
    const isRemoteDue =
      nowMs - this.#lastRemote.atMs >= REMOTE_AGGREGATE_INTERVAL_MS;
    if (!isLocalDue && !isRemoteDue) {
      return;
    }
    const fragments = encodeValue(this.#computeAggregate(nowMs)) ?? [];
    this.#aggregateNumber++;
    if (isLocalDue) {
      this.#sendFragments(duties.listLocal(), fragments);
      this.#lastLocal = { text: "", atMs: nowMs };
    }
    if (isRemoteDue) {
      this.#sendFragments(duties.listRemoteReaders(), fragments);
      this.#lastRemote = { text: "", atMs: nowMs };
    }
  }

  #computeAggregate(nowMs: number): LoadCounts {
    const all = [this.#options.readCounts()];
    for (const [instance, { counts, atMs }] of this.#reported) {
      if (nowMs - atMs < REPORT_TTL_MS) {
        all.push(counts);
      } else {
        this.#reported.delete(instance);
      }
    }
    return mergeCounts(all);
  }

  #sendFragments(to: readonly Member[], fragments: readonly Fragment[]): void {
    const { instance: from, dataCentre, send } = this.#options;
    const number = this.#aggregateNumber;
    for (const fragment of fragments) {
      send(to, {
        kind: "gathered-load",
        from,
        dataCentre,
        number,
        ...fragment,
      });
    }
  }

  #createMessage(): LoadMessage {
    const { instance: from, describeStatus, readCounts } = this.#options;
    return { kind: "load", from, ...describeStatus(), counts: readCounts() };
  }
}

/** Key of a data centre's aggregate; no instance has such a name. */
function formatAggregateName(dataCentre: string): string {
  return `all of ${dataCentre}`;
}

function computeIntervalMs(
  { minMs, perInstanceMs }: SendInterval,
  count: number,
): number {
  return Math.max(minMs, perInstanceMs * count);
}

function isDue(last: SentMessage, now: {
  readonly text: string;
  readonly intervalMs: number;
  readonly repeatMs: number;
  readonly nowMs: number;
}): boolean {
  const ageMs = now.nowMs - last.atMs;
  return ageMs >= now.repeatMs ||
    (ageMs >= now.intervalMs && now.text !== last.text);
}
