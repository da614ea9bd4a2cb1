import assert from "node:assert/strict";
import { test } from "node:test";
import { computeHoldEndMs } from "@lentilspur/ownership/hold_tracker";
import { DEFAULT_KEEPER_TIMING } from "@lentilspur/ownership/keeper_timing";
import type { UnresolvedKeeper } from "@lentilspur/ownership/keeper_records";
import type { PartitionState } from "@lentilspur/ownership/partition_state";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { KeeperExchange, type KeeperMessage } from "./keeper_exchange.ts";
import { PredecessorTracker } from "./predecessor_tracker.ts";

const PART = 0;
const NEW_TERM = 44;
const CLAIM = { instance: "two", incarnation: "two.2" };
const LAST = { instance: "three", incarnation: "three.1", term: 23 };
const GONE: UnresolvedKeeper = {
  instance: "one",
  incarnation: "one.1",
  term: 3,
  witnesses: ["four/four.1"],
  canLapse: true,
};

/** How long before its claim the process of the successor started. */
const STARTED_AGO_MS = 500;

interface Tracked {
  readonly clock: VirtualClock;
  readonly exchange: KeeperExchange;
  readonly tracker: PredecessorTracker;
  /** How long the successor still waits for the last order of the gone one. */
  readonly readLeftMs: () => number;
}

/** A successor that finds the gone keeper in the records of a resigned one. */
async function startTracking(gone: UnresolvedKeeper): Promise<Tracked> {
  const clock = new VirtualClock();
  const exchange = new KeeperExchange({
    clock,
    claim: CLAIM,
    pledgeMs: DEFAULT_KEEPER_TIMING.pledgeMs,
    isStoreReachable: () => true,
    getNewestTerm: () => NEW_TERM,
    getKeeper: () => undefined,
    send: () => undefined,
    observe: () => undefined,
  });
  await clock.advance(STARTED_AGO_MS);
  const state: PartitionState = {
    term: LAST.term,
    claim: { ...LAST, resigned: true },
    witnesses: [],
    unresolved: [gone],
    tables: new Map(),
    end: NEW_TERM,
    faults: [],
  };
  const tracker = new PredecessorTracker(
    {
      clock,
      timing: DEFAULT_KEEPER_TIMING,
      claim: CLAIM,
      exchange,
      hasInstanceEnded: () => false,
      eraSeenAtMs: 0,
    },
    PART,
    state,
  );
  tracker.recordClaimed();
  const readLeftMs = () =>
    tracker.computeState().lastOrderAtMs -
    clock.readMs();
  return { clock, exchange, tracker, readLeftMs };
}

function createPledgesOver(from: string, term: number): KeeperMessage {
  return { kind: "pledges-over", from, part: PART, term };
}

const { maxAuthorityMs, pledgeMs } = DEFAULT_KEEPER_TIMING;

test("a keeper of which nothing is known is waited for the longest", async () => {
  assert.equal((await startTracking(GONE)).readLeftMs(), maxAuthorityMs);
});

test("a successor does not count anew the time that its predecessor waited", async () => {
  const first = await startTracking(GONE);
  await first.clock.advance(26_000);
  const [recorded] = first.tracker.listUnresolved();
  assert.equal(recorded?.replacedForMs, 25_000);
  const second = await startTracking(recorded!);
  assert.equal(second.readLeftMs(), maxAuthorityMs - 25_000);
  await second.clock.advance(16_000);
  assert.equal(second.tracker.listUnresolved()[0]?.replacedForMs, 40_000);
});

test("an earlier process of this instance had ended when this one started", async () => {
  const gone = { ...GONE, instance: CLAIM.instance };
  const { tracker } = await startTracking(gone);
  const holdEndMs = computeHoldEndMs(0, DEFAULT_KEEPER_TIMING.holdMs);
  const [unresolved] = tracker.describeUnresolved();
  assert.equal(unresolved?.leftMs, holdEndMs - STARTED_AGO_MS);
});

test("a record says only that a keeper was replaced, not that the last one was", async () => {
  const { clock, tracker } = await startTracking(GONE);
  await clock.advance(100);
  assert.equal(tracker.listAll()[0]?.replacedForMs, undefined);
});

test("a time since the replacement of another type counts as none", async () => {
  for (const value of ["60000", null, -5_000, {}]) {
    const gone = { ...GONE, replacedForMs: value } as UnresolvedKeeper;
    assert.equal(
      (await startTracking(gone)).readLeftMs(),
      maxAuthorityMs,
      String(value),
    );
  }
});

test("an earlier process of this instance may have given a pledge until its end", async () => {
  const gone = { ...GONE, witnesses: ["two/two.1", "four/four.1"] };
  const { readLeftMs, clock } = await startTracking(gone);
  assert.equal(readLeftMs(), pledgeMs - STARTED_AGO_MS);
  await clock.advance(pledgeMs - STARTED_AGO_MS);
  assert.equal(readLeftMs(), 0);
});

test("a witness's answer that its pledges are over ends the wait", async () => {
  const { exchange, readLeftMs, tracker } = await startTracking(GONE);
  assert.deepEqual(tracker.listWitnessesToAsk(), ["four"]);
  exchange.handle(createPledgesOver("four", NEW_TERM));
  assert.equal(readLeftMs(), pledgeMs);
  assert.deepEqual(tracker.listWitnessesToAsk(), []);
});

test("a keeper of an earlier version is bound by no answer, and by its exact witness only", async () => {
  const { canLapse: _missing, ...gone } = GONE;
  const answered = await startTracking(gone);
  answered.exchange.handle(createPledgesOver("four", NEW_TERM));
  assert.equal(answered.readLeftMs(), maxAuthorityMs);
  assert.deepEqual(answered.tracker.listWitnessesToAsk(), []);
  const earlier = await startTracking({ ...gone, witnesses: ["two/two.1"] });
  assert.equal(earlier.readLeftMs(), maxAuthorityMs);
  const named = await startTracking({ ...gone, witnesses: ["two/two.2"] });
  assert.equal(named.readLeftMs(), pledgeMs - STARTED_AGO_MS);
});

test("answers of other instances and to earlier claims prove nothing", async () => {
  const { exchange, readLeftMs } = await startTracking(GONE);
  exchange.handle(createPledgesOver("five", NEW_TERM));
  exchange.handle(createPledgesOver("four", GONE.term));
  assert.equal(readLeftMs(), maxAuthorityMs);
});

test("a witness answers only once its last pledge is over, and gives no other", async () => {
  const clock = new VirtualClock();
  const sent: KeeperMessage[] = [];
  const exchange = new KeeperExchange({
    clock,
    claim: { instance: "four", incarnation: "four.1" },
    pledgeMs,
    isStoreReachable: () => false,
    getNewestTerm: () => GONE.term,
    getKeeper: () => undefined,
    send: (_to, message) => sent.push(message),
    observe: () => undefined,
  });
  await clock.advance(20_000);
  const { term } = GONE;
  const ask = () =>
    exchange.handle({
      kind: "pledge-request",
      from: "one",
      part: PART,
      term,
      number: 1,
    });
  const inquire = () =>
    exchange.handle({
      kind: "pledge-inquiry",
      from: "two",
      part: PART,
      term: NEW_TERM,
    });
  ask();
  await clock.advance(1_000);
  inquire();
  ask();
  const answers = sent.map((one) => one.kind === "pledge" ? one.isGiven : one);
  assert.deepEqual(answers, [true, false]);
  await clock.advance(pledgeMs - 1_001);
  inquire();
  assert.equal(sent.length, 2);
  await clock.advance(1);
  inquire();
  assert.deepEqual(sent.at(-1), createPledgesOver("four", NEW_TERM));
});
