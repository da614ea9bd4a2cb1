/**
 * Determines which instances do work for others: keep keys, read the store for
 * all instances, or forward what was read.
 *
 * If each of 200 instances read the configuration, the members and the group of
 * keepers itself, those calls alone would be 100 a second; and a small instance
 * with a quarter of a core cannot renew the keys of 180 targets. So a few
 * instances do this work, the strongest first. Each instance computes the same
 * duties from the members' records and from which instances are alive.
 *
 * All duties are hints. Two instances that each act as the reader both read,
 * which costs calls and does no harm, and an instance that receives nothing
 * reads the store itself.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { Member, Members, RankedInstance } from "./members.ts";
import { hasExcessiveLosses } from "../paths/path_losses.ts";
import { hashToUint32 } from "./stable_hash.ts";

/**
 * The work that an instance does for others. `keeper-candidate`: joins the
 * group of keepers and follows the configuration. `reader`: reads the targets'
 * entries for all instances. `local-reader`: one instance in each data centre,
 * which forwards there the messages of other data centres, aggregates the load
 * counts of the instances there, and reads the targets' entries for them if the
 * reader sends none.
 */
export type Duty = "keeper-candidate" | "reader" | "local-reader";

export interface DutiesOptions {
  readonly clock: Clock;
  /**
   * The same object that `members` was created with; its rank is found by
   * object identity.
   */
  readonly self: RankedInstance;
  readonly members: Members;
  /** Whether the store does not answer this instance. */
  readonly hasLostStore: () => boolean;
  /** Number of targets that only this instance has not reached lately. */
  readonly countLostPaths: () => number;
}

/**
 * Maximum number of instances that join the group of keepers and follow the
 * configuration. If a partial outage cuts a third of all instances off the
 * store, at least one of six still reaches it in 699 of 700 cases.
 */
const MAX_CANDIDATES = 6;
/** This many become candidates however few cores they have. */
const MIN_CANDIDATES = 3;
/**
 * Minimum cores of a further candidate, as a fraction of the strongest's cores:
 * weaker instances are slower to renew keys.
 */
const MIN_CORES_RATIO = 0.5;
/**
 * Number of instances that send heartbeats to all data centres: twice the
 * number of candidates.
 */
const GLOBAL_HEARTBEAT_SENDERS = 2 * MAX_CANDIDATES;
/**
 * Number of instances per data centre that send heartbeats within it, where one
 * of them is the local reader.
 */
const LOCAL_HEARTBEAT_SENDERS = 2;
/**
 * For this long after its start, an instance that knows few others does not
 * become a candidate, since it would rank itself among the first. If 200
 * instances that start together joined the group of keepers, partitions would
 * move to and fro as all but a few leave again.
 */
const DISCOVERY_MS = 1_000;
/** How long duties are cached, since they are needed for each datagram. */
const CACHE_MS = 50;
/**
 * Number of instances that may coordinate a key: the second one does if the
 * first is silent.
 */
const COORDINATOR_COUNT = 2;

interface Decision {
  readonly atMs: number;
  readonly isCandidate: boolean;
  /** Whether this instance must not keep keys, since others reach more targets. */
  readonly isUnfit: boolean;
  /** Whether this instance sends heartbeats, to all data centres or its own. */
  readonly isHeartbeatSender: boolean;
  /** Whether this instance sends heartbeats to all data centres. */
  readonly sendsToAllDataCentres: boolean;
  readonly candidates: ReadonlySet<string>;
  /** The live instances that send heartbeats to all data centres. */
  readonly globalHeartbeatSenders: ReadonlySet<string>;
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

  /** Whether this instance is a candidate for keeping keys. */
  isCandidate(): boolean {
    return this.#decide().isCandidate;
  }

  /**
   * Whether this instance has lost paths to so many more targets than another
   * one that it must give up keeping keys at once.
   */
  isUnfit(): boolean {
    return this.#decide().isUnfit;
  }

  /** Number of candidates ranked before this instance, if it is a candidate. */
  findCandidateRank(): number | undefined {
    const { isCandidate, candidates } = this.#decide();
    return isCandidate
      ? [...candidates].indexOf(this.#options.self.instance)
      : undefined;
  }

  /** Whether another instance is a candidate, as far as is known here. */
  isCandidateInstance(instance: string): boolean {
    return this.#decide().candidates.has(instance);
  }

  /** Whether this instance sends heartbeats, to all data centres or its own. */
  isHeartbeatSender(): boolean {
    return this.#decide().isHeartbeatSender;
  }

  /** The other live instances that send heartbeats to all data centres. */
  listGlobalHeartbeatSenders(): readonly Member[] {
    const { globalHeartbeatSenders } = this.#decide();
    return this.#options.members.listPeers()
      .filter(({ instance }) => globalHeartbeatSenders.has(instance));
  }

  /**
   * Chooses the instances that coordinate a key for all instances, such as a
   * target whose rate limit is coordinated. They are in order of preference: by
   * a hash of the key and the instance's name, among the instances that send
   * heartbeats to all data centres.
   */
  chooseCoordinators(key: string): readonly string[] {
    return [...this.#decide().globalHeartbeatSenders]
      .map((name) => ({ name, order: hashToUint32(`${key} ${name}`) }))
      .toSorted((left, right) => left.order - right.order)
      .slice(0, COORDINATOR_COUNT)
      .map(({ name }) => name);
  }

  /** Whether this instance reads the targets' entries for all instances. */
  isReader(): boolean {
    return this.#decide().reader === this.#options.self.instance;
  }

  /** Whether this instance forwards messages of others in its data centre. */
  isLocalReader(): boolean {
    const { dataCentre, instance } = this.#options.self;
    return this.#decide().localReaders.get(dataCentre) === instance;
  }

  /** The local reader of this data centre, once its record is known. */
  findLocalReader(): Member | undefined {
    const { self, members } = this.#options;
    const name = this.#decide().localReaders.get(self.dataCentre);
    return name === undefined ? undefined : members.get(name);
  }

  /** The local readers of the other data centres. */
  listRemoteReaders(): readonly Member[] {
    const { localReaders } = this.#decide();
    return this.listRemote().filter(({ instance, dataCentre }) =>
      localReaders.get(dataCentre) === instance
    );
  }

  /** The receivers of this instance's heartbeats. */
  listHeartbeatReceivers(): readonly Member[] {
    const { sendsToAllDataCentres, globalHeartbeatSenders } = this.#decide();
    const { self, members } = this.#options;
    return sendsToAllDataCentres
      ? members.listPeers()
      : members.listPeers().filter(({ instance, dataCentre }) =>
        dataCentre === self.dataCentre || globalHeartbeatSenders.has(instance)
      );
  }

  /** The other instances of this data centre. */
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

  /** To whom this instance forwards a message that comes from a data centre. */
  listForwardReceivers(dataCentre: string): readonly Member[] {
    return dataCentre !== this.#options.self.dataCentre && this.isLocalReader()
      ? this.listLocal()
      : [];
  }

  /**
   * The first receivers of a message for all instances: all in this data
   * centre, and in each other data centre its local reader, which forwards the
   * message, or all instances there if none is alive.
   */
  listBroadcastReceivers(): readonly Member[] {
    const { self, members } = this.#options;
    const { localReaders } = this.#decide();
    return members.listPeers().filter(({ instance, dataCentre }) => {
      const localReader = localReaders.get(dataCentre);
      return dataCentre === self.dataCentre || localReader === undefined ||
        localReader === instance;
    });
  }

  #decide(): Decision {
    const nowMs = this.#options.clock.readMs();
    if (
      this.#decision === undefined || nowMs - this.#decision.atMs >= CACHE_MS
    ) {
      this.#decision = this.#createDecision(nowMs);
    }
    return this.#decision;
  }

  /** Computes the duties of all live instances, in the order of their rank. */
  #createDecision(nowMs: number): Decision {
    const { self, members } = this.#options;
    const alive = members.listRanked().filter(({ instance }) =>
      instance === self.instance || members.isAlive(instance, nowMs)
    );
    const withStore = alive.filter((instance) => !this.#hasLostStore(instance));
    const rankedBefore = alive.slice(0, alive.indexOf(self));
    const localRankedBefore = rankedBefore
      .filter(({ dataCentre }) => dataCentre === self.dataCentre);
    const globalHeartbeatSenders = alive.slice(0, GLOBAL_HEARTBEAT_SENDERS);
    const sendsToAllDataCentres =
      rankedBefore.length < GLOBAL_HEARTBEAT_SENDERS;
    const unfit = this.#listUnfit(
      globalHeartbeatSenders.filter((instance) => withStore.includes(instance)),
    );
    const candidates = listNames(
      chooseCandidates(
        globalHeartbeatSenders.filter((instance) => !unfit.has(instance)),
        new Set(withStore),
      ),
    );
    return {
      atMs: nowMs,
      isCandidate: candidates.has(self.instance) &&
        this.#hasDiscoveredOthers(nowMs),
      isUnfit: unfit.has(self),
      isHeartbeatSender: sendsToAllDataCentres ||
        localRankedBefore.length < LOCAL_HEARTBEAT_SENDERS,
      sendsToAllDataCentres,
      candidates,
      globalHeartbeatSenders: listNames(globalHeartbeatSenders),
      reader: (withStore[0] ?? alive[0]!).instance,
      localReaders: chooseLocalReaders([...withStore, ...alive]),
    };
  }

  /**
   * Lists the instances that have lost far more paths than the best of them,
   * which may so become candidates.
   */
  #listUnfit(
    eligible: readonly RankedInstance[],
  ): ReadonlySet<RankedInstance> {
    const losses = new Map(
      eligible.map((instance) => [instance, this.#countLostPaths(instance)]),
    );
    const counts = [...losses.values()];
    return new Set(
      eligible.filter((instance) =>
        hasExcessiveLosses(losses.get(instance)!, counts)
      ),
    );
  }

  #countLostPaths({ instance }: RankedInstance): number {
    const { self, members, countLostPaths } = this.#options;
    return instance === self.instance
      ? countLostPaths()
      : members.countLostPaths(instance);
  }

  #hasDiscoveredOthers(nowMs: number): boolean {
    return this.#options.members.knownCount > MAX_CANDIDATES ||
      nowMs - this.#startedAtMs >= DISCOVERY_MS;
  }

  #hasLostStore({ instance }: RankedInstance): boolean {
    const { self, members, hasLostStore } = this.#options;
    return instance === self.instance
      ? hasLostStore()
      : members.hasLostStore(instance);
  }
}

/**
 * Chooses instances that reach the store before those that do not. If none
 * does, the first in rank are candidates all the same. Leaves out an instance
 * with far fewer cores than the strongest if there are enough others, since
 * partitions are divided evenly among the candidates.
 */
function chooseCandidates(
  instances: readonly RankedInstance[],
  withStore: ReadonlySet<RankedInstance>,
): readonly RankedInstance[] {
  const ordered = [
    ...instances.filter((instance) => withStore.has(instance)),
    ...instances.filter((instance) => !withStore.has(instance)),
  ];
  const maxCores = Math.max(...ordered.map(({ cores }) => cores));
  return ordered.slice(0, MAX_CANDIDATES).filter(({ cores }, rank) =>
    rank < MIN_CANDIDATES || cores >= MIN_CORES_RATIO * maxCores
  );
}

function listNames(instances: readonly RankedInstance[]): ReadonlySet<string> {
  return new Set(instances.map(({ instance }) => instance));
}

/** Chooses the first instance in each data centre. */
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
