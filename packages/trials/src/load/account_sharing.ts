/**
 * How well twelve instances behind a balancer keep an account to a rate that
 * is declared for all of them together.
 */
import { AccountLimiter } from "@lentilspur/policy/account_limiter";
import type { Cell, MeasuredTable, Measurement } from "../measurement.ts";
import { EventQueue } from "./event_queue.ts";
import { INSTANCES } from "./entry_limits.ts";
import { SeededRandom } from "./seeded_random.ts";

const RATE = 120;
const DURATION_MS = 30_000;
/** Leases are renewed this often; demand could travel with them. */
const REPORT_EVERY_MS = 500;
const PARAMETERS = {
  template: "case-files",
  weight: 1,
  requestsPerSecond: RATE,
  burst: 20,
  maxConcurrent: Infinity,
};

/** How the instances divide the declared rate. */
type Sharing = "whole rate at each" | "equal parts" | "parts by demand";

interface Offer {
  readonly name: string;
  /** Offered requests a second, as a multiple of the declared rate. */
  readonly load: number;
  /** Instances that the caller's connections reach. */
  readonly reached: number;
}

const SHARINGS: readonly Sharing[] = [
  "whole rate at each",
  "equal parts",
  "parts by demand",
];

const OFFERS: readonly Offer[] = [
  { name: "0.8 of the rate, spread", load: 0.8, reached: INSTANCES },
  { name: "0.8 of the rate, one instance", load: 0.8, reached: 1 },
  { name: "20 times the rate, spread", load: 20, reached: INSTANCES },
];

export const ACCOUNT_LIMITS_MEASUREMENT: Measurement = {
  name: "account-limits",
  about: "how well several instances keep an account to one declared rate",
  measure: () =>
    Promise.resolve({ tables: [measureAccountSharing()], figures: [] }),
};

function measureAccountSharing(): MeasuredTable {
  return {
    title: `account limits over ${INSTANCES} instances`,
    columns: ["sharing", "offered", "admitted / declared", "refused"],
    rows: SHARINGS.flatMap((sharing) =>
      OFFERS.map((offer) => measureSharing(sharing, offer))
    ),
  };
}

function measureSharing(sharing: Sharing, offer: Offer): readonly Cell[] {
  const instanceCount = sharing === "whole rate at each" ? 1 : INSTANCES;
  const limiters = Array.from(
    { length: INSTANCES },
    () => new AccountLimiter({ instanceCount }),
  );
  const events = new EventQueue();
  if (sharing === "parts by demand") {
    for (let atMs = 0; atMs < DURATION_MS; atMs += REPORT_EVERY_MS) {
      events.schedule(atMs, () => applyDemands(limiters, events.nowMs));
    }
  }
  const random = new SeededRandom(1);
  const gapMs = 1_000 / (RATE * offer.load);
  let offered = 0;
  let admitted = 0;
  const sendNext = (): void => {
    const limiter = limiters[random.drawIndex(offer.reached)]!;
    const { nowMs } = events;
    const decision = limiter.offer("nile", "case-files", PARAMETERS, nowMs);
    offered++;
    admitted += decision.kind === "admitted" ? 1 : 0;
    events.schedule(nowMs + random.drawExponential(gapMs), sendNext);
  };
  events.schedule(0, sendNext);
  events.advance(DURATION_MS);
  const declared = RATE * DURATION_MS / 1_000;
  return [sharing, offer.name, admitted / declared, 1 - admitted / offered];
}

function applyDemands(
  limiters: readonly AccountLimiter[],
  nowMs: number,
): void {
  const demands = limiters.map((each) =>
    each.getDemand("nile", "case-files", nowMs)
  );
  for (const [index, limiter] of limiters.entries()) {
    const peers = demands.filter((_, peer) => peer !== index);
    limiter.applyPeerDemand("nile", "case-files", peers, nowMs);
  }
}
