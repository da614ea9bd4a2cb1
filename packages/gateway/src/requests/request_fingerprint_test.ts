import assert from "node:assert/strict";
import { test } from "node:test";
import type { Route } from "@lentilspur/ports/routing_table";
import type { CallerRequest } from "../entry/caller_request.ts";
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

const BY_HOST: Pick<Route, "match"> = {
  match: { kind: "prefix", host: "files.example", pathPrefix: "/files/" },
};
const BY_PATH: Pick<Route, "match"> = {
  match: { kind: "pattern", method: "POST", segments: ["files", null] },
};

test("a retry with another request id has the same fingerprint", () => {
  const repeat = { ...REQUEST, requestId: "a2", deadlineMs: 400 };
  assert.equal(
    computeFingerprint(repeat, BY_HOST),
    computeFingerprint(REQUEST, BY_HOST),
  );
});

test("a retry through another instance's host has the same fingerprint", () => {
  const [one, other] = ["10.0.0.1:80", "10.0.0.2:80"]
    .map((host) => computeFingerprint({ ...REQUEST, host }, BY_PATH));
  assert.equal(one, other);
});

test("requests that differ in content or caller have different fingerprints", () => {
  const others: readonly Partial<CallerRequest>[] = [
    { method: "PUT" },
    { path: "/files/1" },
    { key: 8 },
    { credential: "another" },
    { credential: undefined },
    { body: Buffer.from("other") },
  ];
  const known = others
    .map((changes) => computeFingerprint({ ...REQUEST, ...changes }, BY_HOST));
  const elsewhere = computeFingerprint(REQUEST, {
    match: { kind: "prefix", host: "other.example", pathPrefix: "/files/" },
  });
  const own = computeFingerprint(REQUEST, BY_HOST);
  assert.equal(new Set([own, elsewhere, ...known]).size, others.length + 2);
});
