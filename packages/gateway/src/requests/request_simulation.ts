/**
 * Simulates requests through several instances to targets that may crash and
 * start again, in virtual time. For tests.
 */
import assert from "node:assert/strict";
import { Ok } from "@lentilspur/outcomes/result";
import {
  createKeyTable,
  serializeTable,
} from "@lentilspur/ownership/key_table";
import {
  FakeTarget,
  type FakeTargetOptions,
  type TargetReply,
} from "@lentilspur/ports/fake_target";
import type {
  OutgoingRequest,
  SendOutcome,
  TargetReport,
} from "@lentilspur/ports/request_sender";
import type { Route, RoutingTable } from "@lentilspur/ports/routing_table";
import { SeededRandom } from "@lentilspur/ports/seeded_random";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { formatTargetIncarnation } from "@lentilspur/routing/target_incarnation";
import { AccountAdmission } from "../entry/account_admission.ts";
import type { CallerRequest, FinalResponse } from "../entry/caller_request.ts";
import { Catalogue } from "../views/catalogue.ts";
import { KeyDirectory } from "../views/key_directory.ts";
import { Duties } from "../members/duties.ts";
import { createMember, createMembers } from "../members/member_fixtures.ts";
import { type Member, Members } from "../members/members.ts";
import type { PeerMessage } from "../peers/peer_message.ts";
import type { PeerOptions } from "../peers/peer_options.ts";
import {
  type QuarantineEvent,
  RequestQuarantine,
} from "./request_quarantine.ts";
import { PathMonitor } from "../paths/path_monitor.ts";
import {
  type PathMode,
  SimulatedPath,
  type Transfer,
} from "./simulated_path.ts";
import type { ProbeOutcome } from "@lentilspur/ports/target_prober";
import type {
  ForwardedRequest,
  ForwardReply,
  ReachAnswer,
} from "../forwarding/forwarded_request.ts";
import type {
  ForwardingClient,
  HopResult,
} from "../forwarding/forwarding_client.ts";
import { ForwardingPeers } from "../forwarding/forwarding_peers.ts";
import { PathChecker } from "../forwarding/path_checker.ts";
import { RequestForwarder } from "../forwarding/request_forwarder.ts";
import { LeavingTargets } from "./leaving_targets.ts";
import { TargetLimits } from "./target_limits.ts";
import { TargetRateLimiter } from "./target_rate_limiter.ts";
import { RequestRouter } from "./request_router.ts";
import { ServiceRegistry } from "./service_registry.ts";
import { StopAdmission } from "./stop_admission.ts";

export interface RequestSimulationOptions {
  readonly instances: readonly string[];
  readonly targets: number;
  /** Whether only the owner of its key may run a request. */
  readonly keyed: boolean;
  readonly route?: Partial<Route>;
  readonly target?: Partial<FakeTargetOptions>;
  /** Work time of each request at a target; as usual if undefined. */
  readonly getTargetWorkMs?: (id: string) => number | undefined;
  /** Whether targets stop work on requests that instances have given up. */
  readonly dropsGivenUp?: boolean;
  /** Data centres of the targets, in turn; a single one by default. */
  readonly dataCentres?: readonly string[];
  /** Requests per second that a cold target accepts. */
  readonly coldPerSecond?: number;
  /** Whether the instances have not read the records of the others yet. */
  readonly membersUnread?: boolean;
  /** Whether the instances tell each other their loads. */
  readonly exchangesLoads?: boolean;
  /** After this long targets close an idle connection. */
  readonly idleTimeoutMs?: number;
  /** Share of the datagrams between instances that are lost. */
  readonly lostDatagrams?: number;
  /** Delay after which instances read what changes in the store. */
  readonly entryDelayMs?: number;
  /**
   * Whether a target comes back under its id, before its entry would be removed;
   * by default, it has a new id and comes back later.
   */
  readonly restartsUnderSameId?: boolean;
}

/** A request that reached a target. */
export interface Arrival {
  readonly instance: string;
  readonly targetId: string;
  readonly requestId: string;
  readonly path: string;
  readonly atMs: number;
}

interface SimulatedInstance {
  readonly catalogue: Catalogue;
  readonly directory: KeyDirectory;
  readonly services: ServiceRegistry;
  readonly self: Member;
  readonly members: Members;
  readonly duties: Duties;
  readonly quarantine: RequestQuarantine;
  readonly limits: TargetLimits;
  readonly leaving: LeavingTargets;
  readonly rateLimiter: TargetRateLimiter;
  readonly paths: PathMonitor;
  readonly router: RequestRouter;
  readonly stopAdmission: StopAdmission;
}

const SERVICE = "files";
const HOST = "files.example";
const DATA_CENTRE = "bole";
const NETWORK_DELAY_MS = 3;
const DATAGRAM_DELAY_MS = 2;
const FORWARD_PORT = 3;
const HOP_DELAY_MS = 1;
const PATH_TICK_MS = 100;
const PROBE_TIMEOUT_MS = 600;
const MAX_DATAGRAM_BYTES = 1_400;
const HEARTBEAT_INTERVAL_MS = 500;
const LOAD_INTERVAL_MS = 40;
const CONNECT_TIMEOUT_MS = 250;
const IDLE_TIMEOUT_MS = 4_000;
/**
 * Times after a crash at which the keys have moved, the entry is gone and the
 * target is back.
 */
const KEYS_MOVED_MS = 1_000;
const ENTRY_GONE_MS = 2_400;
const RESTARTED_MS = 3_300;
/** The same for a target that comes back under its id. */
const SOON_RESTARTED_MS = 1_800;

export class RequestSimulation {
  readonly clock = new VirtualClock();
  readonly arrivals: Arrival[] = [];
  /** Crashes of targets, in order of time. */
  readonly crashes: { readonly targetId: string; readonly atMs: number }[] = [];
  readonly events: QuarantineEvent[] = [];
  /** Instances that no datagram leaves or reaches. */
  readonly disconnected = new Set<string>();
  /** Whether permit requests from one instance to another are delivered. */
  isPermitRequestDelivered = (_from: string, _to: string): boolean => true;
  /** Whether the connection is reset after the target has run the request. */
  isResponseLost = (_request: OutgoingRequest): boolean => false;
  readonly #options: RequestSimulationOptions;
  readonly #random = new SeededRandom(1);
  readonly #instances = new Map<string, SimulatedInstance>();
  readonly #targets = new Map<string, FakeTarget>();
  /** By instance and target. */
  readonly #paths = new Map<string, SimulatedPath>();
  /** Targets whose responses say that they leave. */
  readonly leavingTargets = new Set<string>();
  /** Targets that refuse all requests and ask for a pause this long. */
  readonly backoffsMs = new Map<string, number>();
  /** Limits in requests per second that targets name in their responses. */
  readonly #limits = new Map<string, number>();
  /** When each target last started. */
  readonly #bornMs = new Map<string, number>();
  #startedTargets = 0;
  #sentRequests = 0;
  #token = 0;

  constructor(options: RequestSimulationOptions) {
    this.#options = options;
    for (const name of options.instances) {
      this.#instances.set(
        name,
        this.#createInstance(name, { startedAtMs: -Infinity }),
      );
    }
    for (let count = 0; count < options.targets; count++) {
      const id = this.#addTarget();
      this.#applyEntry(id, this.#createEntry(id));
    }
    this.#assignKeys();
    void this.#runHeartbeats();
    if (options.exchangesLoads === true) {
      void this.#runLoadExchange();
    }
  }

  /** Restarts an instance; it keeps only its catalogue and key directory. */
  restartInstance(name: string): void {
    const { catalogue, directory } = this.#instances.get(name)!;
    this.#instances.set(
      name,
      this.#createInstance(name, {
        startedAtMs: this.clock.readMs(),
        catalogue,
        directory,
      }),
    );
  }

  /** Sends a request as a caller; resolves as virtual time advances. */
  send(
    instance: string,
    changes: Partial<CallerRequest> = {},
  ): Promise<FinalResponse> {
    return this.#instances.get(instance)!.router.handle({
      requestId: `r${++this.#sentRequests}`,
      deadlineMs: 1_500,
      key: 1,
      credential: undefined,
      method: "GET",
      host: HOST,
      path: "/files/1",
      headers: [],
      body: new Uint8Array(0),
      arrivedAtMs: this.clock.readMs(),
      signal: new AbortController().signal,
      ...changes,
    });
  }

  /** Forwards a request to an instance, as if another one had received it. */
  forwardTo(
    instance: string,
    changes: Partial<ForwardedRequest> & { readonly receivedAtMs?: number } =
      {},
  ): Promise<ForwardReply> {
    const { receivedAtMs = this.clock.readMs(), ...fields } = changes;
    const { incarnation, instance: from } = createMember(
      this.#options.instances[0]!,
    );
    return this.#instances.get(instance)!.router.handleForwarded({
      from,
      incarnation,
      requestId: `r${++this.#sentRequests}`,
      method: "GET",
      host: HOST,
      path: "/files/1",
      headers: [],
      key: 1,
      service: SERVICE,
      remainingMs: 1_000,
      elapsedMs: 0,
      sends: 0,
      excludedTargets: [],
      refusingOwner: null,
      isTrial: false,
      body: new Uint8Array(0),
      ...fields,
    }, { receivedAtMs, signal: new AbortController().signal });
  }

  /** Begins the stop of an instance that can wait for no response. */
  stopInstance(name: string): void {
    const { router, stopAdmission } = this.#instances.get(name)!;
    const nowMs = this.clock.readMs();
    stopAdmission.start({ estimatesUntilMs: nowMs, lastResponseMs: nowMs });
    router.refuseLate();
  }

  /**
   * Lets a target announce that it leaves, then end before it answers its
   * requests.
   */
  stopTarget(id: string): void {
    this.#applyEntry(id, this.#createEntry(id, { leaving: true }));
    this.#targets.get(id)!.fail();
  }

  /** Lets a target announce how much longer it is cold. */
  setCold(id: string, coldMs: number): void {
    this.#applyEntry(id, this.#createEntry(id, { coldMs }));
  }

  /** Evacuates or restores a data centre on all instances. */
  setEvacuated(dataCentre: string, isEvacuated: boolean): void {
    const nowMs = this.clock.readMs();
    for (const { catalogue, services } of this.#instances.values()) {
      catalogue.applyEvacuation(dataCentre, isEvacuated, nowMs);
      catalogue.advance(nowMs);
      services.update();
    }
  }

  getDataCentre(targetId: string): string {
    const { dataCentres = [DATA_CENTRE] } = this.#options;
    return dataCentres[(Number(targetId.slice(1)) - 1) % dataCentres.length]!;
  }

  /** Assigns all keys to these targets. */
  setOwners(isOwner: (id: string) => boolean): void {
    this.#assignKeys(isOwner);
  }

  /** Assigns all keys to the targets of these data centres. */
  assignKeysTo(dataCentres: readonly string[]): void {
    this.#assignKeys((id) => dataCentres.includes(this.getDataCentre(id)));
  }

  /** Sets the limit that the target names in its responses, or removes it. */
  setLimit(id: string, perSecond: number | undefined): void {
    if (perSecond === undefined) {
      this.#limits.delete(id);
    } else {
      this.#limits.set(id, perSecond);
    }
  }

  /** Sets the state of the paths from an instance to some or all targets. */
  setPaths(
    instance: string,
    mode: PathMode,
    targets: readonly string[] = this.listTargets(),
  ): void {
    targets.forEach((id) => this.#getPath(instance, id).setMode(mode));
  }

  listTargets(): readonly string[] {
    return [...this.#targets.keys()];
  }

  /** Removes the entry of a target and writes it again. */
  restoreEntry(id: string): void {
    this.#applyEntry(id, "");
    this.#applyEntry(id, this.#createEntry(id));
  }

  /** Lists the instances that give new work to a target. */
  listUnaware(id: string): readonly string[] {
    return [...this.#instances]
      .filter(([, { catalogue }]) => !catalogue.isWithdrawn(id))
      .map(([name]) => name);
  }

  /** Finds the instance that grants the permits of a target. */
  findCoordinator(id: string): string {
    const [instance] = this.#instances.values();
    return instance!.duties.chooseCoordinators(
      formatTargetIncarnation({ id }),
    )[0]!;
  }

  /** Lists what an instance tells others of its requests and of the targets. */
  describeLoad(instance: string): {
    readonly running: Readonly<Record<string, number>>;
    readonly serviceMs: Readonly<Record<string, number>>;
  } {
    const { services } = this.#instances.get(instance)!;
    const { running } = services.countOwnLoad();
    return { running, serviceMs: services.listServiceMs(SERVICE) };
  }

  /** Counts how often targets have run each request, by its id. */
  countRuns(): ReadonlyMap<string, number> {
    const runs = new Map<string, number>();
    for (const target of this.#targets.values()) {
      for (const requestId of target.ran) {
        runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
      }
    }
    return runs;
  }

  /** Counts the requests for a path that reached a target after a time. */
  countArrivals(path: string, afterMs = -Infinity): number {
    return this.arrivals
      .filter((arrival) => arrival.path === path && arrival.atMs > afterMs)
      .length;
  }

  #createInstance(
    name: string,
    {
      startedAtMs,
      catalogue = this.#createCatalogue(name),
      directory = new KeyDirectory(),
    }:
      & { readonly startedAtMs: number }
      & Partial<Pick<SimulatedInstance, "catalogue" | "directory">>,
  ): SimulatedInstance {
    const { clock } = this;
    const components = this.#createPeerComponents(name, catalogue);
    const paths: PathMonitor = new PathMonitor({
      clock,
      random: new SeededRandom(3),
      prober: { probe: (target) => this.#probe(name, target.id) },
      findTarget: (id) => catalogue.getTarget(id),
      listTargets: () => catalogue.listAllTargets(),
      findHealthPath: () => undefined,
      checkElsewhere: (target) => checker.check(target),
      onUnreachable: (target, check) =>
        components.quarantine.handleUnreachable(target, check),
      onRegained: (target) => services.recordReachable(target),
      observe: () => undefined,
    });
    const services: ServiceRegistry = new ServiceRegistry({
      clock,
      catalogue,
      dataCentre: name,
      startedAtMs,
      retryLimits: { ratio: 0.2, reserve: 64, windowMs: 10_000 },
      random: new SeededRandom(1),
      countInstances: () => components.members.instanceCount,
      getMembership: () =>
        components.members
          .getMembership({ hasLostStore: false, nowMs: clock.readMs() }),
      observeLate: () => undefined,
      estimatePermitWaitMs: (target) =>
        components.rateLimiter.estimateWaitMs(target),
      isPathLost: (target) => paths.paths.isLost(target),
      hasIdleConnection: ({ id }) => this.#getPath(name, id).hasIdleConnection,
    });
    void services.run(new AbortController().signal);
    const client: ForwardingClient = {
      forward: (peer, request, signal) =>
        this.#forwardRequest(peer, request, signal),
      fetchReachability: (peer, { targetId }) =>
        this.#fetchReachability(peer, targetId),
    };
    const peers = new ForwardingPeers({
      clock,
      random: new SeededRandom(4),
      dataCentre: components.self.dataCentre,
      members: components.members,
    });
    const sender = { instance: name, incarnation: components.self.incarnation };
    const checker = new PathChecker({ ...sender, client, peers });
    const stopAdmission = new StopAdmission(clock);
    const forwarder = new RequestForwarder({
      ...sender,
      stopAdmission,
      clock,
      client,
      peers,
      paths,
      services,
      findTarget: (id) => catalogue.getTarget(id),
    });
    void this.#runPathMonitor(name, paths);
    const router = new RequestRouter({
      clock,
      random: new SeededRandom(5),
      catalogue,
      directory,
      services,
      accounts: new AccountAdmission(clock),
      forwarder,
      findMember: (other) => components.members.get(other),
      quarantine: components.quarantine,
      limits: components.limits,
      leaving: components.leaving,
      rateLimiter: components.rateLimiter,
      paths,
      observeKey: () => undefined,
      handleOwnerMiss: () => undefined,
      sender: {
        hasIdleConnection: () => false,
        send: (request) => this.#sendToTarget(name, request),
      },
      getWithdrawalGraceMs: () => 1_000,
      stopAdmission,
      isReadAheadUsedUp: () => false,
      observe: () => undefined,
    });
    return {
      ...components,
      catalogue,
      directory,
      services,
      paths,
      router,
      stopAdmission,
    };
  }

  #createCatalogue(name: string): Catalogue {
    const catalogue = new Catalogue({
      decodeConfiguration: () => Ok(this.#createRoutingTable()),
      decodeTarget: (id, text) => Ok({ id, ...JSON.parse(text) }),
      observe: (event) =>
        this.#instances.get(name)?.quarantine.handleCatalogueEvent(event),
    });
    catalogue.applyConfiguration("");
    return catalogue;
  }

  /** Creates the parts of an instance that exchange messages with its peers. */
  #createPeerComponents(
    name: string,
    catalogue: Catalogue,
  ): Pick<
    SimulatedInstance,
    | "self"
    | "members"
    | "duties"
    | "quarantine"
    | "limits"
    | "leaving"
    | "rateLimiter"
  > {
    const { clock } = this;
    const self = createMember(name);
    const { instances, membersUnread = false } = this.#options;
    const all = instances
      .map((instance) => createMember(instance, { forwardPort: FORWARD_PORT }));
    const members = membersUnread
      ? new Members(self)
      : createMembers(self, all, clock.readMs());
    const duties = new Duties({
      clock,
      self,
      members,
      hasLostStore: () => false,
      countLostPaths: () => 0,
    });
    const shared: PeerOptions = {
      clock,
      instance: name,
      dataCentre: self.dataCentre,
      duties,
      send: (to, message) => void this.#forward(to, message),
    };
    const quarantine = new RequestQuarantine({
      ...shared,
      findTarget: (id) => catalogue.getTarget(id),
      observe: (event) => this.events.push(event),
    });
    const findMember = (other: string) => members.get(other);
    const limits = new TargetLimits({
      ...shared,
      findMember,
      observe: () => undefined,
    });
    const leaving = new LeavingTargets({
      ...shared,
      catalogue,
      onWithdrawn: () => this.#instances.get(name)?.services.update(),
    });
    const rateLimiter = new TargetRateLimiter({
      ...shared,
      limits,
      findMember,
      getColdPerSecond: (target) =>
        catalogue.getColdPerSecond(target, clock.readMs()),
      onLatePermit: () => undefined,
    });
    void quarantine.run(new AbortController().signal);
    void limits.run(new AbortController().signal);
    return { self, members, duties, quarantine, limits, leaving, rateLimiter };
  }

  async #forward(to: readonly Member[], message: PeerMessage): Promise<void> {
    const { lostDatagrams = 0 } = this.#options;
    const bytes = Buffer.byteLength(JSON.stringify(message));
    assert.ok(
      bytes <= MAX_DATAGRAM_BYTES,
      `${bytes} bytes do not fit into a datagram`,
    );
    const receivers = to.filter(({ instance }) =>
      this.#random.draw() >= lostDatagrams &&
      !this.disconnected.has(instance) &&
      !this.disconnected.has(message.from) &&
      (message.kind !== "quota-request" ||
        this.isPermitRequestDelivered(message.from, instance))
    );
    await this.clock.sleep(DATAGRAM_DELAY_MS);
    for (const { instance } of receivers) {
      this.#apply(this.#instances.get(instance)!, message);
    }
  }

  #apply(
    { quarantine, limits, leaving, rateLimiter }: SimulatedInstance,
    message: PeerMessage,
  ): void {
    if (message.kind === "suspects") {
      quarantine.apply(message);
    } else if (message.kind === "limits") {
      limits.apply(message);
    } else if (message.kind === "leaving") {
      leaving.apply(message);
    } else if (message.kind === "quota-request") {
      rateLimiter.handleRequest(message);
    } else if (message.kind === "quota") {
      rateLimiter.handleResponse(message);
    }
  }

  async #runLoadExchange(): Promise<void> {
    for (;;) {
      await this.clock.sleep(LOAD_INTERVAL_MS);
      for (const [name, { services: reporting }] of this.#instances) {
        const counts = reporting.countOwnLoad();
        for (const [other, { services }] of this.#instances) {
          if (other !== name) {
            services.applyPeerCounts(name, counts);
          }
        }
      }
    }
  }

  async #runHeartbeats(): Promise<void> {
    for (;;) {
      for (const { members } of this.#instances.values()) {
        for (const other of this.#instances.keys()) {
          if (!this.disconnected.has(other)) {
            members.recordContact(other, this.clock.readMs());
          }
        }
      }
      await this.clock.sleep(HEARTBEAT_INTERVAL_MS);
    }
  }

  async #runPathMonitor(name: string, paths: PathMonitor): Promise<void> {
    for (;;) {
      paths.advance();
      await this.clock.sleep(PATH_TICK_MS);
      const { isIsolated, provedLossCount: lostPaths } = paths.paths;
      for (const { members } of this.#instances.values()) {
        members.recordStatus(
          name,
          { hasLostStore: false, isIsolated, lostPaths },
          this.clock.readMs(),
        );
      }
    }
  }

  async #probe(instance: string, targetId: string): Promise<ProbeOutcome> {
    const path = this.#getPath(instance, targetId);
    const target = this.#targets.get(targetId);
    if (target === undefined || target.hasCrashed || !await path.openNew()) {
      return { kind: "failed", failure: "no-connection" };
    }
    const ending = new AbortController();
    void this.clock.sleep(PROBE_TIMEOUT_MS, ending.signal)
      .then(() => ending.abort());
    const passed = await path.transfer(ending.signal);
    ending.abort();
    return passed === "passed"
      ? { kind: "answered" }
      : { kind: "failed", failure: passed === "reset" ? "reset" : "silent" };
  }

  async #fetchReachability(
    peer: Member,
    targetId: string,
  ): Promise<ReachAnswer> {
    await this.clock.sleep(2 * HOP_DELAY_MS);
    const instance = this.#instances.get(peer.instance);
    return instance === undefined || this.disconnected.has(peer.instance)
      ? "unknown"
      : await instance.paths.answerReach(targetId);
  }

  /** Forwards a request to a peer, which may be disconnected or ended. */
  async #forwardRequest(
    peer: Member,
    request: ForwardedRequest,
    signal: AbortSignal,
  ): Promise<HopResult> {
    await this.clock.sleep(HOP_DELAY_MS);
    const instance = this.#instances.get(peer.instance);
    if (instance === undefined || this.disconnected.has(peer.instance)) {
      return {
        kind: "unreached",
        proof: "no-connection",
        message: "No connection",
      };
    }
    const receivedAtMs = this.clock.readMs();
    const ending = new AbortController();
    const abort = () => ending.abort();
    signal.addEventListener("abort", abort, { once: true });
    void this.clock.sleep(request.remainingMs, ending.signal).then(abort);
    const reply = await Promise.race([
      instance.router.handleForwarded(request, {
        receivedAtMs,
        signal: ending.signal,
      }),
      waitForAbort(ending.signal),
    ]);
    await this.clock.sleep(HOP_DELAY_MS);
    const isLost = this.#instances.get(peer.instance) !== instance;
    if (reply === undefined || signal.aborted || isLost) {
      const cause = signal.aborted ? "cancelled" : isLost ? "reset" : "silent";
      return { kind: "lost", cause, message: cause };
    }
    ending.abort();
    return reply;
  }

  async #sendToTarget(
    instance: string,
    request: OutgoingRequest,
  ): Promise<SendOutcome> {
    const target = this.#targets.get(request.targetId);
    const path = this.#getPath(instance, request.targetId);
    if (target === undefined || target.hasCrashed) {
      await this.clock.sleep(CONNECT_TIMEOUT_MS);
    }
    if (target === undefined || target.hasCrashed || !await path.open()) {
      return {
        kind: "not-run",
        cause: "unreachable",
        proof: "no-connection",
        message: "No connection",
      };
    }
    const sending = new AbortController();
    const end = () => sending.abort();
    request.signal.addEventListener("abort", end, { once: true });
    void this.clock.sleep(request.timeoutMs, sending.signal).then(end);
    const outcome = await this.#sendOnConnection(instance, request, {
      target,
      path,
      sending: sending.signal,
    });
    path.close({ isKept: outcome.kind !== "unknown" });
    request.signal.removeEventListener("abort", end);
    end();
    return outcome;
  }

  /** Sends a request on an open connection and waits for its response. */
  async #sendOnConnection(
    instance: string,
    request: OutgoingRequest,
    { target, path, sending }: {
      readonly target: FakeTarget;
      readonly path: SimulatedPath;
      /** Aborts when the instance gives up. */
      readonly sending: AbortSignal;
    },
  ): Promise<SendOutcome> {
    const { targetId, path: requestPath, requestId, key = 0 } = request;
    const sent = await path.transfer(sending);
    if (sent !== "passed") {
      return createUnknownOutcome(request, sent);
    }
    this.arrivals.push({
      instance,
      targetId,
      requestId,
      path: requestPath,
      atMs: this.clock.readMs(),
    });
    const reply = await Promise.race([
      target.run({
        requestId,
        key,
        path: requestPath,
        body: "",
        ...(this.#options.dropsGivenUp === true ? { signal: sending } : {}),
      }),
      waitForAbort(sending).then(() => "aborted" as const),
      path.waitForReset(sending).then(() => "reset" as const),
    ]);
    if (typeof reply === "string") {
      return createUnknownOutcome(request, sending.aborted ? "aborted" : reply);
    }
    if (reply.kind === "ran" && this.isResponseLost(request)) {
      return createUnknownOutcome(request, "reset");
    }
    const received = await path.transfer(sending);
    if (received !== "passed") {
      return createUnknownOutcome(request, received);
    }
    const outcome = toOutcome(reply);
    return outcome.kind === "unknown"
      ? outcome
      : { ...outcome, ...this.#createReport(targetId, reply) };
  }

  #getPath(instance: string, targetId: string): SimulatedPath {
    const name = `${instance} ${targetId}`;
    let path = this.#paths.get(name);
    if (path === undefined) {
      path = new SimulatedPath({
        clock: this.clock,
        delayMs: NETWORK_DELAY_MS,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        idleTimeoutMs: this.#options.idleTimeoutMs ?? IDLE_TIMEOUT_MS,
      });
      this.#paths.set(name, path);
    }
    return path;
  }

  #createReport(targetId: string, reply: TargetReply): TargetReport {
    const limitPerSecond = this.#limits.get(targetId);
    const backoffMs = reply.kind === "full"
      ? this.backoffsMs.get(targetId)
      : undefined;
    return {
      ...(backoffMs === undefined ? {} : { backoffMs }),
      ...(limitPerSecond === undefined ? {} : { limitPerSecond }),
      ...(this.leavingTargets.has(targetId) ? { isLeaving: true } : {}),
    };
  }

  #startTarget(id: string): void {
    const target = new FakeTarget({
      clock: this.clock,
      id,
      service: SERVICE,
      keyed: false,
      workMs: 60,
      getWorkMs: () => this.#options.getTargetWorkMs?.(id),
      isRefused: () => this.backoffsMs.has(id),
      ...this.#options.target,
      observeCrash: () => void this.#restartTarget(id),
    });
    this.#targets.set(id, target);
    this.#bornMs.set(id, this.clock.readMs());
  }

  async #restartTarget(id: string): Promise<void> {
    const { restartsUnderSameId = false, entryDelayMs = 0 } = this.#options;
    this.crashes.push({ targetId: id, atMs: this.clock.readMs() });
    await this.clock.sleep(KEYS_MOVED_MS);
    this.#targets.delete(id);
    this.#assignKeys();
    if (restartsUnderSameId) {
      await this.clock.sleep(SOON_RESTARTED_MS - KEYS_MOVED_MS);
      this.#startTarget(id);
      await this.clock.sleep(entryDelayMs);
      this.#applyEntry(id, this.#createEntry(id));
      return;
    }
    await this.clock.sleep(ENTRY_GONE_MS - KEYS_MOVED_MS);
    void this.clock.sleep(entryDelayMs).then(() => this.#applyEntry(id, ""));
    await this.clock.sleep(RESTARTED_MS - ENTRY_GONE_MS);
    const newId = this.#addTarget();
    await this.clock.sleep(entryDelayMs);
    this.#applyEntry(newId, this.#createEntry(newId));
  }

  /** Starts a target with a new id, and returns the id. */
  #addTarget(): string {
    const id = `t${++this.#startedTargets}`;
    this.#startTarget(id);
    return id;
  }

  #createEntry(id: string, { leaving = false, coldMs = 0 } = {}): string {
    return JSON.stringify({
      service: SERVICE,
      address: `${id}:80`,
      dataCentre: this.getDataCentre(id),
      places: 2,
      bornMs: this.#bornMs.get(id),
      leaving,
      coldMs,
    });
  }

  #applyEntry(id: string, text: string): void {
    const nowMs = this.clock.readMs();
    for (const { catalogue, services } of this.#instances.values()) {
      catalogue.applyTarget(id, text, { nowMs, graceMs: 0 });
      catalogue.advance(nowMs);
      services.update();
    }
  }

  #assignKeys(isOwner: (id: string) => boolean = () => true): void {
    const owners = [...this.#targets.keys()].filter(isOwner)
      .map((id) => ({ id, address: `${id}:80` }));
    const offset = ++this.#token;
    const text = serializeTable(createKeyTable(owners, offset));
    const nowMs = this.clock.readMs();
    for (const { directory } of this.#instances.values()) {
      directory.applyTable(SERVICE, text, { offset, nowMs });
    }
  }

  #createRoutingTable(): RoutingTable {
    const { keyed, route, coldPerSecond } = this.#options;
    return {
      version: 1,
      routes: [{
        name: "r",
        match: { kind: "prefix", host: HOST, pathPrefix: "/files/" },
        idempotent: true,
        timeoutMs: 1_500,
        goalMs: 400,
        maxAttempts: 2,
        priority: 0,
        parts: [{ service: SERVICE, weight: 1 }],
        ...route,
      }],
      services: new Map([[SERVICE, {
        name: SERVICE,
        keyed,
        maxConnections: 130,
        ...(coldPerSecond === undefined ? {} : { coldPerSecond }),
      }]]),
      limits: { maxBodyBytes: 1_000, headTimeoutMs: 1, idleTimeoutMs: 1 },
      access: { kind: "open" },
    };
  }
}

function createUnknownOutcome(
  request: OutgoingRequest,
  transfer: Exclude<Transfer, "passed">,
): SendOutcome {
  const cause = transfer === "reset"
    ? "reset"
    : request.signal.aborted
    ? "cancelled"
    : "silent";
  return { kind: "unknown", cause, message: cause };
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) =>
    signal.addEventListener("abort", () => resolve(), { once: true })
  );
}

function toOutcome(reply: TargetReply): SendOutcome {
  switch (reply.kind) {
    case "ran":
      return {
        kind: "answered",
        status: 200,
        headers: [],
        body: new Uint8Array(0),
        isSelfDelimited: true,
      };
    case "crashed":
      return { kind: "unknown", cause: "reset", message: "reset" };
    case "full":
      return {
        kind: "not-run",
        cause: "full",
        proof: "refusal-with-id",
        message: "full",
      };
    case "not-owner":
      return {
        kind: "not-run",
        cause: "not-owner",
        proof: "refusal-with-id",
        message: "not owner",
      };
  }
}
