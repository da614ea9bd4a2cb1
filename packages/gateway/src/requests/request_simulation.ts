/**
 * The paths of requests through several instances to targets that may crash and
 * start again, in virtual time. For tests.
 */
import assert from "node:assert/strict";
import { Ok } from "@lentilspur/outcomes/result";
import { createTable, serializeTable } from "@lentilspur/ownership/key_table";
import {
  FakeTarget,
  type FakeTargetOptions,
  type TargetReply,
} from "@lentilspur/ports/fake_target";
import type {
  OutgoingRequest,
  SendOutcome,
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
import type { Member, Members } from "../members/members.ts";
import type { PeerMessage } from "../peers/peer_message.ts";
import type { PeerOptions } from "../peers/peer_options.ts";
import {
  type QuarantineEvent,
  RequestQuarantine,
} from "./request_quarantine.ts";
import { TargetLimits } from "./target_limits.ts";
import { TargetRateLimiter } from "./target_rate_limiter.ts";
import { RequestRouter } from "./request_router.ts";
import { ServiceRegistry } from "./service_registry.ts";

export interface RequestSimulationOptions {
  readonly instances: readonly string[];
  readonly targets: number;
  /** Whether each request may go to the owner of its key only. */
  readonly keyed: boolean;
  readonly route?: Partial<Route>;
  readonly target?: Partial<FakeTargetOptions>;
  /** Where targets stand, in turn; all in one if left out. */
  readonly dataCentres?: readonly string[];
  /** Requests a second that a cold target takes. */
  readonly coldPerSecond?: number;
  /** Share of the datagrams between instances that do not arrive. */
  readonly lostDatagrams?: number;
}

/** A request as it reached a target. */
export interface Arrival {
  readonly instance: string;
  readonly targetId: string;
  readonly path: string;
  readonly atMs: number;
}

interface SimulatedInstance {
  readonly catalogue: Catalogue;
  readonly directory: KeyDirectory;
  readonly services: ServiceRegistry;
  readonly members: Members;
  readonly duties: Duties;
  readonly quarantine: RequestQuarantine;
  readonly limits: TargetLimits;
  readonly turns: TargetRateLimiter;
  readonly router: RequestRouter;
}

const SERVICE = "files";
const HOST = "files.example";
const DATA_CENTRE = "bole";
const WAY_MS = 3;
const DATAGRAM_MS = 2;
const MAX_DATAGRAM_BYTES = 1_400;
const ALIVE_EVERY_MS = 500;
const CONNECT_TIMEOUT_MS = 250;
/** From a crash: keys have other owners, the entry is gone, it is back. */
const KEYS_MOVED_MS = 1_000;
const ENTRY_GONE_MS = 2_400;
const RESTARTED_MS = 3_300;

export class RequestSimulation {
  readonly clock = new VirtualClock();
  readonly arrivals: Arrival[] = [];
  /** When each target that crashed did so. */
  readonly crashes: { readonly targetId: string; readonly atMs: number }[] = [];
  readonly events: QuarantineEvent[] = [];
  /** Instances that no datagram leaves or reaches. */
  readonly disconnected = new Set<string>();
  /** Whether questions of an instance reach another that is heard. */
  isReachable = (_from: string, _to: string): boolean => true;
  readonly #options: RequestSimulationOptions;
  readonly #random = new SeededRandom(1);
  readonly #instances = new Map<string, SimulatedInstance>();
  readonly #targets = new Map<string, FakeTarget>();
  /** Requests a second that targets name in their answers. */
  readonly #limits = new Map<string, number>();
  #starts = 0;
  #sent = 0;
  #token = 0;

  constructor(options: RequestSimulationOptions) {
    this.#options = options;
    for (const name of options.instances) {
      this.#instances.set(name, this.#createInstance(name));
    }
    for (let count = 0; count < options.targets; count++) {
      this.#startTarget();
    }
    this.#assignKeys();
    void this.#runHeartbeats();
  }

  /** Starts an instance that knows nothing of what was before. */
  restartInstance(name: string): void {
    const { catalogue, directory } = this.#instances.get(name)!;
    this.#instances.set(
      name,
      this.#createInstance(name, { catalogue, directory }),
    );
  }

  /** Sends as a caller would; resolves with the answer as time goes by. */
  send(
    instance: string,
    changes: Partial<CallerRequest> = {},
  ): Promise<FinalResponse> {
    return this.#instances.get(instance)!.router.handle({
      requestId: `r${++this.#sent}`,
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

  /** The target says that it leaves, and ends with what it runs. */
  stopTarget(id: string): void {
    this.#applyEntry(id, this.#createEntry(id, { leaving: true }));
    this.#targets.get(id)!.fail();
  }

  /** The target says how much longer it is cold. */
  setCold(id: string, coldMs: number): void {
    this.#applyEntry(id, this.#createEntry(id, { coldMs }));
  }

  /** Operators evacuate a data centre, or restore it. */
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

  /** The keys of all targets are dealt out to those of these data centres. */
  assignKeysTo(dataCentres: readonly string[]): void {
    this.#assignKeys((id) => dataCentres.includes(this.getDataCentre(id)));
  }

  /** From now on the target names this limit in its answers, or none. */
  setLimit(id: string, perSecond: number | undefined): void {
    if (perSecond === undefined) {
      this.#limits.delete(id);
    } else {
      this.#limits.set(id, perSecond);
    }
  }

  /** Which instance gives out the turns of a target. */
  findCoordinator(id: string): string {
    const [path] = this.#instances.values();
    return path!.duties.chooseCoordinators(formatTargetIncarnation({ id }))[0]!;
  }

  /** Sends of one path that reached a target later than a time. */
  countArrivals(path: string, afterMs = -Infinity): number {
    return this.arrivals
      .filter((one) => one.path === path && one.atMs > afterMs).length;
  }

  #createInstance(
    name: string,
    { catalogue, directory }: Pick<
      SimulatedInstance,
      "catalogue" | "directory"
    > = {
      catalogue: this.#createCatalogue(name),
      directory: new KeyDirectory(),
    },
  ): SimulatedInstance {
    const { clock } = this;
    const shared = this.#createShared(name, catalogue);
    const services = new ServiceRegistry({
      clock,
      catalogue,
      dataCentre: name,
      retryLimits: { ratio: 0.2, reserve: 64, windowMs: 10_000 },
      random: new SeededRandom(1),
      countInstances: () => this.#options.instances.length,
      estimatePermitWaitMs: (target) => shared.turns.estimateWaitMs(target),
    });
    void services.run(new AbortController().signal);
    const router = new RequestRouter({
      clock,
      catalogue,
      directory,
      services,
      accounts: new AccountAdmission(clock),
      quarantine: shared.quarantine,
      limits: shared.limits,
      rateLimiter: shared.turns,
      observeKey: () => undefined,
      refreshOwners: () => undefined,
      sender: { send: (request) => this.#transfer(name, request) },
      getWithdrawalGraceMs: () => 1_000,
      isStopping: () => false,
      observe: () => undefined,
    });
    return { ...shared, catalogue, directory, services, router };
  }

  #createCatalogue(name: string): Catalogue {
    const catalogue = new Catalogue({
      decodeConfiguration: () => Ok(this.#createTable()),
      decodeTarget: (id, text) => Ok({ id, ...JSON.parse(text) }),
      observe: (event) =>
        this.#instances.get(name)?.quarantine.handleCatalogueEvent(event),
    });
    catalogue.applyConfiguration("");
    return catalogue;
  }

  /** What an instance decides together with the others. */
  #createShared(
    name: string,
    catalogue: Catalogue,
  ): Pick<
    SimulatedInstance,
    "members" | "duties" | "quarantine" | "limits" | "turns"
  > {
    const { clock } = this;
    const self = createMember(name);
    const all = this.#options.instances.map((one) => createMember(one));
    const members = createMembers(self, all, clock.readMs());
    const duties = new Duties({
      clock,
      self,
      members,
      hasLostStore: () => false,
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
    const turns = new TargetRateLimiter({
      ...shared,
      limits,
      findMember,
      getColdPerSecond: (target) =>
        catalogue.getColdPerSecond(target, clock.readMs()),
    });
    void quarantine.run(new AbortController().signal);
    void limits.run(new AbortController().signal);
    return { members, duties, quarantine, limits, turns };
  }

  async #forward(to: readonly Member[], message: PeerMessage): Promise<void> {
    const { lostDatagrams = 0 } = this.#options;
    const bytes = Buffer.byteLength(JSON.stringify(message));
    assert.ok(bytes <= MAX_DATAGRAM_BYTES, `${bytes} bytes do not fit`);
    const heard = to.filter(({ instance }) =>
      this.#random.draw() >= lostDatagrams &&
      !this.disconnected.has(instance) &&
      !this.disconnected.has(message.from) &&
      (message.kind !== "quota-request" ||
        this.isReachable(message.from, instance))
    );
    await this.clock.sleep(DATAGRAM_MS);
    for (const { instance } of heard) {
      this.#apply(this.#instances.get(instance)!, message);
    }
  }

  #apply(
    { quarantine, limits, turns }: SimulatedInstance,
    message: PeerMessage,
  ): void {
    if (message.kind === "suspects") {
      quarantine.apply(message);
    } else if (message.kind === "limits") {
      limits.apply(message);
    } else if (message.kind === "quota-request") {
      turns.handleRequest(message);
    } else if (message.kind === "quota") {
      turns.handleResponse(message);
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
      await this.clock.sleep(ALIVE_EVERY_MS);
    }
  }

  async #transfer(
    instance: string,
    request: OutgoingRequest,
  ): Promise<SendOutcome> {
    const { targetId, path, requestId, key = 0 } = request;
    await this.clock.sleep(WAY_MS);
    const target = this.#targets.get(targetId);
    if (target === undefined || target.hasCrashed) {
      await this.clock.sleep(CONNECT_TIMEOUT_MS);
      return {
        kind: "not-run",
        cause: "unreachable",
        message: "No connection",
      };
    }
    this.arrivals
      .push({ instance, targetId, path, atMs: this.clock.readMs() });
    const reply = await target.run({ requestId, key, path, body: "" });
    await this.clock.sleep(WAY_MS);
    const limitPerSecond = this.#limits.get(targetId);
    const outcome = toOutcome(reply);
    return outcome.kind === "unknown" || limitPerSecond === undefined
      ? outcome
      : { ...outcome, limitPerSecond };
  }

  #startTarget(): void {
    const id = `t${++this.#starts}`;
    const target = new FakeTarget({
      clock: this.clock,
      id,
      service: SERVICE,
      keyed: false,
      workMs: 60,
      ...this.#options.target,
      observeCrash: () => void this.#restartTarget(id),
    });
    this.#targets.set(id, target);
    this.#applyEntry(id, this.#createEntry(id));
  }

  async #restartTarget(id: string): Promise<void> {
    this.crashes.push({ targetId: id, atMs: this.clock.readMs() });
    await this.clock.sleep(KEYS_MOVED_MS);
    this.#targets.delete(id);
    this.#assignKeys();
    await this.clock.sleep(ENTRY_GONE_MS - KEYS_MOVED_MS);
    this.#applyEntry(id, "");
    await this.clock.sleep(RESTARTED_MS - ENTRY_GONE_MS);
    this.#startTarget();
  }

  #createEntry(id: string, { leaving = false, coldMs = 0 } = {}): string {
    return JSON.stringify({
      service: SERVICE,
      address: `${id}:80`,
      dataCentre: this.getDataCentre(id),
      places: 2,
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
    const text = serializeTable(createTable(owners, offset));
    const nowMs = this.clock.readMs();
    for (const { directory } of this.#instances.values()) {
      directory.applyTable(SERVICE, text, { offset, nowMs });
    }
  }

  #createTable(): RoutingTable {
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
      return { kind: "not-run", cause: "full", message: "full" };
    case "not-owner":
      return { kind: "not-run", cause: "not-owner", message: "not owner" };
  }
}
