import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import fc from "fast-check";
import { decodeValue, encodeValue } from "./datagram_fragments.ts";
import { mergeCounts, toLoadCounts } from "./load_counts.ts";
import { decodePeerMessage } from "./peer_message_check.ts";
import { parsePatch } from "@lentilspur/ownership/key_table";
import { toRecordBatch } from "../views/record_batch_check.ts";

const SEED = Number(process.env["FUZZ_SEED"] ?? 68);
const RUNS = 20 * Number(process.env["FUZZ_RUNS"] ?? 100);
const STATUS = {
  configurationEnd: 4,
  hasLostStore: false,
  isIsolated: false,
  lostPaths: 0,
  ends: [[1, 7]],
};
const COUNTS = {
  running: { a: 2 },
  waiting: { s: { a: [1, 0, 2] } },
  instances: 3,
};
const FRAGMENT = { text: "x", piece: 0, pieces: 1 };
const RECORD = { offset: 3, key: "a", value: "{}" };
const BATCH = {
  base: 3,
  end: 4,
  ageMs: 5,
  sinceOutageMs: null,
  records: [RECORD],
};
const LIMIT = { life: "t1 5", perSecond: 2.4, ageMs: 10 };
const RANGE = {
  from: 0,
  to: 7,
  owner: { id: "a", address: "a:80", token: 4 },
  former: [{ id: "b", address: "b:80", token: 3, bornMs: 5 }],
};
const OFFSETS = { part: 1, offset: 4, since: 3, service: "s" };
const MESSAGES: readonly object[] = [
  { kind: "load", counts: COUNTS, ...STATUS },
  { kind: "gathered-load", dataCentre: "bole", number: 1, ...FRAGMENT },
  { kind: "alive", ...STATUS },
  { kind: "member", offset: 4, record: "{}" },
  { kind: "keys", service: "s", keys: [1, 65_535], serviceMs: { a: 4.5 } },
  { kind: "targets", ...BATCH },
  { kind: "configuration", end: 4, ...FRAGMENT },
  { kind: "owners", ...OFFSETS, ...FRAGMENT },
  { kind: "table-request", part: 1 },
  { kind: "table", ...OFFSETS, ...FRAGMENT },
  { kind: "granted", service: "s", ranges: [[0, 7, 4]] },
  {
    kind: "demand",
    demands: [{ clientAccount: "a", service: "s", perSecond: 4 }],
  },
  {
    kind: "suspects",
    dataCentre: "bole",
    reports: [{
      fingerprint: "f",
      crashes: [["life", 20, 50, "send", null]],
      clearedAgeMs: null,
      trialAgeMs: 3,
      trials: 1,
      refuted: ["a"],
    }],
  },
  { kind: "limits", dataCentre: "bole", limits: [LIMIT] },
  { kind: "leaving", dataCentre: "bole", target: { id: "a", bornMs: 4 } },
  {
    kind: "quota-request",
    number: 1,
    life: "t1 5",
    limit: LIMIT,
    coldPerSecond: 4,
    maxWaitMs: 5,
    share: 1,
  },
  { kind: "quota", number: 1, decision: { kind: "granted", waitMs: 4 } },
  { kind: "pledge-request", part: 1, term: 4, number: 1 },
  { kind: "pledge", part: 1, number: 1, isGiven: true, ranForMs: 5 },
  { kind: "keeper-replaced", part: 1, term: 4 },
  {
    kind: "keeper-stopped",
    part: 1,
    term: 4,
    incarnation: "1",
    isClean: true,
  },
  { kind: "pledge-inquiry", part: 1, term: 4 },
  { kind: "pledges-over", part: 1, term: 4 },
].map((message) => ({ from: "bole-1", ...message }));

const odd = fc.oneof(
  fc.jsonValue(),
  fc.constantFrom(null, [null], {}, [[]], 1e300, -1, 0.5, 2 ** 53, ""),
  fc.constantFrom<unknown>({ a: "1" }, { a: { b: 7 } }, [RECORD]),
);

function decode(message: unknown) {
  return decodePeerMessage(Buffer.from(JSON.stringify(message)));
}

test("all kinds of messages are accepted, and each with an odd field of its counts or records is not", () => {
  for (const message of MESSAGES) {
    assert.ok(decode(message).ok, JSON.stringify(message));
  }
  const load = { kind: "load", from: "bole-1", counts: COUNTS, ...STATUS };
  const oddCounts: readonly unknown[] = [
    { ...COUNTS, running: null },
    { ...COUNTS, running: { a: "1" } },
    { ...COUNTS, running: { constructor: 1 } },
    { ...COUNTS, waiting: { s: null } },
    { ...COUNTS, waiting: { s: { a: 1 } } },
    { ...COUNTS, instances: 1e300 },
  ];
  for (const counts of oddCounts) {
    assert.ok(!decode({ ...load, counts }).ok, JSON.stringify(counts));
  }
  const targets = { kind: "targets", from: "bole-1", ...BATCH };
  const oddBatches = [
    { records: [null] },
    { records: [{ ...RECORD, value: 7 }] },
    { records: [{ ...RECORD, offset: 9 }] },
    { end: 2 ** 53 - 1 },
    { end: 2 },
    { ageMs: -1 },
    { sinceOutageMs: "1" },
  ];
  for (const changes of oddBatches) {
    assert.ok(!decode({ ...targets, ...changes }).ok, JSON.stringify(changes));
  }
});

test("no datagram makes its decoder throw, and what it accepts can be encoded and used", () => {
  const mutated = fc.tuple(fc.constantFrom(...MESSAGES), fc.nat(), odd)
    .map(([message, index, value]) => {
      const names = Object.keys(message).filter((name) => name !== "kind");
      const name = names[index % names.length]!;
      return Buffer.from(JSON.stringify({ ...message, [name]: value }));
    });
  const bytes = fc.oneof(
    mutated,
    fc.uint8Array({ maxLength: 200 }).map((raw) => Buffer.from(raw)),
    fc.json().map((text) => Buffer.from(text)),
    fc.constant(Buffer.from("[".repeat(60_000))),
    fc.constant(Buffer.from('{"kind":"alive","from":"a","ends":1e400}')),
  );
  fc.assert(
    fc.property(bytes, (data) => {
      const decoded = decodePeerMessage(data);
      if (!decoded.ok) {
        assert.ok(decoded.val.length < 400);
        return;
      }
      assert.deepEqual(decode(decoded.val).unwrap(), decoded.val);
      if (decoded.val.kind === "load") {
        const { running } = mergeCounts([decoded.val.counts, COUNTS]);
        assert.ok(Object.values(running).every(Number.isFinite));
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test("no compressed value makes its decoders throw", () => {
  const value = fc.oneof(
    odd,
    fc.record({ running: odd, waiting: odd, instances: odd }),
    fc.record({ base: odd, records: odd }),
    fc.array(fc.record({
      from: fc.oneof(fc.constant(0), odd),
      to: fc.oneof(fc.constant(7), odd),
      owner: fc.oneof(fc.constant(RANGE.owner), odd),
      former: fc.oneof(fc.constant(RANGE.former), odd),
    })),
  );
  fc.assert(
    fc.property(value, fc.string(), (content, text) => {
      const fragments = encodeValue(content) ?? [];
      const decoded = decodeValue(fragments.map(({ text }) => text).join(""));
      decodeValue(text);
      const counts = toLoadCounts(decoded);
      mergeCounts(counts === undefined ? [] : [counts, COUNTS]);
      toRecordBatch(decoded, 4);
      const patch = parsePatch(decoded);
      patch?.forEach(({ owner }) => assert.equal(typeof owner.id, "string"));
    }),
    { seed: SEED, numRuns: RUNS },
  );
  assert.deepEqual(parsePatch([RANGE]), [RANGE]);
  assert.equal(parsePatch([{ ...RANGE, to: 65_536 }]), undefined);
});
