/**
 * Simulates instances that keep keys, in virtual time: a store, targets, and
 * instances that are killed, cut off and restarted. For tests.
 */
import { FakeKeyHolders } from "@lentilspur/ports/fake_key_holders";
import { FakeStore, type RestoreOptions } from "@lentilspur/ports/fake_store";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { DEFAULT_KEEPER_TIMING } from "@lentilspur/ownership/keeper_timing";
import type { OwnerCandidate } from "@lentilspur/ownership/owner_load";
import type { KeeperClaim } from "@lentilspur/ownership/keeper_records";
import type { KeeperMessage } from "./keeper_exchange.ts";
import { KeeperService, type KeeperServiceEvent } from "./keeper_service.ts";
import { PartitionView } from "../views/partition_view.ts";

export const OWNERS_PARTITION = { topic: "owners", part: 0 };
const SERVICE = "files";
/** Targets write about once a second, and reads come a little later. */
const ENTRY_LAG_MS = 1_200;
const DATAGRAM_DELAY_MS = 1;
const READ_DELAY_MS = 4;

interface RunningInstance {
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
  /** Current incarnation of each instance, as in its member record. */
  readonly #incarnations = new Map<string, string>();
  readonly #unreachable = new Set<string>();
  readonly #endedTargets = new Set<string>();
  /** Instances whose datagrams are lost in both directions. */
  readonly #disconnected = new Set<string>();
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
    // An instance learns of itself and of later restarts of others by a read.
    const members = new Map(this.#incarnations);
    members.delete(instance);
    const service = new KeeperService({
      clock: this.clock,
      store,
      orders: this.holders.createClient((target) =>
        !stop.signal.aborted && !this.#unreachable.has(`${instance}>${target}`)
      ),
      timing: { ...DEFAULT_KEEPER_TIMING, distributeAfterMs: 0 },
      claim: { instance, incarnation },
      topic: OWNERS_PARTITION.topic,
      minMemberTtlMs: 1_000,
      listServiceSnapshots: () => [{
        service: SERVICE,
        candidates: this.#candidates.map((id) => this.#createCandidate(id)),
        rates: [],
      }],
      getView: () => view,
      getTrustedSinceMs: () => -Infinity,
      hasEnded: (holder) => this.#endedTargets.has(holder.id),
      hasInstanceEnded: (claim) => {
        const known = members.get(claim.instance);
        return known !== undefined && known !== claim.incarnation;
      },
      scheduleMembersRead: () => void this.#readMembers(members),
      isAlive: (name) => this.#hasPath(name, instance),
      listGlobalHeartbeatSenders: () => this.#listAlive(instance),
      listInstances: () =>
        [...this.#incarnations.keys()].filter((name) => name !== instance),
      isCandidate: () => true,
      sendToPeer: (name, message) => this.#sendToPeer(instance, name, message),
      observe: (event) => this.events.push(event),
    });
    this.#incarnations.set(instance, incarnation);
    this.#instances.set(instance, { incarnation, stop, service });
    void view.run(stop.signal);
    void service.run(stop.signal);
  }

  async #readMembers(members: Map<string, string>): Promise<void> {
    await this.clock.sleep(READ_DELAY_MS);
    for (const [instance, incarnation] of this.#incarnations) {
      members.set(instance, incarnation);
    }
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
    this.#candidates = candidates.filter((id) => !this.#endedTargets.has(id));
    for (const { service } of this.#instances.values()) {
      service.schedulePlans();
    }
  }

  /**
   * Ends the target's process. All instances know at once that it has ended, as
   * if another target had been seen at its address.
   */
  killTarget(id: string): void {
    this.holders.kill(id);
    this.#endedTargets.add(id);
    this.setCandidates(this.#candidates);
  }

  /**
   * Restarts the target's process under the same id. The target's entry shows
   * this only after `ENTRY_LAG_MS`.
   */
  restartTarget(id: string): void {
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

  /** Lets the store come back from an older copy. */
  restoreStore(options: Omit<RestoreOptions, "rewritten">): void {
    this.store.restore(options);
  }

  #hasPath(from: string, to: string): boolean {
    return this.#instances.has(from) && this.#instances.has(to) &&
      !this.#disconnected.has(from) && !this.#disconnected.has(to);
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
      address: `${id}:80`,
      bornMs: this.#bornMs.get(id) ?? 0,
      places: 2,
      serviceMs: 50,
    };
  }
}
