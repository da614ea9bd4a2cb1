import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { test } from "node:test";
import type { SendOutcome } from "@lentilspur/ports/request_sender";
import type { Clock } from "@lentilspur/ports/clock";
import { injectFreeze } from "@lentilspur/ports/process_freeze";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { OverdueResponses } from "./overdue_responses.ts";
import type { RequestContext } from "./request_context.ts";
import { SendAbortController } from "./send_abort_controller.ts";

const EXPECTED_MS = 100;
const GOAL_MS = 1_500;
const TIMEOUT_MS = 3_000;
/** Longer than an expected response takes, and shorter than the deadline. */
const FREEZE_MS = 1_000;

const RESPONSE: SendOutcome = {
  kind: "answered",
  status: 200,
  headers: [],
  body: new Uint8Array(0),
  isSelfDelimited: true,
};

interface Situation {
  readonly expectedMs?: number;
  readonly idempotent?: boolean;
  /** Responses of the route before the send. */
  readonly knownResponses?: number;
  /** When a place becomes free. */
  readonly roomAtMs?: number;
  readonly hasBudget?: boolean;
}

/** Watches a send that has just begun. */
function watchSend(
  clock: Clock,
  {
    expectedMs = EXPECTED_MS,
    idempotent = true,
    knownResponses = 100,
    roomAtMs = 0,
    hasBudget = true,
  }: Situation = {},
): SendAbortController {
  const startMs = clock.readMs();
  const overdue = new OverdueResponses({
    clock,
    services: {
      estimateResponseMs: () => expectedMs,
      hasRoom: () => clock.readMs() - startMs >= roomAtMs,
    },
    paths: { checkOverdue: () => undefined },
    stopAdmission: { isStopping: false },
  }, () => hasBudget);
  const abortController = new SendAbortController(new AbortController().signal);
  const context = {
    request: { arrivedAtMs: startMs },
    service: "files",
    route: { name: "files", idempotent, goalMs: GOAL_MS, maxAttempts: 2 },
    deadlineAtMs: startMs + TIMEOUT_MS,
    isTrial: false,
    sends: 1,
    unreachableSends: 0,
  } as unknown as RequestContext;
  for (let count = 0; count < knownResponses; count++) {
    overdue.recordOutcome(context, RESPONSE, {
      elapsedMs: expectedMs,
      expectedMs,
      isOverdue: false,
    });
  }
  overdue.watch(context, {
    target: {} as never,
    owner: undefined,
    abortController,
  });
  return abortController;
}

/** Returns when a send without a response is given up, if it ever is. */
async function findAbortMs(
  situation: Situation,
): Promise<number | undefined> {
  const clock = new VirtualClock();
  const startMs = clock.readMs();
  let abortedAtMs: number | undefined;
  watchSend(clock, situation).signal.addEventListener("abort", () => {
    abortedAtMs = clock.readMs() - startMs;
  });
  await clock.advance(TIMEOUT_MS);
  return abortedAtMs;
}

test("a send on a route of unknown response times is not given up before its goal", async () => {
  assert.equal(await findAbortMs({ knownResponses: 3 }), GOAL_MS);
});

test("a send whose response is lost is given up after a multiple of the usual time", async () => {
  assert.equal(await findAbortMs({}), 4 * EXPECTED_MS);
});

test("a send is given up at its goal if the deadline comes before a multiple of the usual time", async () => {
  const abortedAtMs = await findAbortMs({ expectedMs: 500 });
  assert.equal(abortedAtMs, GOAL_MS);
});

test("a send goes on while no target has room for another one", async () => {
  const abortedAtMs = await findAbortMs({ roomAtMs: 1_000 });
  assert.ok(abortedAtMs !== undefined && abortedAtMs >= 1_000);
});

test("a send goes on if another one would end after the deadline", async () => {
  const roomAtMs = TIMEOUT_MS - EXPECTED_MS / 2;
  assert.equal(await findAbortMs({ roomAtMs }), undefined);
});

test("a send goes on if it may run once only, or the budget is used up", async () => {
  assert.equal(await findAbortMs({ idempotent: false }), undefined);
  assert.equal(await findAbortMs({ hasBudget: false }), undefined);
});

test("a send whose response arrives while the process stands still is not given up as overdue", async (context) => {
  const target = createServer().listen(0, "127.0.0.1");
  await once(target, "listening");
  const { port } = target.address() as AddressInfo;
  const connection = connect(port, "127.0.0.1");
  const [socket] = await once(target, "connection");
  context.after(() => {
    connection.destroy();
    target.close();
  });
  const send = watchSend(new SystemClock());
  const received = once(connection, "data").then(() => send.stop());
  await injectFreeze(FREEZE_MS, () => socket.write("response"));
  await received;
  assert.equal(send.isOverdue(), false);
});
