/**
 * Tells the other instances how many requests this one has at each target and
 * has waiting, and hears the same of them.
 *
 * Where there are few, each tells each: within a data centre at once, since its
 * targets are shared by the instances there; across, a few times a second, since
 * bytes there have a price.
 *
 * Load pattern: 60 to 200 instances. Told by each to each, 200 of them heard of
 * each other every 3 s, when most requests were over, and still spent half of
 * their processor time on it: 260 datagrams a second and instance. So one in
 * each data centre gathers what the others there have and tells the sum: 21
 * datagrams a second sent by each, and all are known everywhere within 0.6 s.
 *
 * All of it is a hint. A lost datagram makes a choice worse for some moments;
 * counts of instances that have fallen silent fade.
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
} from "./load_counts.ts";
import type { Member, Members } from "../members/members.ts";
import type { PeerMessage, PeerStatus } from "./peer_message.ts";
import type { PeerOptions } from "./peer_options.ts";

type LoadMessage = PeerMessage & { readonly kind: "load" };
type GatheredMessage = PeerMessage & { readonly kind: "gathered-load" };

export interface LoadExchangeOptions extends PeerOptions {
  readonly members: Members;
  readonly readCounts: () => LoadCounts;
  /** Takes over what an instance, or those of a data centre, have. */
  readonly applyCounts: (peer: string, counts: LoadCounts) => void;
  readonly describeStatus: () => PeerStatus;
}

/** Beyond this many each instance would tell the others seldomer than each 250 ms. */
const MAX_DIRECT_INSTANCES = 24;
/**
 * How often counts go out: changes of this long together. The more instances
 * there are, the seldomer, since each tells each. With a dozen the least times
 * hold.
 */
interface SendInterval {
  readonly minMs: number;
  readonly perInstanceMs: number;
}
/** In the data centre; requests take 40 ms and more. */
const LOCAL_INTERVAL: SendInterval = { minMs: 40, perInstanceMs: 12 };
/** Bytes across have a price; requests there take about this long in all. */
const REMOTE_INTERVAL: SendInterval = { minMs: 250, perInstanceMs: 22 };
/** Without a change, often enough for a receiver to take counts for current. */
const REPEAT_INTERVAL: SendInterval = { minMs: 400, perInstanceMs: 16 };
/** To the instance that gathers, which tells sums about as often. */
const AGGREGATOR_INTERVAL_MS = 100;
/** Sums within the data centre, and to those that pass them on in the others. */
const LOCAL_AGGREGATE_INTERVAL_MS = 150;
const REMOTE_AGGREGATE_INTERVAL_MS = 300;
/** What an instance told longer ago than this is left out of the sum. */
const REPORT_TTL_MS = 1_500;
/** Between two looks; each wake-up costs about 0.1 ms. */
const TICK_MS = 40;
/** The same at an instance that only tells the one that gathers. */
const AGGREGATED_TICK_MS = 100;

interface ReportedCounts {
  readonly counts: LoadCounts;
  readonly atMs: number;
}

/** What went out last, as text, and when. */
interface SentMessage {
  readonly text: string;
  readonly atMs: number;
}

const NEVER_SENT: SentMessage = { text: "", atMs: -Infinity };

export class LoadExchange {
  readonly #options: LoadExchangeOptions;
  readonly #joiner = new FragmentAssembler();
  /** By instance of this data centre: what this one gathers. */
  readonly #reported = new Map<string, ReportedCounts>();
  /** What this instance has told last, which is part of the sum that it hears. */
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

  /** Whether this instance tells only the one that gathers. */
  #isAggregated(): boolean {
    const { members, duties } = this.#options;
    return members.instanceCount > MAX_DIRECT_INSTANCES &&
      !duties.isLocalReader();
  }

  /** What an instance tells of itself. */
  applyLoad({ from, counts }: LoadMessage): void {
    const { clock, applyCounts } = this.#options;
    this.#reported.set(from, { counts, atMs: clock.readMs() });
    applyCounts(from, counts);
  }

  /** What the instances of a data centre have together. */
  applyAggregate(message: GatheredMessage): void {
    const { dataCentre, duties, send, applyCounts } = this.#options;
    const { from, dataCentre: origin, number } = message;
    send(duties.listForwardReceivers(origin), message);
    const text = this.#joiner.add(from, number, message);
    const counts = text === undefined ? undefined : toCounts(decodeValue(text));
    if (counts === undefined) {
      return;
    }
    const others = origin === dataCentre
      ? removeCounts(counts, this.#lastReported)
      : counts;
    applyCounts(formatAggregateName(origin), others);
  }

  #advance(): void {
    if (this.#options.members.instanceCount <= MAX_DIRECT_INSTANCES) {
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
    const near = duties.listLocal();
    const far = duties.listRemote();
    const nearMs = computeIntervalMs(LOCAL_INTERVAL, near.length);
    const farMs = computeIntervalMs(REMOTE_INTERVAL, far.length);
    if (
      nowMs - this.#lastLocal.atMs < nearMs &&
      nowMs - this.#lastRemote.atMs < farMs
    ) {
      return;
    }
    const message = this.#createMessage();
    const text = JSON.stringify(message);
    const repeatMs = computeIntervalMs(
      REPEAT_INTERVAL,
      near.length + far.length,
    );
    if (isDue(this.#lastLocal, { text, gapMs: nearMs, repeatMs, nowMs })) {
      send(near, message);
      this.#lastLocal = { text, atMs: nowMs };
    }
    if (isDue(this.#lastRemote, { text, gapMs: farMs, repeatMs, nowMs })) {
      send(far, message);
      this.#lastRemote = { text, atMs: nowMs };
    }
  }

  #sendToAggregator(): void {
    const { clock, duties, send } = this.#options;
    const nowMs = clock.readMs();
    const gatherer = duties.findLocalReader();
    if (
      gatherer === undefined ||
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
        gapMs: AGGREGATOR_INTERVAL_MS,
        repeatMs,
        nowMs,
      })
    ) {
      this.#lastReported = message.counts;
      send([gatherer], message);
      this.#lastLocal = { text, atMs: nowMs };
    }
  }

  #sendAggregates(): void {
    const { clock, duties } = this.#options;
    const nowMs = clock.readMs();
    const toNear = nowMs - this.#lastLocal.atMs >= LOCAL_AGGREGATE_INTERVAL_MS;
    const toFar = nowMs - this.#lastRemote.atMs >= REMOTE_AGGREGATE_INTERVAL_MS;
    if (!toNear && !toFar) {
      return;
    }
    const pieces = encodeValue(this.#computeAggregate(nowMs)) ?? [];
    this.#aggregateNumber++;
    if (toNear) {
      this.#sendFragments(duties.listLocal(), pieces);
      this.#lastLocal = { text: "", atMs: nowMs };
    }
    if (toFar) {
      this.#sendFragments(duties.listRemoteReaders(), pieces);
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

  #sendFragments(to: readonly Member[], pieces: readonly Fragment[]): void {
    const { instance: from, dataCentre, send } = this.#options;
    const number = this.#aggregateNumber;
    for (const piece of pieces) {
      send(to, { kind: "gathered-load", from, dataCentre, number, ...piece });
    }
  }

  #createMessage(): LoadMessage {
    const { instance: from, describeStatus: describeStanding, readCounts } =
      this.#options;
    return { kind: "load", from, ...describeStanding(), counts: readCounts() };
  }
}

/** No instance has such a name. */
function formatAggregateName(dataCentre: string): string {
  return `all of ${dataCentre}`;
}

function toCounts(value: unknown): LoadCounts | undefined {
  const { running, waiting, instances } = (value ?? {}) as Partial<LoadCounts>;
  return typeof running === "object" && typeof waiting === "object" &&
      typeof instances === "number"
    ? { running, waiting, instances }
    : undefined;
}

function computeIntervalMs(
  { minMs: leastMs, perInstanceMs }: SendInterval,
  count: number,
): number {
  return Math.max(leastMs, perInstanceMs * count);
}

function isDue(last: SentMessage, now: {
  readonly text: string;
  readonly gapMs: number;
  readonly repeatMs: number;
  readonly nowMs: number;
}): boolean {
  const ageMs = now.nowMs - last.atMs;
  return ageMs >= now.repeatMs ||
    (ageMs >= now.gapMs && now.text !== last.text);
}
