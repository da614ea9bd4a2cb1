import assert from "node:assert/strict";
import { test } from "node:test";
import type { CallerRequest } from "./caller_request.ts";
import { computeFingerprint } from "./request_fingerprint.ts";

const REQUEST: CallerRequest = {
  requestId: "a1",
  deadlineMs: 1_000,
  key: 7,
  credential: "secret",
  method: "POST",
  host: "files.example",
  path: "/files/1?page=2",
  headers: [],
  body: Buffer.from("body"),
  arrivedAtMs: 0,
  signal: new AbortController().signal,
};

test("a repeat under another id is known again", () => {
  const repeat = { ...REQUEST, requestId: "a2", deadlineMs: 400 };
  assert.equal(computeFingerprint(repeat), computeFingerprint(REQUEST));
});

test("a request that differs in what it asks, or in who asks, is another one", () => {
  const others: readonly Partial<CallerRequest>[] = [
    { method: "PUT" },
    { host: "other.example" },
    { path: "/files/1" },
    { key: 8 },
    { credential: "another" },
    { credential: undefined },
    { body: Buffer.from("other") },
  ];
  const known = others.map((one) => computeFingerprint({ ...REQUEST, ...one }));
  const all = new Set([computeFingerprint(REQUEST), ...known]);
  assert.equal(all.size, others.length + 1);
});
