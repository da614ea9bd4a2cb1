/**
 * Simulates instances that keep keys, in virtual time: a store, targets, and
 * instances that are killed, cut off and restarted. For tests.
 */
import { FakeKeyHolders } from "@lentilspur/ports/fake_key_holders";
import { FakeStore, type RestoreOptions } from "@lentilspur/ports/fake_store";
import { encodeOffset } from "@lentilspur/ports/store_offset";
import type { RoutingTarget } from "@lentilspur/ports/routing_table";
import { SeededRandom } from "@lentilspur/ports/seeded_random";
import type { ProbeOutcome } from "@lentilspur/ports/target_prober";
import { hasExcessiveLosses } from "../paths/path_losses.ts";
import type { PathCheck } from "../forwarding/path_checker.ts";
import { PathMonitor } from "../paths/path_monitor.ts";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { DEFAULT_KEEPER_TIMING } from "@lentilspur/ownership/keeper_timing";
import type { OwnerCandidate } from "@lentilspur/ownership/owner_load";
import type { KeeperClaim } from "@lentilspur/ownership/keeper_records";
import type { KeeperMessage } from "./keeper_exchange.ts";
import { KeeperService, type KeeperServiceEvent } from "./keeper_service.ts";
import { createMember } from "../members/member_fixtures.ts";
import { serializeMember } from "../members/members.ts";
import {
  MEMBERS_PARTITION,
  startMembership,
} from "../members/membership_simulation.ts";
import { PartitionView } from "../views/partition_view.ts";
import { ReplacedTargets } from "../views/replaced_targets.ts";

export const OWNERS_PARTITION = { topic: "owners", part: 0 };
const SERVICE = "files";
/** Targets write about once a second, and reads come a little later. */
const ENTRY_LAG_MS = 1_200;
const LATE_ENTRY_MS = 3_000;
const DATAGRAM_DELAY_MS = 1;
const CONNECT_TIMEOUT_MS = 250;
const PATH_TICK_MS = 100;

const MEMBERS_READ_INTERVAL_MS = 1_000;

interface RunningInstance {
  /** Former processes whose entries this instance has read late. */
  readonly lateEntries: Set<string>;
  /** What this instance has proof of. */
  readonly replaced: ReplacedTargets;
  readonly view: PartitionView;
  readonly paths: PathMonitor;
  readonly incarnation: string;
  readonly stop: AbortController;
  readonly service: KeeperService;
}

export class KeeperSimulation {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock);
  readonly holders = new FakeKeyHolders(this.clock);
  readonly events: KeeperServiceEvent[] = [];
  readonly #instances = new Map<string, RunningInstance>();
  /** Names of all instances that were ever started. */
  readonly #names = new Set<string>();
  readonly #unreachable = new Set<string>();
  readonly #endedTargets = new Set<string>();
  /** The newest process at the address of each target that was replaced. */
  readonly #currentProcesses = new Map<string, string>();
  /** The address of each process that has replaced another one. */
  readonly #addresses = new Map<string, string>();
  /** Processes that were replaced at an address, by the name of their target. */
  readonly #formerProcesses = new Map<string, string>();
  /** Instances whose datagrams are lost in both directions. */
  readonly #disconnected = new Set<string>();
  /** Pairs of instances between which datagrams are lost. */
  readonly #cutPaths = new Set<string>();
  readonly #bornMs = new Map<string, number>();
  #candidates: readonly string[];
  #startCount = 0;

  constructor(candidates: readonly string[]) {
    this.#candidates = candidates;
  }

  start(instance: string): void {
    this.kill(instance);
    this.#startCount++;
    const incarnation = `${instance}.${this.#startCount}`;
    const stop = new AbortController();
    const store = this.store.createClient(instance);
    const view = new PartitionView({
      clock: this.clock,
      store,
      partition: OWNERS_PARTITION,
      getPollingPolicy: () => ({
        pollDelayMs: 10,
        waitMs: 600,
        peerDataTtlMs: 0,
        maxBackoffMs: 400,
      }),
      apply: () => undefined,
      observe: () => undefined,
    });
    const lateEntries = new Set<string>();
    const replaced = new ReplacedTargets();
    const membership = startMembership({
      clock: this.clock,
      store,
      member: createMember(instance, { incarnation }),
      readIntervalMs: MEMBERS_READ_INTERVAL_MS,
      signal: stop.signal,
    });
    const { members } = membership;
    const orders = this.holders.createClient((target) =>
      !stop.signal.aborted && !this.#unreachable.has(`${instance}>${target}`)
    );
    const paths = this.#createPathMonitor(instance);
    void this.#runPathMonitor(paths, stop.signal);
    const service = new KeeperService({
      clock: this.clock,
      store,
      orders: paths.observeOrders(orders),
      timing: { ...DEFAULT_KEEPER_TIMING, distributeAfterMs: 0 },
      claim: { instance, incarnation },
      getStartNumber: () => membership.publisher.startNumber,
      topic: OWNERS_PARTITION.topic,
      minMemberTtlMs: 1_000,
      listServiceSnapshots: () => [{
        service: SERVICE,
        candidates: [...this.#candidates, ...lateEntries]
          .map((id) => this.#createCandidate(id)),
        rates: [],
      }],
      getView: () => view,
      getTrustedSinceMs: () => -Infinity,
      hasEnded: (holder) =>
        this.#endedTargets.has(holder.id) || replaced.has(holder),
      hasInstanceEnded: (claim) => members.hasEnded(claim),
      scheduleMembersRead: () => membership.view.scheduleRead(),
      isAlive: (name) => this.#hasPath(name, instance),
      listGlobalHeartbeatSenders: () => this.#listAlive(instance),
      listInstances: () => [...this.#names].filter((name) => name !== instance),
      isCandidate: () => !this.#isUnfit(instance),
      isUnfit: () => this.#isUnfit(instance),
      sendToPeer: (name, message) => this.#sendToPeer(instance, name, message),
      observe: (event) => this.events.push(event),
    });
    this.#names.add(instance);
    this.#instances.set(instance, {
      incarnation,
      stop,
      service,
      lateEntries,
      replaced,
      view,
      paths,
    });
    void view.run(stop.signal);
    void service.run(stop.signal);
  }

  #createPathMonitor(instance: string): PathMonitor {
    const listTargets = () =>
      this.#candidates.map((id) => this.#createTarget(id));
    return new PathMonitor({
      clock: this.clock,
      random: new SeededRandom(1),
      prober: { probe: ({ id }) => this.#probe(instance, id) },
      findTarget: (id) => listTargets().find((target) => target.id === id),
      listTargets,
      findHealthPath: () => undefined,
      checkElsewhere: (target) => this.#checkPath(instance, target),
      onUnreachable: () => undefined,
      onRegained: () => undefined,
      observe: () => undefined,
    });
  }

  async #checkPath(
    instance: string,
    { id }: RoutingTarget,
  ): Promise<PathCheck> {
    await this.clock.sleep(DATAGRAM_DELAY_MS);
    for (const name of this.#instances.keys()) {
      if (name !== instance && this.#isReached(name, id)) {
        return { kind: "reached", peer: name };
      }
    }
    return { kind: "unreached" };
  }

  async #runPathMonitor(
    monitor: PathMonitor,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      monitor.advance();
      await this.clock.sleep(PATH_TICK_MS, signal);
    }
  }

  #isUnfit(instance: string): boolean {
    const own = this.#instances.get(instance)?.paths.countLosses() ?? 0;
    const others = [...this.#instances.values()]
      .map(({ paths }) => paths.countLosses());
    return hasExcessiveLosses(own, [...others, own]);
  }

  #isReached(instance: string, target: string): boolean {
    return this.holders.isAnswering(target) &&
      !this.#unreachable.has(`${instance}>${target}`);
  }

  async #probe(instance: string, target: string): Promise<ProbeOutcome> {
    if (this.#isReached(instance, target)) {
      return { kind: "answered" };
    }
    await this.clock.sleep(CONNECT_TIMEOUT_MS);
    return { kind: "failed", failure: "no-connection" };
  }

  #createTarget(id: string): RoutingTarget {
    const { address, bornMs, places } = this.#createCandidate(id);
    return {
      id,
      address,
      bornMs: bornMs ?? 0,
      places,
      sequence: 0,
      service: SERVICE,
      dataCentre: "",
      leaving: false,
      coldMs: 0,
    };
  }

  /**
   * Writes an instance's member record, as if the store had served it for just
   * these calls.
   */
  writeMember(instance: string): void {
    const { incarnation } = this.#instances.get(instance)!;
    const startNumber = this.store.listRecords(MEMBERS_PARTITION)
      .filter(({ key }) => key === instance).length + 1;
    const member = createMember(instance, { incarnation, startNumber });
    this.store.write(MEMBERS_PARTITION, instance, serializeMember(member));
  }

  /** Ends the process at once; calls that it has sent may still arrive. */
  kill(instance: string): void {
    this.#instances.get(instance)?.stop.abort();
    this.#instances.delete(instance);
  }

  /** Shuts an instance down gracefully. */
  async leave(instance: string): Promise<void> {
    await this.#instances.get(instance)?.service.leave();
    this.kill(instance);
  }

  setTargetConnectivity(
    instance: string,
    target: string,
    reaches: boolean,
  ): void {
    const name = `${instance}>${target}`;
    if (reaches) {
      this.#unreachable.delete(name);
    } else {
      this.#unreachable.add(name);
    }
  }

  setCandidates(candidates: readonly string[]): void {
    this.#candidates = candidates
      .map((id) => this.#currentProcesses.get(id) ?? id)
      .filter((id) => !this.#endedTargets.has(id));
    for (const { service } of this.#instances.values()) {
      service.schedulePlans();
    }
  }

  /**
   * Ends the target's process. All instances know at once that it has ended, as
   * if another target had been seen at its address.
   */
  killTarget(target: string): void {
    const id = this.#currentProcesses.get(target) ?? target;
    this.holders.kill(id);
    this.#endedTargets.add(id);
    this.setCandidates(this.#candidates);
  }

  /**
   * Ends the target's process and starts another one under a new id at its
   * address. No instance has proof of the end; the new entry is read after
   * `ENTRY_LAG_MS`.
   */
  startReplacement(id: string): void {
    const former = this.#currentProcesses.get(id) ?? id;
    if (this.#endedTargets.has(former)) {
      return;
    }
    const current = `${id}.${this.#addresses.size + 1}`;
    this.holders.killReplaced(former);
    this.#formerProcesses.set(id, former);
    this.#currentProcesses.set(id, current);
    this.#addresses.set(current, id);
    this.#bornMs.set(current, this.clock.readMs());
    void this.clock.sleep(ENTRY_LAG_MS).then(() => {
      const others = this.#candidates.filter((one) => one !== former);
      this.setCandidates([...others, current]);
    });
  }

  /**
   * Lets an instance read the entry of the target's former process, which the
   * store has delivered late; it expires after `LATE_ENTRY_MS`.
   */
  readLateEntry(instance: string, target: string): void {
    const former = this.#formerProcesses.get(target);
    const running = this.#instances.get(instance);
    if (former === undefined || running === undefined) {
      return;
    }
    running.lateEntries.add(former);
    running.service.schedulePlans();
    void this.clock.sleep(LATE_ENTRY_MS).then(() => {
      running.lateEntries.delete(former);
      running.service.schedulePlans();
    });
  }

  /** Sends a request to the former process, which another one refuses. */
  sendToFormerProcess(instance: string, target: string): void {
    const former = this.#formerProcesses.get(target);
    if (former !== undefined) {
      const bornMs = this.#bornMs.get(former) ?? 0;
      this.#instances.get(instance)?.replaced.record({ id: former, bornMs });
    }
  }

  /**
   * Restarts the target's process under the same id. The target's entry shows
   * this only after `ENTRY_LAG_MS`.
   */
  restartTarget(target: string): void {
    const id = this.#currentProcesses.get(target) ?? target;
    if (this.#endedTargets.has(id)) {
      return;
    }
    this.holders.restart(id);
    const bornMs = this.clock.readMs();
    void this.clock.sleep(ENTRY_LAG_MS).then(() => {
      this.#bornMs.set(id, bornMs);
      this.setCandidates(this.#candidates);
    });
  }

  /** Sets whether datagrams pass between an instance and all others. */
  setPeerConnectivity(instance: string, reaches: boolean): void {
    if (reaches) {
      this.#disconnected.delete(instance);
    } else {
      this.#disconnected.add(instance);
    }
  }

  /** Lets all datagrams between two instances be lost from now on. */
  closePeerPath(left: string, right: string): void {
    this.#cutPaths.add([left, right].toSorted().join());
  }

  /** Lets the store come back from an older copy. */
  restoreStore(options: Omit<RestoreOptions, "rewritten">): void {
    this.store.restore(options);
  }

  #hasPath(from: string, to: string): boolean {
    return this.#instances.has(from) && this.#instances.has(to) &&
      !this.#disconnected.has(from) && !this.#disconnected.has(to) &&
      !this.#cutPaths.has([from, to].toSorted().join());
  }

  #listAlive(self: string): readonly KeeperClaim[] {
    return [...this.#instances]
      .filter(([name]) => name !== self && this.#hasPath(name, self))
      .map(([instance, { incarnation }]) => ({ instance, incarnation }));
  }

  #sendToPeer(from: string, to: string, message: KeeperMessage): void {
    if (!this.#hasPath(from, to)) {
      return;
    }
    void this.clock.sleep(DATAGRAM_DELAY_MS).then(() => {
      if (this.#hasPath(from, to)) {
        this.#instances.get(to)?.service.applyMessage(message);
      }
    });
  }

  /** Lets an instance's view pass all records, as tables from peers can. */
  advanceView(instance: string): void {
    const { view } = this.#instances.get(instance)!;
    const { length } = this.store.listRecords(OWNERS_PARTITION);
    view.applyBatch({
      base: view.end,
      end: encodeOffset(this.store.era, length),
      ageMs: 0,
      sinceOutageMs: null,
      records: [],
    });
  }

  isRunning(instance: string): boolean {
    return this.#instances.has(instance);
  }

  /** Whether the target was killed for good. */
  hasEnded(target: string): boolean {
    return this.#endedTargets.has(this.#currentProcesses.get(target) ?? target);
  }

  /** The instance that keeps the keys now, if any. */
  findKeeper(): string | undefined {
    for (const [name, { service }] of this.#instances) {
      if (service.isKeeper(OWNERS_PARTITION.part)) {
        return name;
      }
    }
    return undefined;
  }

  #createCandidate(id: string): OwnerCandidate {
    return {
      id,
      address: `${this.#addresses.get(id) ?? id}:80`,
      bornMs: this.#bornMs.get(id) ?? 0,
      places: 2,
      serviceMs: 50,
    };
  }
}
