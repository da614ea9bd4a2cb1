/**
 * Assembles one instance of the router. An instance receives callers' requests
 * and sends them to targets itself, and it is the keeper of keys in the
 * partitions that are assigned to it.
 */
import { randomInt, randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import { resolveKeeperTiming } from "@lentilspur/ownership/keeper_timing";
import { SeededRandom } from "@lentilspur/ports/seeded_random";
import type { StoreRecord } from "@lentilspur/ports/store";
import { sleepUntilTick } from "@lentilspur/ports/tick";
import { MemoryAccount } from "@lentilspur/transport/memory_account";
import { ReadAheadBudget } from "@lentilspur/transport/read_ahead_budget";
import { AccountDemands } from "./entry/account_demands.ts";
import { AccountAdmission } from "./entry/account_admission.ts";
import { Catalogue } from "./views/catalogue.ts";
import type { WithdrawalReason } from "./views/catalogue_event.ts";
import { Duties } from "./members/duties.ts";
import { EventReporter } from "./event_reporter.ts";
import { HttpForwardingClient } from "./forwarding/forwarding_client.ts";
import { ForwardingPeers } from "./forwarding/forwarding_peers.ts";
import { ForwardingServer } from "./forwarding/forwarding_server.ts";
import { PathChecker } from "./forwarding/path_checker.ts";
import { RequestForwarder } from "./forwarding/request_forwarder.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type {
  InstanceAdapter,
  InstanceOptions,
  InstancePorts,
} from "./instance_options.ts";
import type { ResolvedGatewaySettings } from "./gateway_settings.ts";
import { InstanceStatus } from "./instance_status.ts";
import { KeeperService } from "./keeper/keeper_service.ts";
import { KeyDirectory } from "./views/key_directory.ts";
import { KeyTraffic } from "./keeper/key_traffic.ts";
import { StructuredLogger } from "./structured_logger.ts";
import { LoadExchange } from "./peers/load_exchange.ts";
import { LeavingTargets } from "./requests/leaving_targets.ts";
import { Members } from "./members/members.ts";
import { MemberPublisher } from "./members/member_publisher.ts";
import { PeerDispatcher } from "./peers/peer_dispatcher.ts";
import { PeerTransport } from "./peers/peer_transport.ts";
import type { PeerMessage, PeerStatus } from "./peers/peer_message.ts";
import type { PeerOptions } from "./peers/peer_options.ts";
import type { StageCounts } from "./requests/open_requests.ts";
import { RequestQuarantine } from "./requests/request_quarantine.ts";
import { RequestRouter } from "./requests/request_router.ts";
import { RequestBodies } from "./entry/request_bodies.ts";
import { RequestServer } from "./entry/request_server.ts";
import { PathMonitor } from "./paths/path_monitor.ts";
import { ServiceRegistry } from "./requests/service_registry.ts";
import { choosePartition } from "./keeper/service_partition.ts";
import { MonitoringServer } from "./entry/monitoring_server.ts";
import {
  type ShutdownTiming,
  waitUntilAnswered,
  waitUntilDrained,
} from "./entry/graceful_shutdown.ts";
import { StopAdmission } from "./requests/stop_admission.ts";
import { StoreViews } from "./views/store_views.ts";
import { SuspensionDetector } from "./keeper/suspension_detector.ts";
import { TableRequests } from "./views/table_requests.ts";
import { TargetLimits } from "./requests/target_limits.ts";
import { TargetRateLimiter } from "./requests/target_rate_limiter.ts";
import { ViewRelay } from "./views/view_relay.ts";

/**
 * Maximum number of loops that listen to the stop signal: a few, and one per
 * partition followed.
 */
const MAX_LOOPS = 200;
/** Seeds are below this: the generator uses 32 bits. */
const MAX_SEED = 2 ** 32;
/** Interval at which missing targets expire and changes are applied. */
const CATALOGUE_TICK_MS = 100;
/**
 * Margin between the last sends to a leaving target and the end of draining.
 */
const LEAVING_MARGIN_MS = 1_100;
/**
 * The same margin where a response says that the target leaves, which this
 * instance reads without delay.
 */
const REPORTED_LEAVING_MARGIN_MS = 200;
/**
 * The same margin for an evacuated data centre; an evacuation spreads to the
 * instances as a configuration does.
 */
const EVACUATION_MARGIN_MS = 3_000;

/** What was not finished at one moment of a stop. */
interface OpenCounts {
  /** Requests that are not answered yet, also those half read. */
  readonly openRequests: number;
  /** Those without a response, by how far they have got. */
  readonly stages: StageCounts;
  /** Those that are not passed on yet because of earlier ones. */
  readonly heldRequests: number;
  /** Requests that other instances have forwarded to this one. */
  readonly forwardedRequests: number;
}

export class Instance {
  readonly #options: InstanceOptions;
  readonly #incarnation = randomUUID().slice(0, 8);
  readonly #stopController = new AbortController();
  readonly #logger: StructuredLogger;
  readonly #metrics: GatewayMetrics;
  readonly #reporter: EventReporter;
  readonly #memory: MemoryAccount;
  readonly #bodies: RequestBodies;
  readonly #readAhead: ReadAheadBudget;
  readonly #adapter: InstanceAdapter;
  readonly #catalogue: Catalogue;
  readonly #directory = new KeyDirectory();
  readonly #members: Members;
  readonly #duties: Duties;
  readonly #services: ServiceRegistry;
  readonly #stopAdmission: StopAdmission;
  readonly #views: StoreViews;
  readonly #quarantine: RequestQuarantine;
  readonly #limits: TargetLimits;
  readonly #leaving: LeavingTargets;
  readonly #rateLimiter: TargetRateLimiter;
  readonly #paths: PathMonitor;
  readonly #forwardingClient: HttpForwardingClient;
  readonly #forwardingPeers: ForwardingPeers;
  readonly #pathChecker: PathChecker;
  readonly #forwardingServer: ForwardingServer;
  readonly #router: RequestRouter;
  readonly #server: RequestServer;
  readonly #keeperService: KeeperService;
  readonly #relay: ViewRelay;
  readonly #tables: TableRequests;
  readonly #accounts: AccountAdmission;
  readonly #demands: AccountDemands;
  readonly #peerTransport: PeerTransport;
  readonly #loads: LoadExchange;
  readonly #dispatcher: PeerDispatcher;
  readonly #statusServer: MonitoringServer;
  readonly #metricsServer: MonitoringServer;
  readonly #keyTraffic: KeyTraffic;
  readonly #status: InstanceStatus;
  /** Undefined until the ports are open. */
  #publisher: MemberPublisher | undefined;
  #drainMs: number;

  constructor(options: InstanceOptions) {
    this.#options = options;
    const { settings, clock, stream } = options;
    const { instance, dataCentre } = settings;
    setMaxListeners(MAX_LOOPS, this.#stopController.signal);
    this.#logger = new StructuredLogger({
      clock,
      instance,
      incarnation: this.#incarnation,
      stream,
    });
    this.#metrics = new GatewayMetrics(() => this.#status.readGauges());
    this.#reporter = new EventReporter(this.#logger, this.#metrics);
    this.#memory = new MemoryAccount(settings.callerMemoryBytes);
    this.#bodies = new RequestBodies({
      memory: this.#memory,
      observeRefusal: () => this.#metrics.refusedBodies.inc(),
    });
    this.#readAhead = new ReadAheadBudget(
      settings.readAheadBytes,
      this.#memory,
    );
    this.#adapter = options.createAdapter({
      readAhead: this.#readAhead,
      observeStoreCall: (call, outcome) =>
        this.#metrics.storeCalls.inc({ call, outcome }),
      observeStoreEra: (change) => this.#reporter.observeStoreEra(change),
    });
    this.#drainMs = settings.drainMs;
    this.#catalogue = this.#createCatalogue();
    this.#members = new Members(settings);
    this.#duties = new Duties({
      clock,
      self: settings,
      members: this.#members,
      hasLostStore: () => this.#views.hasLostStore,
      countLostPaths: () => this.#paths.countLosses(),
    });
    this.#stopAdmission = new StopAdmission(clock);
    this.#services = new ServiceRegistry({
      clock,
      catalogue: this.#catalogue,
      dataCentre,
      startedAtMs: clock.readMs(),
      retryLimits: settings.retryLimits,
      random: new SeededRandom(randomInt(MAX_SEED)),
      countInstances: () => this.#members.instanceCount,
      getMembership: () =>
        this.#members.getMembership({
          hasLostStore: this.#views.hasLostStore,
          nowMs: clock.readMs(),
        }),
      observeLate: (event) => this.#reporter.observeLateRequests(event),
      estimatePermitWaitMs: (target) =>
        this.#rateLimiter.estimateWaitMs(target),
      isPathLost: (target) => this.#paths.paths.isLost(target),
      hasIdleConnection: ({ address }) =>
        this.#adapter.sender.hasIdleConnection(address),
    });
    this.#accounts = new AccountAdmission(clock);
    this.#views = this.#createViews();
    this.#quarantine = this.#createQuarantine();
    this.#limits = this.#createLimits();
    this.#leaving = this.#createLeavingTargets();
    this.#rateLimiter = this.#createRateLimiter();
    this.#paths = this.#createPathMonitor();
    this.#forwardingClient = new HttpForwardingClient(clock);
    this.#forwardingPeers = new ForwardingPeers({
      clock,
      random: new SeededRandom(randomInt(MAX_SEED)),
      dataCentre,
      members: this.#members,
    });
    this.#pathChecker = new PathChecker({
      instance,
      incarnation: this.#incarnation,
      client: this.#forwardingClient,
      peers: this.#forwardingPeers,
    });
    this.#router = this.#createRouter();
    this.#server = this.#createServer();
    this.#forwardingServer = this.#createForwardingServer();
    this.#keeperService = this.#createKeeperService();
    this.#peerTransport = this.#createPeerTransport();
    this.#loads = this.#createLoads();
    this.#relay = this.#createRelay();
    this.#tables = this.#createTables();
    this.#keyTraffic = this.#createKeyTraffic();
    this.#demands = this.#createDemands();
    this.#status = this.#createStatus();
    this.#dispatcher = new PeerDispatcher({
      clock,
      members: this.#members,
      duties: this.#duties,
      views: this.#views,
      loads: this.#loads,
      relay: this.#relay,
      keyTraffic: this.#keyTraffic,
      demands: this.#demands,
      keepers: this.#keeperService,
      quarantine: this.#quarantine,
      limits: this.#limits,
      leaving: this.#leaving,
      rateLimiter: this.#rateLimiter,
      tables: this.#tables,
      reportFault: (message) => this.#reporter.reportFault(message),
    });
    this.#statusServer = new MonitoringServer((path) =>
      this.#status.answer(path)
    );
    this.#metricsServer = new MonitoringServer(async () => ({
      status: 200,
      contentType: "text/plain; version=0.0.4",
      body: await this.#metrics.render(),
    }));
  }

  get logger(): StructuredLogger {
    return this.#logger;
  }

  /**
   * Applies settings that may change while the process runs; addresses may not.
   */
  applySettings(settings: ResolvedGatewaySettings): void {
    this.#services.setRetryLimits(settings.retryLimits);
    this.#drainMs = settings.drainMs;
  }

  /**
   * Opens the listeners and starts following the store. Rejects if it cannot
   * listen.
   */
  async start(): Promise<void> {
    const { settings } = this.#options;
    const { signal } = this.#stopController;
    this.#logger.log("start", "notable", { ...settings });
    const { host, readyPort, metricsPort } = settings;
    const reportFault = (message: string) =>
      this.#reporter.reportFault(message);
    await this.#statusServer.open({ host, port: readyPort, reportFault });
    await this.#server.open();
    await this.#peerTransport.open();
    await this.#forwardingServer.open();
    await this.#metricsServer.open({ host, port: metricsPort, reportFault });
    this.#publisher = this.#createPublisher();
    this.#views.start();
    void this.#peerTransport.run(signal);
    void this.#loads.run(signal);
    void this.#services.run(signal);
    void this.#keeperService.run(signal);
    void this.#runCatalogue(signal);
    void this.#keyTraffic.run(signal);
    void this.#demands.run(signal);
    void this.#quarantine.run(signal);
    void this.#limits.run(signal);
  }

  /**
   * Shuts down gracefully: reports not ready at once, hands over its duties,
   * and serves every open connection until its client has left or the time is
   * nearly over.
   */
  async stop(timing: ShutdownTiming): Promise<void> {
    const { clock } = this.#options;
    // A signal that is handled after a stall may have come at its beginning.
    const startedAtMs = clock.readMs() -
      this.#services.readRecentStallMs();
    this.#stopAdmission.start({
      estimatesUntilMs: startedAtMs + timing.estimatesUntilMs,
      lastResponseMs: startedAtMs + timing.lastResponseMs,
    });
    this.#logger.log("stop", "notable", {
      phase: "begun",
      ...timing,
      ...this.#countOpen(),
    });
    this.#server.drain();
    void this.#keeperService.leave();
    const end = await waitUntilDrained({
      server: this.#server,
      countForwardedRequests: () => this.#forwardingServer.openRequests,
      clock,
      timing,
      startedAtMs,
      refuseLate: () => this.#router.refuseLate(),
      hasKeys: () => this.#keeperService.hasKeptPartitions,
    });
    this.#logger.log("stop", "notable", {
      phase: "ended",
      end,
      tookMs: Math.round(clock.readMs() - startedAtMs),
      ...this.#countOpen(),
    });
    this.#server.refuse();
    this.#router.stopAll();
    await waitUntilAnswered(this.#server, clock);
    await this.#close();
  }

  async #close(): Promise<void> {
    // Runs while the peer socket is still open, to notify other instances.
    this.#keeperService.stop();
    this.#stopController.abort();
    await this.#server.close();
    this.#statusServer.close();
    this.#metricsServer.close();
    this.#peerTransport.close();
    this.#forwardingServer.close();
    this.#forwardingClient.close();
    this.#adapter.close();
    this.#logger.flush();
  }

  /** Counts what a stop has to wait for. */
  #countOpen(): OpenCounts {
    return {
      openRequests: this.#server.openRequests,
      stages: this.#router.countOpenByStage(),
      heldRequests: this.#server.heldRequests,
      forwardedRequests: this.#forwardingServer.openRequests,
    };
  }

  #createCatalogue(): Catalogue {
    const { decodeConfiguration, decodeTarget } = this.#adapter;
    return new Catalogue({
      decodeConfiguration,
      decodeTarget,
      observe: (event) => {
        this.#reporter.observeCatalogue(event);
        this.#quarantine.handleCatalogueEvent(event);
      },
    });
  }

  #createViews(): StoreViews {
    return new StoreViews({
      clock: this.#options.clock,
      store: this.#adapter.store,
      storeLayout: this.#adapter.storeLayout,
      catalogue: this.#catalogue,
      directory: this.#directory,
      members: this.#members,
      duties: this.#duties,
      onConfiguration: () => this.#applyConfiguration(),
      isKeeper: (part) => this.#keeperService.hasPartition(part),
      onMembersRead: (snapshot) => this.#publisher?.handleSnapshot(snapshot),
      onTargetsRead: (batch) =>
        this.#relay.sendTargets(
          batch,
          ({ key, value }) =>
            this.#catalogue.isChange(key, value, this.#options.clock.readMs()),
          ({ key, value }) => this.#catalogue.isReadable(key, value),
        ),
      fetchTable: (part, keeper, end) =>
        void this.#tables.fetch(part, keeper, end),
      onConfigurationRead: (batch) => this.#relay.sendConfiguration(batch),
      observe: (event) => this.#reporter.observeStoreView(event),
      reportFault: (message) => this.#reporter.reportFault(message),
    }, this.#stopController.signal);
  }

  #createPeerOptions(): PeerOptions {
    const { settings, clock } = this.#options;
    return {
      clock,
      instance: settings.instance,
      dataCentre: settings.dataCentre,
      duties: this.#duties,
      send: (members, message) =>
        void this.#peerTransport.send(members, message),
    };
  }

  #createQuarantine(): RequestQuarantine {
    return new RequestQuarantine({
      ...this.#createPeerOptions(),
      findTarget: (id) => this.#catalogue.getTarget(id),
      observe: (event) => this.#reporter.observeQuarantine(event),
    });
  }

  #createLimits(): TargetLimits {
    return new TargetLimits({
      ...this.#createPeerOptions(),
      findMember: (name) => this.#members.get(name),
      observe: (event) => this.#reporter.observeLimit(event),
    });
  }

  #createLeavingTargets(): LeavingTargets {
    return new LeavingTargets({
      ...this.#createPeerOptions(),
      catalogue: this.#catalogue,
      onWithdrawn: () => {
        this.#services.update();
        this.#keeperService.schedulePlans();
      },
    });
  }

  #createRateLimiter(): TargetRateLimiter {
    const { clock } = this.#options;
    return new TargetRateLimiter({
      ...this.#createPeerOptions(),
      limits: this.#limits,
      findMember: (name) => this.#members.get(name),
      getColdPerSecond: (target) =>
        this.#catalogue.getColdPerSecond(target, clock.readMs()),
      onLatePermit: () => this.#metrics.latePermits.inc(),
    });
  }

  #createPathMonitor(): PathMonitor {
    return new PathMonitor({
      clock: this.#options.clock,
      random: new SeededRandom(randomInt(MAX_SEED)),
      prober: this.#adapter.prober,
      findTarget: (id) => this.#catalogue.getTarget(id),
      listTargets: () => this.#catalogue.listAllTargets(),
      findHealthPath: (service) =>
        this.#catalogue.routingTable?.services.get(service)?.healthPath,
      checkElsewhere: (target) => this.#pathChecker.check(target),
      onUnreachable: (target, check) =>
        this.#quarantine.handleUnreachable(target, check),
      onRegained: (target) => this.#services.recordReachable(target),
      observe: (event) => this.#reporter.observePath(event),
    });
  }

  #createRouter(): RequestRouter {
    return new RequestRouter({
      clock: this.#options.clock,
      random: new SeededRandom(randomInt(MAX_SEED)),
      catalogue: this.#catalogue,
      directory: this.#directory,
      services: this.#services,
      accounts: this.#accounts,
      forwarder: this.#createForwarder(),
      findMember: (name) => this.#members.get(name),
      quarantine: this.#quarantine,
      limits: this.#limits,
      leaving: this.#leaving,
      rateLimiter: this.#rateLimiter,
      paths: this.#paths,
      observeKey: (route, key) => this.#keyTraffic.observe(route, key),
      handleOwnerMiss: (service) =>
        this.#views.handleOwnerMiss(this.#choosePartition(service)),
      sender: this.#adapter.sender,
      stopAdmission: this.#stopAdmission,
      getWithdrawalGraceMs: (reason) => this.#getWithdrawalGraceMs(reason),
      observe: (event) => this.#reporter.observeRequest(event),
      isReadAheadUsedUp: () => this.#readAhead.isUsedUp,
    });
  }

  #createForwarder(): RequestForwarder {
    const { clock, settings } = this.#options;
    return new RequestForwarder({
      clock,
      instance: settings.instance,
      incarnation: this.#incarnation,
      client: this.#forwardingClient,
      peers: this.#forwardingPeers,
      paths: this.#paths,
      services: this.#services,
      findTarget: (id) => this.#catalogue.getTarget(id),
      stopAdmission: this.#stopAdmission,
    });
  }

  #createForwardingServer(): ForwardingServer {
    const { clock, settings } = this.#options;
    return new ForwardingServer({
      bodies: this.#bodies,
      clock,
      host: settings.host,
      port: settings.peerPort,
      readStallMs: () => this.#services.readStallMs(),
      handle: (request, options) =>
        this.#router.handleForwarded(request, options),
      answerReach: ({ from, incarnation, targetId }) =>
        this.#members.get(from)?.incarnation === incarnation
          ? this.#paths.answerReach(targetId)
          : Promise.resolve("unknown"),
      reportFault: (message) => this.#reporter.reportFault(message),
    });
  }

  #getWithdrawalGraceMs(reason: WithdrawalReason): number {
    switch (reason) {
      case "leaving":
        return this.#drainMs - LEAVING_MARGIN_MS;
      case "reported-leaving":
        return this.#drainMs - REPORTED_LEAVING_MARGIN_MS;
      case "evacuated":
        return this.#options.settings.evacuationMs - EVACUATION_MARGIN_MS;
    }
  }

  #createServer(): RequestServer {
    const { settings, clock } = this.#options;
    return new RequestServer({
      clock,
      host: settings.host,
      port: settings.requestPort,
      maxConnections: settings.maxCallerConnections,
      observeClosedConnection: (connections) =>
        this.#reporter.observeClosedConnection(connections),
      observeLateCaller: (part) => this.#reporter.observeLateCaller(part),
      bodies: this.#bodies,
      readStallMs: () => this.#services.readStallMs(),
      readTotalStallMs: () => this.#services.readTotalStallMs(),
      parseMetadata: this.#adapter.parseMetadata,
      isIdempotent: (request) =>
        this.#catalogue.match(request)?.route.idempotent === true,
      handle: (request) => this.#router.handle(request),
      observeDelivery: (delivery) => this.#reporter.observeDelivery(delivery),
      reportFailure: (failure) => this.#reporter.reportEarlyFailure(failure),
      reportFault: (message) => this.#reporter.reportFault(message),
    });
  }

  #createKeeperService(): KeeperService {
    const { settings, clock } = this.#options;
    const detector = new SuspensionDetector(clock, {
      readWallMs: Date.now,
      observe: (jumpMs) =>
        this.#logger.log("clock-jump", "notable", { jumpMs }),
    });
    return new KeeperService({
      clock,
      store: this.#adapter.store,
      orders: this.#paths.observeOrders(this.#adapter.orders),
      timing: resolveKeeperTiming(settings.maxHoldMs),
      claim: { instance: settings.instance, incarnation: this.#incarnation },
      getStartNumber: () => this.#publisher?.startNumber,
      topic: this.#adapter.storeLayout.owners.topic,
      minMemberTtlMs: settings.minMemberTtlMs,
      listServiceSnapshots: (part) =>
        this.#keyTraffic.listServiceSnapshots(part),
      getView: (part) => this.#views.getOwnersView(part),
      getTrustedSinceMs: () => detector.checkTrustedSinceMs(),
      hasEnded: (holder) => this.#catalogue.hasEnded(holder),
      isAlive: (name) => this.#members.isAlive(name, clock.readMs()),
      listGlobalHeartbeatSenders: () =>
        this.#duties.listGlobalHeartbeatSenders(),
      listInstances: () =>
        this.#members.listPeers().map(({ instance: name }) => name),
      isCandidate: () => this.#duties.isCandidate(),
      isUnfit: () => this.#duties.isUnfit(),
      sendToPeer: (name, message) => this.#sendToPeer(name, message),
      scheduleMembersRead: () => this.#views.scheduleMembersRead(),
      hasInstanceEnded: (claim) => this.#members.hasEnded(claim),
      observe: (event) => this.#reporter.observeKeeper(event),
      onTableWritten: (written) => this.#relay.sendTableDiff(written),
      onGranted: (granted) => this.#relay.sendGranted(granted),
      onAppended: (part, record) => this.#recordAppended(part, record),
      onRestored: (part, end) => this.#relay.recordTableEnd(part, end),
      onClaim: (part, term) => this.#relay.sendClaim(part, term),
    });
  }

  #createKeyTraffic(): KeyTraffic {
    const { settings, clock } = this.#options;
    return new KeyTraffic({
      clock,
      instance: settings.instance,
      catalogue: this.#catalogue,
      services: this.#services,
      keepers: this.#keeperService,
      rateLimiter: this.#rateLimiter,
      choosePartition: (service) => this.#choosePartition(service),
      sendToPeer: (name, message) => this.#sendToPeer(name, message),
    });
  }

  #createPeerTransport(): PeerTransport {
    const { settings, clock } = this.#options;
    return new PeerTransport({
      clock,
      host: settings.host,
      port: settings.peerPort,
      instance: settings.instance,
      listHeartbeatReceivers: () => this.#duties.listHeartbeatReceivers(),
      describeStatus: () => this.#describeStatus(),
      isHeartbeatSender: () => this.#duties.isHeartbeatSender(),
      handle: (message) => this.#dispatcher.handle(message),
      reportFault: (message) => this.#reporter.reportFault(message),
    });
  }

  #createLoads(): LoadExchange {
    return new LoadExchange({
      ...this.#createPeerOptions(),
      members: this.#members,
      readCounts: () => this.#services.countOwnLoad(),
      applyCounts: (peer, counts) =>
        this.#services.applyPeerCounts(peer, counts),
      describeStatus: () => this.#describeStatus(),
    });
  }

  #describeStatus(): PeerStatus {
    return {
      configurationEnd: this.#views.configurationEnd,
      hasLostStore: this.#views.hasLostStore,
      isIsolated: this.#paths.paths.isIsolated,
      lostPaths: this.#paths.countLosses(),
      ends: this.#keeperService.listKeptPartitions().map((part) =>
        [part, this.#relay.getTableEnd(part) ?? 0] as const
      ),
    };
  }

  /**
   * Applies the records of a keeper of this instance directly, so that they
   * need not be read.
   */
  #recordAppended(part: number, record: StoreRecord): void {
    const base = record.offset;
    const records = [record];
    const range = { base, end: base + 1, ageMs: 0, sinceOutageMs: null };
    this.#views.getOwnersView(part)?.applyBatch({ ...range, records });
  }

  #sendOwnRecord(offset: number, record: string): void {
    const { instance: from } = this.#options.settings;
    const message = { kind: "member", from, offset, record } as const;
    this.#peerTransport.send(this.#members.listPeers(), message);
  }

  #sendToPeer(instance: string, message: PeerMessage): void {
    const member = this.#members.get(instance);
    if (member !== undefined) {
      this.#peerTransport.send([member], message);
    }
  }

  #applyConfiguration(): void {
    const table = this.#catalogue.routingTable!;
    this.#status.recordConfiguration();
    this.#accounts.setAccess(table.access);
    this.#server.setLimits(table.limits);
    this.#services.resetTrafficSplit();
    this.#services.update();
    for (const service of table.services.values()) {
      if (service.keyed) {
        this.#views.startOwnersView(this.#choosePartition(service.name));
      }
    }
  }

  #choosePartition(service: string): number {
    return choosePartition(service, this.#adapter.storeLayout.owners.parts);
  }

  /** Requires the ports in use, which are known once they are open. */
  #createPublisher(): MemberPublisher {
    const { clock, settings } = this.#options;
    return new MemberPublisher({
      clock,
      store: this.#adapter.store,
      partition: this.#adapter.storeLayout.members,
      member: {
        instance: settings.instance,
        incarnation: this.#incarnation,
        dataCentre: settings.dataCentre,
        host: settings.host,
        port: this.#peerTransport.port,
        statusPort: this.#statusServer.port,
        forwardPort: this.#forwardingServer.port,
        cores: settings.cores,
      },
      onWritten: () => this.#views.scheduleMembersRead(),
      onFound: () =>
        this.#members.recordOwnRecord(this.#options.clock.readMs()),
      announce: (offset, record) => this.#sendOwnRecord(offset, record),
      reportFault: (message) => this.#reporter.reportFault(message),
      signal: this.#stopController.signal,
    });
  }

  async #runCatalogue(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      if (this.#catalogue.advance(clock.readMs())) {
        this.#services.update();
        this.#keeperService.schedulePlans();
      }
      this.#rateLimiter.expire();
      this.#paths.advance();
      this.#status.logReadinessChange();
      this.#status.logDutyChange();
      await sleepUntilTick(clock, CATALOGUE_TICK_MS, signal);
    }
  }

  #isReady(): boolean {
    return !this.#stopAdmission.isStopping && this.#views.isLoaded;
  }

  #createStatus(): InstanceStatus {
    return new InstanceStatus({
      clock: this.#options.clock,
      settings: this.#options.settings,
      incarnation: this.#incarnation,
      catalogue: this.#catalogue,
      logger: this.#logger,
      isReady: () => this.#isReady(),
      listDuties: () => this.#duties.listDuties(),
      countOpenRequests: () => this.#server.openRequests,
      countOpenRetries: () => this.#services.countOpenRetries(),
      countHeldRequests: () => this.#server.heldRequests,
      countReadAheadBytes: () => this.#readAhead.claimedBytes,
      countCallerMemoryBytes: () => this.#memory.claimedBytes,
      countWaitingRequests: () => this.#services.waiting,
      countQuarantinedRequests: () => this.#quarantine.countQuarantined(),
      countLimitedTargets: () => this.#limits.count,
      countLostPaths: () => this.#paths.paths.listLost().length,
      isIsolated: () => this.#paths.paths.isIsolated,
    });
  }

  #createRelay(): ViewRelay {
    const { settings, clock } = this.#options;
    return new ViewRelay({
      clock,
      instance: settings.instance,
      directory: this.#directory,
      duties: this.#duties,
      findMember: (name) => this.#members.get(name),
      getTargetsView: () => this.#views.targetsView,
      getConfigurationView: () => this.#views.configurationView,
      getOwnersView: (part) => this.#views.getOwnersView(part),
      fetchTable: (part, keeper, end) =>
        void this.#tables.fetch(part, keeper, end),
      send: (members, message) => this.#peerTransport.send(members, message),
    });
  }

  #createTables(): TableRequests {
    const { settings, clock } = this.#options;
    return new TableRequests({
      clock,
      instance: settings.instance,
      directory: this.#directory,
      findMember: (name) => this.#members.get(name),
      getOwnersView: (part) => this.#views.getOwnersView(part),
      getTableEnd: (part) =>
        this.#keeperService.isKeeper(part)
          ? this.#relay.getTableEnd(part)
          : undefined,
      listServices: (part) => this.#listKeyedServices(part),
      send: (members, message) => this.#peerTransport.send(members, message),
    });
  }

  #listKeyedServices(part: number): readonly string[] {
    const services = [...this.#catalogue.routingTable?.services.values() ?? []];
    return services
      .filter(({ name, keyed }) =>
        keyed && this.#choosePartition(name) === part
      )
      .map(({ name }) => name);
  }

  #createDemands(): AccountDemands {
    return new AccountDemands({
      clock: this.#options.clock,
      instance: this.#options.settings.instance,
      accounts: this.#accounts,
      listPeers: () => this.#members.listPeers(),
      send: (member, message) =>
        void this.#peerTransport.send([member], message),
    });
  }

  /**
   * The ports in use; a port of 0 in the settings is replaced by the actual
   * one.
   */
  get ports(): InstancePorts {
    return {
      request: this.#server.port,
      status: this.#statusServer.port,
      peer: this.#peerTransport.port,
      metrics: this.#metricsServer.port,
    };
  }
}
