/**
 * One run of the cluster fuzz: a small cluster of real instances on fakes, and
 * everything that a drawn command may do to it.
 */
import { getRequestId } from "../cluster/cluster_judge.ts";
import type { FakeTarget } from "@lentilspur/ports/fake_target";
import { serializeEnvelope } from "@lentilspur/state/entry_schema";
import {
  type ClusterInstance,
  type ClusterOptions,
  FakeCluster,
  STREAM,
} from "../cluster/fake_cluster.ts";

/** One in each shard, so that all four targets have work. */
export const KEYS = ["room-1", "room-2", "room-3", "room-5"] as const;

/** Short, about a pause, and longer than a suspicion: work that faults meet. */
const RUN_MS: Readonly<Record<string, number>> = {
  "room-1": 5,
  "room-2": 250,
  "room-3": 1_200,
  "room-5": 600,
};
const INSTANCES = 4;
/** Two that check their grants, two that do not. */
const TARGETS: readonly (readonly [string, boolean])[] = [
  ["t1", true],
  ["t2", false],
  ["t3", true],
  ["t4", false],
];
/** Until the first instances have joined and every shard has its owner. */
const STARTING_MS = 4_000;

/**
 * A time in which a target was said to be leaving, and the list, the log and
 * every instance were well: only then can the system know and act in time.
 */
export interface LeavingNotice {
  readonly target: string;
  readonly atMs: number;
  untilMs: number;
}

export class ClusterTrial {
  readonly cluster: FakeCluster;
  readonly leaving: LeavingNotice[] = [];
  /** Instances whose process was lost. */
  readonly crashed = new Set<string>();
  readonly stopped = new Set<string>();
  readonly #frozen = new Set<FakeTarget>();
  #isDisturbed = false;

  constructor(options: ClusterOptions = {}) {
    this.cluster = new FakeCluster({
      getRunMs: ({ key }) => RUN_MS[key] ?? 5,
      ...options,
      template: { shardCount: 4, maxHotKeys: 2, ...options.template },
    });
  }

  async start(): Promise<void> {
    this.cluster.publish();
    TARGETS.forEach(([id, checks]) => this.cluster.addTarget(id, checks));
    for (let index = 0; index < INSTANCES; index++) {
      this.cluster.addInstance();
    }
    await this.cluster.clock.advance(STARTING_MS);
  }

  /** Living instances, paused ones included, in the order of their start. */
  listInstances(): readonly ClusterInstance[] {
    return [...this.cluster.instances.values()]
      .filter(({ id }) => !this.stopped.has(id));
  }

  getInstance(index: number): ClusterInstance | undefined {
    const living = this.listInstances();
    return living[index % Math.max(1, living.length)];
  }

  getTarget(index: number): FakeTarget {
    const targets = this.cluster.targets.list();
    return targets[index % targets.length]!;
  }

  send(via: number, options: {
    readonly key: string;
    readonly idempotent: boolean;
    readonly isMintedBefore: boolean;
  }): void {
    const member = this.getInstance(via);
    if (member === undefined) {
      return;
    }
    const requestId = options.isMintedBefore
      ? member.instance.gateway.intake.mintRequestId()
      : undefined;
    this.cluster.send(member.id, options.key, {
      idempotent: options.idempotent,
      ...(requestId === undefined ? {} : { requestId }),
    });
  }

  /** The caller of an earlier request sends it again, through any instance. */
  sendAgain(via: number, back: number): void {
    const member = this.getInstance(via);
    const earlier = this.cluster.sent.at(-1 - back);
    const requestId = earlier === undefined ? undefined : getRequestId(earlier);
    if (
      member !== undefined && earlier !== undefined && requestId !== undefined
    ) {
      this.cluster.send(member.id, earlier.key, {
        idempotent: earlier.idempotent,
        requestId,
      });
    }
  }

  injectCrash(index: number): void {
    const member = this.getInstance(index);
    if (member !== undefined) {
      this.crashed.add(member.id);
      this.cluster.stopInstance(member.id);
    }
  }

  /** A planned stop; its process ends once it is done. */
  stop(index: number): void {
    const member = this.getInstance(index);
    if (member !== undefined) {
      this.stopped.add(member.id);
      void member.instance.stop();
    }
  }

  setLeaving(index: number): void {
    const { id } = this.getTarget(index);
    if (!this.leaving.some(({ target }) => target === id)) {
      const atMs = this.cluster.clock.readMs();
      const untilMs = this.#isDisturbed ? atMs : Infinity;
      this.leaving.push({ target: id, atMs, untilMs });
      this.cluster.list.setState(id, "leaving");
    }
  }

  /** A failure begins or ends: what is leaving is not counted from here on. */
  expireLeaving(): void {
    this.#isDisturbed = true;
    const nowMs = this.cluster.clock.readMs();
    for (const notice of this.leaving) {
      notice.untilMs = Math.min(notice.untilMs, nowMs);
    }
  }

  setFrozen(index: number, isFrozen: boolean): void {
    const target = this.getTarget(index);
    if (isFrozen) {
      target.freeze();
      this.#frozen.add(target);
    } else {
      target.resume();
      this.#frozen.delete(target);
    }
  }

  /** Two operators publish against the same version at once. */
  publishTwice(): void {
    const version = Math.max(
      0,
      ...this.listInstances().map(({ instance }) =>
        instance.view.configurationVersion
      ),
    );
    for (const operator of ["neema", "juma"]) {
      this.cluster.log.appendNow(
        STREAM,
        serializeEnvelope({
          id: `operator:${operator}/${
            this.cluster.log.listRecords(STREAM).length
          }`,
          author: `operator:${operator}`,
          entries: [{
            kind: "configuration-published",
            expectedVersion: version,
            operator,
            changes: [],
          }],
        }),
      );
    }
  }

  /**
   * Ends every fault that is still there, puts a new instance in the place of
   * each that ended or was lost, and lets the system settle.
   */
  async restore(settlingMs: number): Promise<void> {
    const { cluster } = this;
    await this.#clearFaults(settlingMs);
    const ended = this.listInstances()
      .filter(({ instance }) => instance.hasEnded()).length;
    const missing = ended + this.crashed.size;
    for (let index = 0; index < missing; index++) {
      cluster.addInstance();
    }
    if (missing > 0) {
      await cluster.clock.advance(settlingMs);
    }
  }

  async #clearFaults(settlingMs: number): Promise<void> {
    const { cluster } = this;
    cluster.log.setDown(false);
    cluster.list.setLag(0);
    cluster.list.setDown(false);
    this.#frozen.forEach((target) => target.resume());
    for (const target of cluster.targets.list()) {
      target.setShedding(false);
      target.setReport({});
      if (!target.isListening) {
        target.start();
      }
    }
    for (const member of cluster.instances.values()) {
      member.gate.start();
      member.logLink.setFaults({
        isCut: false,
        latencyMs: 1,
        lostAnswers: 0,
        lostAppends: 0,
        lateAppends: 0,
      });
      cluster.setIsolated(member.id, false);
      cluster.targets.list().forEach(({ id }) =>
        member.targetLink.setFaults(id, {
          way: "open",
          latencyMs: 1,
          lostAnswers: 0,
        })
      );
    }
    await cluster.clock.advance(settlingMs);
  }
}
