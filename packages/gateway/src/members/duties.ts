/**
 * Which instances do work for others: keep keys, read the store for everybody,
 * or pass on what was read.
 *
 * Load pattern: 200 instances. Did each of them read the configuration, the
 * members and the group of keepers for itself, those calls alone would be 100 a
 * second; and one of the small ones, with a quarter of a core, cannot renew the
 * keys of 180 targets. So a few do it, the strongest first, and everybody works
 * out alike who they are from the members' records and from whom it hears.
 *
 * All of this is a hint: two that each take themselves for the reader both read,
 * which costs calls and harms nobody, and whoever hears nothing reads itself.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { Member, Members, RankedInstance } from "./members.ts";
import { hashToUint32 } from "./stable_hash.ts";

/**
 * What an instance does for others. `keeper-candidate`: it joins the group of
 * keepers and follows the configuration. `reader`: it reads the targets' entries
 * for all. `local-reader`: it passes on in its data centre what is read, and
 * gathers loads there.
 */
export type Duty = "keeper-candidate" | "reader" | "local-reader";

export interface DutiesOptions {
  readonly clock: Clock;
  /** As `members` has it. */
  readonly self: RankedInstance;
  readonly members: Members;
  /** Whether the store does not answer this instance. */
  readonly hasLostStore: () => boolean;
}

/**
 * Instances that join the group of keepers and follow the configuration. A
 * partial outage that turns a third of all instances away leaves one of six in
 * 699 cases of 700.
 */
const CANDIDATES = 6;
/** As many stand ready however weak they are. */
const LEAST_CANDIDATES = 3;
/** Of the strongest: one that can do less would be slower to renew keys. */
const MIN_STRENGTH = 0.5;
/** Instances that say often that they are there: twice those that are needed. */
const SPEAKERS = 2 * CANDIDATES;
/** The same within a data centre, where one reads. */
const NEAR_SPEAKERS = 2;
/**
 * An instance that has just started knows few others, and would take itself for
 * one of the first. Were 200 to join the group of keepers when they start
 * together, partitions would pass to and fro as all but a few leave again.
 */
const GATHER_MS = 1_000;
/** What is worked out holds for this long; it is asked for with each datagram. */
const VALID_MS = 50;
/** One decides; the next one where it does not answer. */
const DECIDERS = 2;

interface Decision {
  readonly atMs: number;
  readonly isCandidate: boolean;
  readonly isHeartbeatSender: boolean;
  /** Whether everybody is to hear that this instance is there. */
  readonly sendsToRegion: boolean;
  readonly candidates: ReadonlySet<string>;
  readonly heartbeatSenders: ReadonlySet<string>;
  readonly reader: string;
  /** By data centre. */
  readonly localReaders: ReadonlyMap<string, string>;
}

export class Duties {
  readonly #options: DutiesOptions;
  readonly #startedAtMs: number;
  #decision: Decision | undefined;

  constructor(options: DutiesOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.readMs();
  }

  /** What this instance does for others now. */
  listDuties(): readonly Duty[] {
    const duties: Duty[] = [];
    if (this.isCandidate()) {
      duties.push("keeper-candidate");
    }
    if (this.isReader()) {
      duties.push("reader");
    }
    if (this.isLocalReader()) {
      duties.push("local-reader");
    }
    return duties;
  }

  /** Whether this instance stands ready to keep keys. */
  isCandidate(): boolean {
    return this.#decide().isCandidate;
  }

  /** How many candidates come before this instance, if it is one. */
  findCandidateRank(): number | undefined {
    const { isCandidate, candidates } = this.#decide();
    return isCandidate
      ? [...candidates].indexOf(this.#options.self.instance)
      : undefined;
  }

  /** Whether another instance is believed to stand ready to keep keys. */
  hasCandidate(instance: string): boolean {
    return this.#decide().candidates.has(instance);
  }

  /** Whether this instance is to say often that it is there. */
  isHeartbeatSender(): boolean {
    return this.#decide().isHeartbeatSender;
  }

  /** The others that are heard of and say often that they are there. */
  listHeartbeatSenders(): readonly Member[] {
    const { heartbeatSenders: speakers } = this.#decide();
    return this.#options.members.listPeers()
      .filter(({ instance }) => speakers.has(instance));
  }

  /**
   * Which instances decide about something that all share, the first before the
   * next: drawn from its name among those that say often that they are there.
   */
  chooseCoordinators(subject: string): readonly string[] {
    return [...this.#decide().heartbeatSenders]
      .map((name) => ({ name, order: hashToUint32(`${subject} ${name}`) }))
      .toSorted((left, right) => left.order - right.order)
      .slice(0, DECIDERS)
      .map(({ name }) => name);
  }

  /** Whether this instance reads the targets' entries for everybody. */
  isReader(): boolean {
    return this.#decide().reader === this.#options.self.instance;
  }

  /** Whether this instance passes on in its data centre what comes from others. */
  isLocalReader(): boolean {
    const { dataCentre, instance } = this.#options.self;
    return this.#decide().localReaders.get(dataCentre) === instance;
  }

  /** The one that passes on in this data centre, once its record is known. */
  findLocalReader(): Member | undefined {
    const { self, members } = this.#options;
    const name = this.#decide().localReaders.get(self.dataCentre);
    return name === undefined ? undefined : members.get(name);
  }

  /** Those that pass on in the other data centres. */
  listRemoteReaders(): readonly Member[] {
    const { localReaders } = this.#decide();
    return this.listRemote().filter(({ instance, dataCentre }) =>
      localReaders.get(dataCentre) === instance
    );
  }

  /** Whom to tell often that this instance is there. */
  listHeartbeatReceivers(): readonly Member[] {
    const { sendsToRegion: isRegionSpeaker, heartbeatSenders: speakers } = this
      .#decide();
    const { self, members } = this.#options;
    return isRegionSpeaker
      ? members.listPeers()
      : members.listPeers().filter(({ instance, dataCentre }) =>
        dataCentre === self.dataCentre || speakers.has(instance)
      );
  }

  /** The other instances of the data centre. */
  listLocal(): readonly Member[] {
    const { self, members } = this.#options;
    return members.listPeers()
      .filter(({ dataCentre }) => dataCentre === self.dataCentre);
  }

  /** The instances of the other data centres. */
  listRemote(): readonly Member[] {
    const { self, members } = this.#options;
    return members.listPeers()
      .filter(({ dataCentre }) => dataCentre !== self.dataCentre);
  }

  /** Whom to pass a message on to that comes from an instance of a data centre. */
  listForwardReceivers(dataCentre: string): readonly Member[] {
    return dataCentre !== this.#options.self.dataCentre && this.isLocalReader()
      ? this.listLocal()
      : [];
  }

  /**
   * Whom to tell what everybody is to know: all that are near, and in each other
   * data centre the one that passes it on there, or all where none is heard of.
   */
  listBroadcastReceivers(): readonly Member[] {
    const { self, members } = this.#options;
    const { localReaders } = this.#decide();
    return members.listPeers().filter(({ instance, dataCentre }) => {
      const relay = localReaders.get(dataCentre);
      return dataCentre === self.dataCentre || relay === undefined ||
        relay === instance;
    });
  }

  #decide(): Decision {
    const nowMs = this.#options.clock.readMs();
    if (
      this.#decision === undefined || nowMs - this.#decision.atMs >= VALID_MS
    ) {
      this.#decision = this.#createDecision(nowMs);
    }
    return this.#decision;
  }

  /** Goes through all that are heard of, the first to be charged with work first. */
  #createDecision(nowMs: number): Decision {
    const { self, members } = this.#options;
    const heard = members.listRanked().filter(({ instance }) =>
      instance === self.instance || members.isAlive(instance, nowMs)
    );
    const able = heard.filter((one) => !this.#hasLostStore(one));
    const before = heard.slice(0, heard.indexOf(self));
    const nearBefore = before
      .filter(({ dataCentre }) => dataCentre === self.dataCentre);
    const speakers = heard.slice(0, SPEAKERS);
    const isRegionSpeaker = before.length < SPEAKERS;
    const candidates = listNames(chooseCandidates(speakers, new Set(able)));
    return {
      atMs: nowMs,
      isCandidate: candidates.has(self.instance) && this.#hasGathered(nowMs),
      isHeartbeatSender: isRegionSpeaker || nearBefore.length < NEAR_SPEAKERS,
      sendsToRegion: isRegionSpeaker,
      candidates,
      heartbeatSenders: listNames(speakers),
      reader: (able[0] ?? heard[0]!).instance,
      localReaders: chooseLocalReaders([...able, ...heard]),
    };
  }

  #hasGathered(nowMs: number): boolean {
    return this.#options.members.instanceCount > CANDIDATES ||
      nowMs - this.#startedAtMs >= GATHER_MS;
  }

  #hasLostStore({ instance }: RankedInstance): boolean {
    const { self, members, hasLostStore } = this.#options;
    return instance === self.instance
      ? hasLostStore()
      : members.hasLostStore(instance);
  }
}

/**
 * Those that the store answers go first; where it answers none, the first stand
 * ready all the same. An instance that can do much less than the first is left
 * out where there are others: partitions fall to candidates evenly.
 */
function chooseCandidates(
  instances: readonly RankedInstance[],
  able: ReadonlySet<RankedInstance>,
): readonly RankedInstance[] {
  const ordered = [
    ...instances.filter((one) => able.has(one)),
    ...instances.filter((one) => !able.has(one)),
  ];
  const most = Math.max(...ordered.map(({ cores }) => cores));
  return ordered.slice(0, CANDIDATES).filter(({ cores }, place) =>
    place < LEAST_CANDIDATES || cores >= MIN_STRENGTH * most
  );
}

function listNames(instances: readonly RankedInstance[]): ReadonlySet<string> {
  return new Set(instances.map(({ instance }) => instance));
}

/** The first in each data centre. */
function chooseLocalReaders(
  instances: readonly RankedInstance[],
): ReadonlyMap<string, string> {
  const readers = new Map<string, string>();
  for (const { instance, dataCentre } of instances) {
    if (!readers.has(dataCentre)) {
      readers.set(dataCentre, instance);
    }
  }
  return readers;
}
