import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { LogClient } from "./log_client.ts";

test("a read on a connection that has gone silent is followed by one that works", async () => {
  // The log's connection goes silent for good in the middle of a long poll;
  // new ones work. An instance that waited on the old one would never again
  // see a publication.
  const silent = new Set<Socket>();
  const server = createServer((request, response) => {
    if (silent.size === 0) {
      silent.add(request.socket);
    }
    if (!silent.has(request.socket)) {
      response.end(JSON.stringify({ records: [], nextOffset: 7 }));
    }
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const log = new LogClient(`http://127.0.0.1:${port}`, {
    clock: new SystemClock(),
    readTimeoutMs: 100,
  });
  const lost = await log.read("s", 0, { waitMs: 50 });
  const found = await log.read("s", 0, { waitMs: 10_000 });
  log.close();
  server.closeAllConnections();
  server.close();
  assert.ok(!lost.ok && lost.val.kind === "unavailable");
  assert.deepEqual(found.unwrap(), { records: [], nextOffset: 7 });
});
