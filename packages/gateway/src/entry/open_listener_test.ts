import assert from "node:assert/strict";
import { createServer } from "node:http";
import { test } from "node:test";
import { openListener } from "./open_listener.ts";

test("a connection that cannot be accepted does not end the process", async () => {
  const server = createServer();
  const faults: string[] = [];
  await openListener(server, {
    host: "127.0.0.1",
    port: 0,
    reportFault: (message) => faults.push(message),
  });
  server.emit("error", new Error("accept EMFILE"));
  server.emit("error", new Error("accept EMFILE"));
  server.close();
  assert.equal(faults.length, 2);
  assert.match(faults[0]!, /accept EMFILE/);
});
