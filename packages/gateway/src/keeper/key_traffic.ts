/**
 * Tracks how often keys are requested: reports this instance's requests to the
 * keeper of their service, and as a keeper collects such reports, from which
 * the request rates for planning moves of keys are computed.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { Route, RoutingTarget } from "@lentilspur/ports/routing_table";
import { sleepUntilTick } from "@lentilspur/ports/tick";
import type { OwnerCandidate } from "@lentilspur/ownership/owner_load";
import type { ServiceSnapshot } from "@lentilspur/ownership/table_planner";
import { KeyLoad } from "@lentilspur/ownership/key_load";
import { OwnerSpeeds } from "@lentilspur/ownership/owner_speeds";
import type { Catalogue } from "../views/catalogue.ts";
import type { KeeperService } from "./keeper_service.ts";
import { RequestedKeys } from "./requested_keys.ts";
import type { PeerMessage } from "../peers/peer_message.ts";
import type { ServiceRegistry } from "../requests/service_registry.ts";
import type { TargetRateLimiter } from "../requests/target_rate_limiter.ts";

type KeysMessage = PeerMessage & { readonly kind: "keys" };

export interface KeyTrafficOptions {
  readonly clock: Clock;
  readonly instance: string;
  readonly catalogue: Catalogue;
  readonly services: ServiceRegistry;
  readonly keepers: KeeperService;
  readonly rateLimiter: TargetRateLimiter;
  readonly choosePartition: (service: string) => number;
  readonly sendToPeer: (instance: string, message: PeerMessage) => void;
}

/** Interval between reports of requested keys to their keeper. */
const REPORT_INTERVAL_MS = 200;
/**
 * Service times that fit into a datagram besides the keys; each report carries
 * the next ones. With 50 targets or with 200 keys, all of them together were
 * too long: the datagram was not sent, and the keeper had no service times.
 */
const SERVICE_TIMES_PER_REPORT = 10;
/** Service time before the first measurement; about that of a read request. */
const DEFAULT_SERVICE_MS = 100;

export class KeyTraffic {
  readonly #options: KeyTrafficOptions;
  readonly #requestedKeys = new RequestedKeys();
  readonly #keyLoads = new Map<string, KeyLoad>();
  readonly #ownerSpeeds = new OwnerSpeeds();
  /** Index of the next service time to report, by service. */
  readonly #nextServiceTimeIndex = new Map<string, number>();

  constructor(options: KeyTrafficOptions) {
    this.#options = options;
  }

  /**
   * Counts the key of a request for each keyed service that its route names.
   */
  observe(route: Route, key: number): void {
    const { routingTable: table } = this.#options.catalogue;
    for (const { service } of route.parts) {
      if (table?.services.get(service)?.keyed === true) {
        this.#requestedKeys.record(service, key);
      }
    }
  }

  /** Applies a report of requested keys from an instance. */
  apply(message: KeysMessage): void {
    const nowMs = this.#options.clock.readMs();
    this.#getKeyLoad(message.service).observe(message.keys, nowMs);
    for (const [id, ms] of Object.entries(message.serviceMs)) {
      this.#ownerSpeeds.record(id, message.from, ms, nowMs);
    }
  }

  /** What a keeper of this partition needs to know for its plans. */
  listServiceSnapshots(part: number): readonly ServiceSnapshot[] {
    const nowMs = this.#options.clock.readMs();
    this.#ownerSpeeds.expire(nowMs);
    const snapshots: ServiceSnapshot[] = [];
    for (
      const service
        of this.#options.catalogue.routingTable?.services.values() ?? []
    ) {
      if (
        !service.keyed || this.#options.choosePartition(service.name) !== part
      ) {
        continue;
      }
      const averageMs =
        this.#options.services.getAverageServiceMs(service.name) ??
          DEFAULT_SERVICE_MS;
      const { catalogue } = this.#options;
      const candidates = catalogue.listTargets(service.name)
        .filter((target) =>
          !target.leaving && !catalogue.isEvacuated(target.dataCentre)
        )
        .map((target) => this.#createCandidate(target, averageMs, nowMs));
      const rates = this.#getKeyLoad(service.name).listRates(nowMs);
      snapshots.push({ service: service.name, candidates, rates });
    }
    return snapshots;
  }

  #createCandidate(
    target: RoutingTarget,
    averageMs: number,
    nowMs: number,
  ): OwnerCandidate {
    const { id, address, bornMs, places } = target;
    const limitPerSecond = this.#options.rateLimiter.getLimitPerSecond(target);
    return {
      id,
      address,
      ...(bornMs === undefined ? {} : { bornMs }),
      places,
      serviceMs: this.#ownerSpeeds.estimateServiceMs(id, averageMs, nowMs),
      ...(limitPerSecond === undefined ? {} : { limitPerSecond }),
    };
  }

  #getKeyLoad(service: string): KeyLoad {
    const load = this.#keyLoads.get(service) ?? new KeyLoad();
    this.#keyLoads.set(service, load);
    return load;
  }

  /** Sends reports until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, instance: from } = this.#options;
    while (!signal.aborted) {
      for (const [service, keys] of this.#requestedKeys.take()) {
        const serviceMs = this.#takeServiceTimes(service);
        this.#sendToKeeper({ kind: "keys", from, service, keys, serviceMs });
      }
      await sleepUntilTick(clock, REPORT_INTERVAL_MS, signal);
    }
  }

  /** The next few service times of a service's targets, in rotation. */
  #takeServiceTimes(service: string): Readonly<Record<string, number>> {
    const serviceTimes = Object.entries(
      this.#options.services.listServiceMs(service),
    );
    const first = this.#nextServiceTimeIndex.get(service) ?? 0;
    const next = serviceTimes.slice(first, first + SERVICE_TIMES_PER_REPORT);
    const end = first + SERVICE_TIMES_PER_REPORT;
    this.#nextServiceTimeIndex.set(
      service,
      end >= serviceTimes.length ? 0 : end,
    );
    return Object.fromEntries(next);
  }

  #sendToKeeper(message: KeysMessage): void {
    const part = this.#options.choosePartition(message.service);
    if (this.#options.keepers.isKeeper(part)) {
      this.apply(message);
      return;
    }
    const keeper = this.#options.keepers.findKeeper(part);
    if (keeper !== undefined) {
      this.#options.sendToPeer(keeper.instance, message);
    }
  }
}
