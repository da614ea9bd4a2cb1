import assert from "node:assert/strict";
import { test } from "node:test";
import type { Route } from "@lentilspur/ports/routing_table";
import { RouteIndex } from "./route_index.ts";

function createRoute(name: string, pathPrefix: string): Route {
  return {
    name,
    host: "a.example",
    pathPrefix,
    idempotent: true,
    timeoutMs: 1_000,
    goalMs: 200,
    maxAttempts: 2,
    rank: 0,
    parts: [{ service: "files", weight: 1 }],
  };
}

test("the longest prefix of the host's routes wins, whatever their order", () => {
  const index = new RouteIndex([
    createRoute("short", "/a/"),
    createRoute("long", "/a/b/"),
  ]);
  assert.equal(index.match("a.example", "/a/b/c?x=/a/")?.name, "long");
  assert.equal(index.match("A.example:8080", "/a/c")?.name, "short");
  assert.equal(index.match("b.example", "/a/b/c"), undefined);
  assert.equal(index.match("a.example", "/b?x=/a/"), undefined);
});
