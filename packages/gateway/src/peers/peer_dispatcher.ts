/**
 * Dispatches messages from other instances to the components that handle them.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { AccountDemands } from "../entry/account_demands.ts";
import type { Duties } from "../members/duties.ts";
import type { KeeperService } from "../keeper/keeper_service.ts";
import type { KeyTraffic } from "../keeper/key_traffic.ts";
import type { Fault } from "../fault.ts";
import type { LoadExchange } from "./load_exchange.ts";
import type { LeavingTargets } from "../requests/leaving_targets.ts";
import type { Members } from "../members/members.ts";
import type { PeerMessage, PeerStatus } from "./peer_message.ts";
import type { RequestQuarantine } from "../requests/request_quarantine.ts";
import type { StoreViews } from "../views/store_views.ts";
import type { TableRequests } from "../views/table_requests.ts";
import type { TargetLimits } from "../requests/target_limits.ts";
import type { TargetRateLimiter } from "../requests/target_rate_limiter.ts";
import type { ViewRelay } from "../views/view_relay.ts";

type MemberMessage = PeerMessage & { readonly kind: "member" };

export interface PeerDispatcherOptions {
  readonly clock: Clock;
  readonly members: Members;
  readonly duties: Duties;
  readonly views: StoreViews;
  readonly loads: LoadExchange;
  readonly relay: ViewRelay;
  readonly keyTraffic: KeyTraffic;
  readonly demands: AccountDemands;
  readonly keepers: KeeperService;
  readonly quarantine: RequestQuarantine;
  readonly limits: TargetLimits;
  readonly leaving: LeavingTargets;
  readonly rateLimiter: TargetRateLimiter;
  readonly tables: TableRequests;
  readonly reportFault: (fault: Fault) => void;
}

export class PeerDispatcher {
  readonly #options: PeerDispatcherOptions;

  constructor(options: PeerDispatcherOptions) {
    this.#options = options;
  }

  handle(message: PeerMessage): void {
    const { clock, members, loads, relay, keyTraffic, demands } = this.#options;
    const { keepers, quarantine, limits, leaving, rateLimiter, tables } =
      this.#options;
    members.recordContact(message.from, clock.readMs());
    switch (message.kind) {
      case "load":
        loads.applyLoad(message);
        this.#applyStatus(message.from, message);
        return;
      case "gathered-load":
        loads.applyAggregate(message);
        return;
      case "alive":
        this.#applyStatus(message.from, message);
        return;
      case "member":
        this.#applyMember(message);
        return;
      case "targets":
        relay.applyTargets(message);
        return;
      case "configuration":
        relay.applyConfiguration(message);
        return;
      case "owners":
        relay.applyTableDiff(message);
        return;
      case "table-request":
        tables.answer(message);
        return;
      case "table":
        tables.apply(message);
        return;
      case "granted":
        relay.applyGranted(message);
        return;
      case "keys":
        keyTraffic.apply(message);
        return;
      case "demand":
        demands.apply(message);
        return;
      case "suspects":
        quarantine.apply(message);
        return;
      case "limits":
        limits.apply(message);
        return;
      case "leaving":
        leaving.apply(message);
        return;
      case "quota-request":
        rateLimiter.handleRequest(message);
        return;
      case "quota":
        rateLimiter.handleResponse(message);
        return;
      case "pledge-request":
      case "pledge":
      case "keeper-replaced":
      case "pledge-inquiry":
      case "pledges-over":
      case "keeper-stopped":
        keepers.applyMessage(message);
        return;
    }
  }

  #applyStatus(from: string, status: PeerStatus): void {
    const { clock, members, views } = this.#options;
    members.recordStatus(from, status, clock.readMs());
    if (members.get(from) === undefined) {
      views.scheduleMembersRead();
    }
    views.applyConfigurationEnd(
      status.configurationEnd,
      this.#isFollowingConfiguration(from),
    );
    for (const [part, end] of status.ends) {
      views.applyOwnersEnd(part, end, from);
    }
  }

  /** Whether the sender reads each change of the configuration at once. */
  #isFollowingConfiguration(instance: string): boolean {
    const { duties, members } = this.#options;
    return duties.isCandidateInstance(instance) &&
      !members.hasLostStore(instance);
  }

  #applyMember({ from, record, offset }: MemberMessage): void {
    const { clock, members, reportFault } = this.#options;
    const applied = members.apply(from, record, {
      offset,
      nowMs: clock.readMs(),
    });
    if (!applied.ok) {
      reportFault({ record: "member", key: from, why: applied.val });
    }
  }
}
