/**
 * An entry server in a process of its own, for tests that end the process while
 * it passes on responses. All requests go to the target whose port is given as
 * an argument. The parent learns the port of the server and when all requests
 * are answered, and may order the process to stop.
 */
import { SystemClock } from "@lentilspur/ports/system_clock";
import { ConnectionPool } from "@lentilspur/transport/connection_pool";
import { ReadAheadBudget } from "@lentilspur/transport/read_ahead_budget";
import { MemoryAccount } from "@lentilspur/transport/memory_account";
import { RequestBodies } from "./request_bodies.ts";
import { RequestServer } from "./request_server.ts";

/** Sent to the parent. */
export type ProcessReport =
  | { readonly kind: "listening"; readonly port: number }
  | { readonly kind: "idle" };
/** Received from the parent: stop as at the end of the grace period. */
export type ProcessOrder = "stop";
/** How responses are read; the argument after the port. */
export type ReadMode =
  | "ahead"
  /** There is no memory to read ahead. */
  | "in-parts"
  /** As a peer reads the response to a forwarded request. */
  | "whole";

const [, , port, mode] = process.argv;
const CHECK_INTERVAL_MS = 5;
const TIMEOUT_MS = 60_000;
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

let hasRequests = false;
const clock = new SystemClock();
const pool = new ConnectionPool(`127.0.0.1:${port}`, {
  clock,
  maxConnections: 10,
  connectTimeoutMs: TIMEOUT_MS,
  maxIdleMs: TIMEOUT_MS,
});
const readAhead = new ReadAheadBudget(
  mode === "in-parts" ? 0 : 2 * MAX_RESPONSE_BYTES,
);
const server = new RequestServer({
  maxConnections: Infinity,
  observeClosedConnection: () => undefined,
  observeLateCaller: () => undefined,
  bodies: new RequestBodies({
    memory: new MemoryAccount(Infinity),
    observeRefusal: () => undefined,
  }),
  clock,
  host: "127.0.0.1",
  port: 0,
  readStallMs: () => 0,
  readTotalStallMs: () => 0,
  parseMetadata: () => ({
    requestId: "1",
    deadlineMs: undefined,
    key: undefined,
    credential: undefined,
  }),
  isIdempotent: () => true,
  handle: async () => {
    hasRequests = true;
    const sent = await pool.send({
      method: "GET",
      path: "/",
      timeoutMs: TIMEOUT_MS,
      maxResponseBytes: MAX_RESPONSE_BYTES,
      acceptsCloseDelimited: true,
      ...(mode === "whole" ? {} : { readAhead }),
    });
    return sent.ok
      ? { kind: "answered", ...sent.val }
      : { kind: "failed", failure: "answer-lost", message: "" };
  },
  observeDelivery: () => undefined,
  reportFailure: () => undefined,
  reportFault: () => undefined,
});
await server.open();
sendReport({ kind: "listening", port: server.port });
process.on("message", (order: ProcessOrder) => {
  switch (order) {
    case "stop":
      void server.close();
      process.exit(0);
  }
});
process.on("disconnect", () => process.exit(0));
setInterval(() => {
  if (hasRequests && server.openRequests === 0) {
    hasRequests = false;
    sendReport({ kind: "idle" });
  }
}, CHECK_INTERVAL_MS);

function sendReport(report: ProcessReport): void {
  process.send?.(report);
}
