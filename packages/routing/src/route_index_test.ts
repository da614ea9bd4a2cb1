import assert from "node:assert/strict";
import { test } from "node:test";
import type { Route } from "@lentilspur/ports/routing_table";
import { RouteIndex } from "./route_index.ts";

function createRoute(name: string, pathPrefix: string): Route {
  return {
    name,
    match: { kind: "prefix", host: "a.example", pathPrefix },
    idempotent: true,
    timeoutMs: 1_000,
    goalMs: 200,
    maxAttempts: 2,
    priority: 0,
    parts: [{ service: "files", weight: 1 }],
  };
}

function createPattern(
  name: string,
  method: string,
  segments: readonly (string | null)[],
): Route {
  return {
    ...createRoute(name, "/"),
    match: { kind: "pattern", method, segments },
  };
}

function matchName(
  index: RouteIndex,
  host: string,
  path: string,
): string | undefined {
  return index.match({ method: "GET", host, path })?.route.name;
}

test("the longest prefix of the host's routes wins, whatever their order", () => {
  const index = new RouteIndex([
    createRoute("short", "/a/"),
    createRoute("long", "/a/b/"),
  ]);
  assert.equal(matchName(index, "a.example", "/a/b/c?x=/a/"), "long");
  assert.equal(matchName(index, "A.example:8080", "/a/c"), "short");
  assert.equal(matchName(index, "b.example", "/a/b/c"), undefined);
  assert.equal(matchName(index, "a.example", "/b?x=/a/"), undefined);
});

test("a pattern matches its method, its literal segments and one key", () => {
  const index = new RouteIndex([
    createPattern("read", "GET", ["case-files", null]),
    createPattern("lodge", "POST", ["case-files", null, "demands"]),
  ]);
  const match = (method: string, path: string) =>
    index.match({ method, host: "any", path });
  assert.deepEqual(
    [match("GET", "/case-files/7?x=1"), match("POST", "/case-files/7/demands")]
      .map((hit) => [hit?.route.name, hit?.keyText]),
    [["read", "7"], ["lodge", "7"]],
  );
  for (
    const [method, path] of [
      ["POST", "/case-files/7"],
      ["GET", "/case-files/"],
      ["GET", "/case-files/7/"],
      ["POST", "/case-files/7/other"],
    ] as const
  ) {
    assert.equal(match(method, path), undefined, `${method} ${path}`);
  }
});
