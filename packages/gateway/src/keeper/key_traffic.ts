/**
 * How often keys are asked for: what this instance sees of it goes to the
 * keeper of their service, and what it hears as a keeper becomes what moves of
 * keys are planned by.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { Route, RoutingTarget } from "@lentilspur/ports/routing_table";
import { sleepUntilTick } from "@lentilspur/ports/tick";
import type { OwnerCandidate } from "@lentilspur/ownership/owner_load";
import type { ServiceSnapshot } from "@lentilspur/ownership/table_planner";
import { KeyLoad } from "@lentilspur/ownership/key_load";
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
  readonly turns: TargetRateLimiter;
  readonly choosePartition: (service: string) => number;
  readonly sendToPeer: (instance: string, message: PeerMessage) => void;
}

/** Keys that were asked for go to their keeper this often. */
const KEY_REPORT_MS = 200;
/**
 * Speeds that fit into a datagram beside the keys; each report carries the next
 * ones. All at once they are too long with 50 targets or with 200 keys, and the
 * datagram was not sent at all: the keeper knew no speeds there.
 */
const SPEEDS_PER_REPORT = 10;
/** A dozen instances report twice in 4 s; some reports even out a sample. */
const PEER_MEASURE_WEIGHT = 0.3;
/** Until anything is measured; about the work of a lookup. */
const UNKNOWN_SERVICE_MS = 100;

export class KeyTraffic {
  readonly #options: KeyTrafficOptions;
  readonly #keyReport = new RequestedKeys();
  readonly #keyLoads = new Map<string, KeyLoad>();
  readonly #serviceMs = new Map<string, number>();
  /** Which speed of a service is told next. */
  readonly #nextSpeed = new Map<string, number>();

  constructor(options: KeyTrafficOptions) {
    this.#options = options;
  }

  /** Counts the key of a request, where a service that it may go to is keyed. */
  observe(route: Route, key: number): void {
    const { table } = this.#options.catalogue;
    for (const { service } of route.parts) {
      if (table?.services.get(service)?.keyed === true) {
        this.#keyReport.observe(service, key);
      }
    }
  }

  /** Takes in what an instance has told of keys. */
  apply(message: KeysMessage): void {
    const nowMs = this.#options.clock.readMs();
    this.#getKeyLoad(message.service).observe(message.keys, nowMs);
    for (const [id, ms] of Object.entries(message.serviceMs)) {
      const before = this.#serviceMs.get(id) ?? ms;
      this.#serviceMs.set(id, before + PEER_MEASURE_WEIGHT * (ms - before));
    }
  }

  /** What a keeper of this partition needs to know. */
  listServiceSnapshots(part: number): readonly ServiceSnapshot[] {
    const nowMs = this.#options.clock.readMs();
    const facts: ServiceSnapshot[] = [];
    for (
      const service of this.#options.catalogue.table?.services.values() ?? []
    ) {
      if (
        !service.keyed || this.#options.choosePartition(service.name) !== part
      ) {
        continue;
      }
      const usualMs = this.#options.services.getUsualServiceMs(service.name) ??
        UNKNOWN_SERVICE_MS;
      const { catalogue } = this.#options;
      const candidates = catalogue.listTargets(service.name)
        .filter((target) =>
          !target.leaving && !catalogue.isEvacuated(target.dataCentre)
        )
        .map((target) => this.#createCandidate(target, usualMs));
      const rates = this.#getKeyLoad(service.name).listRates(nowMs);
      facts.push({ service: service.name, candidates, rates });
    }
    return facts;
  }

  #createCandidate(target: RoutingTarget, usualMs: number): OwnerCandidate {
    const { id, address, bornMs, places } = target;
    const limitPerSecond = this.#options.turns.getLimitPerSecond(target);
    return {
      id,
      address,
      ...(bornMs === undefined ? {} : { bornMs }),
      places,
      serviceMs: this.#serviceMs.get(id) ?? usualMs,
      ...(limitPerSecond === undefined ? {} : { limitPerSecond }),
    };
  }

  #getKeyLoad(service: string): KeyLoad {
    const load = this.#keyLoads.get(service) ?? new KeyLoad();
    this.#keyLoads.set(service, load);
    return load;
  }

  /** Reports until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, instance: from } = this.#options;
    while (!signal.aborted) {
      for (const [service, keys] of this.#keyReport.take()) {
        const serviceMs = this.#takeSpeeds(service);
        this.#sendToKeeper({ kind: "keys", from, service, keys, serviceMs });
      }
      await sleepUntilTick(clock, KEY_REPORT_MS, signal);
    }
  }

  /** The next few speeds of a service's targets, in turn. */
  #takeSpeeds(service: string): Readonly<Record<string, number>> {
    const speeds = Object.entries(
      this.#options.services.listServiceMs(service),
    );
    const first = this.#nextSpeed.get(service) ?? 0;
    const next = speeds.slice(first, first + SPEEDS_PER_REPORT);
    const end = first + SPEEDS_PER_REPORT;
    this.#nextSpeed.set(service, end >= speeds.length ? 0 : end);
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
