import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import fc from "fast-check";
import {
  decodeForwardedRequest,
  decodeForwardReply,
  encodeForwardedRequest,
  encodeForwardReply,
  parseReachQuery,
} from "./forwarded_request.ts";

const REQUEST = {
  from: "i1",
  incarnation: "1",
  requestId: "r1",
  method: "POST",
  host: "files.example",
  path: "/files/1",
  headers: [{ name: "x-text", value: "a" }],
  key: 7,
  service: "files",
  share: { clientAccount: "a", weight: 2 },
  remainingMs: 5_000,
  elapsedMs: 3,
  sends: 0,
  excludedTargets: ["t1"],
  refusingOwner: { targetId: "t2", token: 4 },
  isTrial: false,
};
const ANSWERED = {
  kind: "answered",
  status: 200,
  headers: [{ name: "x-text", value: "a" }],
  isSelfDelimited: true,
};
const NOT_RUN = {
  kind: "not-run",
  cause: "full",
  proof: "refused",
  message: "",
};
const SENT = { kind: "sent", targetId: "t1", isOverdue: false };
const odd = fc.oneof(
  fc.jsonValue(),
  fc.constantFrom<unknown>(null, [null], {}, [{}], 1e300, -1, 2 ** 53, "a"),
);

function encode(fields: unknown): Uint8Array {
  return Buffer.from(`${JSON.stringify(fields)}\nbody`);
}

test("a forwarded message with odd headers, targets or a status that is none is malformed", () => {
  assert.ok(decodeForwardedRequest(encode(REQUEST)) !== undefined);
  const oddRequests = [
    { headers: [null] },
    { headers: [{ name: "a" }] },
    { headers: [{ name: "a b", value: "" }] },
    { excludedTargets: [7] },
    { refusingOwner: {} },
    { share: { clientAccount: 7 } },
    { remainingMs: 1e300 },
    { key: -1 },
  ];
  for (const changes of oddRequests) {
    const decoded = decodeForwardedRequest(encode({ ...REQUEST, ...changes }));
    assert.equal(decoded, undefined, JSON.stringify(changes));
  }
  for (const outcome of [ANSWERED, NOT_RUN]) {
    assert.ok(decodeForwardReply(encode({ ...SENT, outcome })) !== undefined);
  }
  const oddOutcomes = [
    { ...ANSWERED, status: 1e300 },
    { ...ANSWERED, status: "200" },
    { ...ANSWERED, status: 0 },
    { ...ANSWERED, status: 101 },
    { ...ANSWERED, status: 600 },
    { ...ANSWERED, headers: [{ name: "", value: "" }] },
    { ...ANSWERED, headers: [{ name: "a b", value: "" }] },
    { ...ANSWERED, headers: [{ name: "a\0", value: "" }] },
    { ...ANSWERED, headers: [{ name: "a", value: "\r\nb: c" }] },
    { ...ANSWERED, headers: [{ name: "a", value: "\0" }] },
    { ...ANSWERED, headers: [{ name: "a", value: "\u2028" }] },
    { ...ANSWERED, headers: null },
    { ...ANSWERED, headers: [null] },
    { ...NOT_RUN, cause: null },
    { kind: "later" },
    null,
  ];
  for (const outcome of oddOutcomes) {
    const decoded = decodeForwardReply(encode({ ...SENT, outcome }));
    assert.equal(decoded, undefined, JSON.stringify(outcome));
  }
});

test("no forwarded message makes its decoder throw, and what is accepted is stable", () => {
  const replies = [
    { ...SENT, outcome: ANSWERED },
    { ...SENT, outcome: NOT_RUN },
    { kind: "refused", failure: "overloaded", message: "", retryAfterMs: 4 },
    { kind: "unable", reason: "stopping" },
  ];
  const bytes = fc.oneof(
    fc.tuple(fc.constantFrom<object>(REQUEST, ...replies), fc.nat(), odd)
      .map(([message, index, value]) => {
        const names = Object.keys(message);
        return encode({ ...message, [names[index % names.length]!]: value });
      }),
    fc.uint8Array({ maxLength: 200 }),
    fc.constant(Buffer.from(`${"[".repeat(50_000)}\n`)),
  );
  fc.assert(
    fc.property(bytes, (data) => {
      const request = decodeForwardedRequest(data);
      const reply = decodeForwardReply(data);
      parseReachQuery(Buffer.from(data).toString("utf8"));
      if (request !== undefined) {
        const again = decodeForwardedRequest(encodeForwardedRequest(request));
        assert.deepEqual(again, request);
      }
      if (reply !== undefined) {
        encodeForwardReply(reply);
      }
    }),
    {
      seed: Number(process.env["FUZZ_SEED"] ?? 68),
      numRuns: 20 * Number(process.env["FUZZ_RUNS"] ?? 100),
    },
  );
});
