/**
 * Tells entries what the others see of each client account, so that together
 * they let in its declared rate, wherever its connections end.
 *
 * Each account has a home, chosen by rendezvous hashing, to which every entry
 * that sees the account reports once a second. The home only adds up what it
 * has heard lately: it keeps nothing, and while it is away entries fall back to
 * equal parts.
 */
import { choosePlanner } from "@lentilspur/ownership/planner_choice";
import type {
  AccountLimiter,
  OwnDemand,
} from "@lentilspur/policy/account_limiter";
import type { Clock } from "@lentilspur/ports/clock";
import type {
  DemandReply,
  DemandReport,
  PeerPort,
} from "@lentilspur/ports/peer";
import type { StateSource } from "../state_source.ts";

/** Well within the limiter's bound on the age of such figures. */
const REPORT_EVERY_MS = 1_000;
/** An entry that has not reported for this long sees nothing any more. */
const REPORT_LIFE_MS = 3_000;
/** Accounts and templates that one home adds up; the oldest gives way. */
const MAX_ACCOUNTS = 10_000;

export interface DemandExchangeOptions {
  readonly instanceId: string;
  readonly state: StateSource;
  readonly peers: PeerPort;
  readonly clock: Clock;
  readonly limiter: AccountLimiter;
}

/** One account and template, as its home has heard of it. */
interface HeardAccount {
  readonly sinceMs: number;
  /** By reporter. */
  readonly demands: Map<string, HeardDemand>;
}

interface HeardDemand {
  readonly perSecond: number;
  readonly heardAtMs: number;
}

export class DemandExchange {
  readonly #options: DemandExchangeOptions;
  readonly #heard = new Map<string, HeardAccount>();

  constructor(options: DemandExchangeOptions) {
    this.#options = options;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(REPORT_EVERY_MS, signal);
      await Promise.all(
        [...this.#listByHome()].map(([home, demands]) =>
          this.#sendReport(home, demands)
        ),
      );
    }
  }

  /**
   * The home's side: notes a report and answers with what others see.
   *
   * A home that has only just begun has not heard them yet; would it say that
   * they see nothing, each would let in the whole rate. So it is silent until
   * every entry has had its turn.
   */
  handleReport(report: DemandReport): DemandReply {
    const nowMs = this.#options.clock.readMs();
    const memberCount = this.#options.state.getView().listMembers().length;
    const others = report.demands.flatMap((demand) => {
      const { clientAccount, template, perSecond } = demand;
      const heard = this.#claimHeard(`${clientAccount}\n${template}`);
      heard.demands.set(report.reporter, { perSecond, heardAtMs: nowMs });
      if (nowMs - heard.sinceMs < REPORT_LIFE_MS) {
        return [];
      }
      const seen = listOthers(heard.demands, report.reporter, nowMs);
      const silent = Math.max(0, memberCount - 1 - seen.length);
      const figures = [...seen, ...new Array<number>(silent).fill(0)];
      return [{ clientAccount, template, perSecond: figures }];
    });
    return { others };
  }

  #listByHome(): ReadonlyMap<string, readonly OwnDemand[]> {
    const { state, limiter, clock } = this.#options;
    const view = state.getView();
    const groups = new Map<string, OwnDemand[]>();
    for (const demand of limiter.listDemands(clock.readMs())) {
      const home = choosePlanner(`account:${demand.clientAccount}`, view);
      if (home !== undefined) {
        groups.set(home, [...groups.get(home) ?? [], demand]);
      }
    }
    return groups;
  }

  async #sendReport(
    home: string,
    demands: readonly OwnDemand[],
  ): Promise<void> {
    const { instanceId, state, peers } = this.#options;
    const report = { reporter: instanceId, demands };
    if (home === instanceId) {
      this.#applyReply(this.handleReport(report));
      return;
    }
    const member = state.getView().getMember(home);
    if (member === undefined) {
      return;
    }
    const address = { id: home, address: member.instance.peerAddress };
    const reply = await peers.reportDemand(address, report);
    if (reply.ok) {
      this.#applyReply(reply.val);
    }
  }

  #applyReply(reply: DemandReply): void {
    const { limiter, clock } = this.#options;
    const nowMs = clock.readMs();
    for (const { clientAccount, template, perSecond } of reply.others) {
      limiter.applyPeerDemand(clientAccount, template, perSecond, nowMs);
    }
  }

  #claimHeard(name: string): HeardAccount {
    const known = this.#heard.get(name) ?? {
      sinceMs: this.#options.clock.readMs(),
      demands: new Map<string, HeardDemand>(),
    };
    this.#heard.delete(name);
    this.#heard.set(name, known);
    if (this.#heard.size > MAX_ACCOUNTS) {
      this.#heard.delete(this.#heard.keys().next().value!);
    }
    return known;
  }
}

function listOthers(
  demands: Map<string, HeardDemand>,
  reporter: string,
  nowMs: number,
): readonly number[] {
  for (const [name, { heardAtMs }] of demands) {
    if (nowMs - heardAtMs > REPORT_LIFE_MS) {
      demands.delete(name);
    }
  }
  return [...demands]
    .filter(([name]) => name !== reporter)
    .map(([, { perSecond }]) => perSecond);
}
