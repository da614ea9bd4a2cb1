/**
 * Divides an account's rate among the instances by the demand at each of them.
 *
 * Failure case: a caller keeps one connection, so all its requests reach one
 * instance. If every instance had an equal part of the account's rate, the
 * caller would be refused well within its limits.
 *
 * Instances report their demands to each other twice a second; an instance
 * whose reports stop arriving no longer counts.
 */
import type { Clock } from "@lentilspur/ports/clock";
import { sleepUntilTick } from "@lentilspur/ports/tick";
import type {
  AccountLimiter,
  InstanceDemand,
} from "@lentilspur/routing/account_limiter";
import type { AccountAdmission } from "./account_admission.ts";
import type { Member } from "../members/members.ts";
import type { PeerMessage } from "../peers/peer_message.ts";

type DemandMessage = PeerMessage & { readonly kind: "demand" };

export interface AccountDemandsOptions {
  readonly clock: Clock;
  readonly instance: string;
  readonly accounts: AccountAdmission;
  readonly listPeers: () => readonly Member[];
  readonly send: (member: Member, message: PeerMessage) => void;
}

/** A tenth of the time in which an account's burst is usually used up. */
const REPORT_INTERVAL_MS = 500;
/** An instance counts as gone after ten reports in a row were lost. */
const PEER_TTL_MS = 5_000;
/** Number of demands that fit into one datagram. */
const MAX_DEMANDS = 16;

interface PeerDemand {
  readonly demands: readonly InstanceDemand[];
  readonly atMs: number;
}

export class AccountDemands {
  readonly #options: AccountDemandsOptions;
  readonly #peerDemands = new Map<string, PeerDemand>();

  constructor(options: AccountDemandsOptions) {
    this.#options = options;
  }

  apply(message: DemandMessage): void {
    const atMs = this.#options.clock.readMs();
    this.#peerDemands.set(message.from, { demands: message.demands, atMs });
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, accounts } = this.#options;
    while (!signal.aborted) {
      if (!accounts.isOpen) {
        this.#sendDemands();
        this.#applyPeerDemands(accounts.limiter);
      }
      await sleepUntilTick(clock, REPORT_INTERVAL_MS, signal);
    }
  }

  #sendDemands(): void {
    const {
      clock,
      instance: from,
      accounts,
      listPeers,
      send,
    } = this.#options;
    const demands = accounts.limiter.listDemands(clock.readMs())
      .toSorted((left, right) => right.perSecond - left.perSecond)
      .slice(0, MAX_DEMANDS);
    const message: DemandMessage = { kind: "demand", from, demands };
    for (const member of listPeers()) {
      send(member, message);
    }
  }

  #applyPeerDemands(limiter: AccountLimiter): void {
    const nowMs = this.#options.clock.readMs();
    const activePeers = [...this.#peerDemands.values()]
      .filter(({ atMs }) => nowMs - atMs <= PEER_TTL_MS);
    limiter.setInstanceCount(1 + activePeers.length);
    for (const { clientAccount, service } of limiter.listDemands(nowMs)) {
      const peerDemands = activePeers.map(({ demands }) =>
        demands.find((one) =>
          one.clientAccount === clientAccount && one.service === service
        )?.perSecond ?? 0
      );
      limiter.setPeerDemands(clientAccount, service, peerDemands, nowMs);
    }
  }
}
