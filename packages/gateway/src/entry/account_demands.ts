/**
 * Shares an account's rate by what each instance sees of it.
 *
 * Load pattern: a caller keeps one connection, so all that it sends reaches one
 * instance. Held to an equal part of its rate there, it would be refused well
 * within its limits. Instances tell each other what they see twice a second;
 * one that is not heard of any more counts for nothing.
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

/** A tenth of the time over which an account's burst is usually spent. */
const TELL_EVERY_MS = 500;
/** Ten of these messages lost in a row: the instance is gone. */
const HEARD_MS = 5_000;
/** What fits into one datagram. */
const MAX_DEMANDS = 16;

interface PeerDemand {
  readonly demands: readonly InstanceDemand[];
  readonly atMs: number;
}

export class AccountDemands {
  readonly #options: AccountDemandsOptions;
  readonly #peers = new Map<string, PeerDemand>();

  constructor(options: AccountDemandsOptions) {
    this.#options = options;
  }

  apply(message: DemandMessage): void {
    const atMs = this.#options.clock.readMs();
    this.#peers.set(message.from, { demands: message.demands, atMs });
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, accounts: gate } = this.#options;
    while (!signal.aborted) {
      if (!gate.isOpen) {
        this.#sendDemands();
        this.#applyPeers(gate.limiter);
      }
      await sleepUntilTick(clock, TELL_EVERY_MS, signal);
    }
  }

  #sendDemands(): void {
    const {
      clock,
      instance: from,
      accounts: gate,
      listPeers: listOthers,
      send,
    } = this.#options;
    const demands = gate.limiter.listDemands(clock.readMs())
      .toSorted((left, right) => right.perSecond - left.perSecond)
      .slice(0, MAX_DEMANDS);
    const message: DemandMessage = { kind: "demand", from, demands };
    for (const member of listOthers()) {
      send(member, message);
    }
  }

  #applyPeers(limiter: AccountLimiter): void {
    const nowMs = this.#options.clock.readMs();
    const heard = [...this.#peers.values()]
      .filter(({ atMs }) => nowMs - atMs <= HEARD_MS);
    limiter.setInstanceCount(1 + heard.length);
    for (const { clientAccount, service } of limiter.listDemands(nowMs)) {
      const peerDemands = heard.map(({ demands }) =>
        demands.find((one) =>
          one.clientAccount === clientAccount && one.service === service
        )?.perSecond ?? 0
      );
      limiter.setPeerDemands(clientAccount, service, peerDemands, nowMs);
    }
  }
}
