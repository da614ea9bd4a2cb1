/**
 * Machines freeze for 2.5 s, one at a time. Callers open a connection and send
 * a request that may run once only up to 2.5 s later, which is within
 * `header_timeout`. A request that is answered with 408 must not run.
 */
import { createServer } from "node:http";
import { connect } from "node:net";
import process from "node:process";
import { Router, Store } from "../lib-2/deployment.mjs";
import { CaseRecord, sleep } from "../lib-2/record.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const ZONES = ["bole", "kirkos", "yeka"];
const UPSTREAMS = 9;
const SLOTS = 4;
const WORK_MS = 370;
/** Route and callers as those of `repair-bookings`: 5 a second and machine. */
const REQUESTS_PER_SECOND = 15;
const DEADLINE_MS = 8_000;
const TIMEOUT_MS = 4_000;
const HEADER_TIMEOUT_MS = 3_000;
/** From the open connection to the request. */
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 2_500;
/** Below the dose of 3.5 s; one machine of a few. */
const FREEZE_MS = 2_500;
const BETWEEN_FREEZES_MS = 4_000;
const FREEZES = 9;
/** These statuses promise that the request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);
/**
 * One way between callers and machines; the case runs on loopback, so that the
 * caller closes its connection this much later in both directions.
 */
const CALLER_LINK_MS = 8;
const HEAD_END = "\r\n\r\n";

const record = new CaseRecord(new URL("record.txt", import.meta.url));
const ranAtMs = new Map();
const promised = new Map();
const counts = new Map();

async function openUpstream(index, store) {
  const id = `i-${index}`;
  let running = 0;
  const server = createServer((request, response) => {
    request.resume();
    request.once("end", async () => {
      const requestId = request.headers["lentilspur-request-id"];
      response.setHeader("Lentilspur-Instance-Id", id);
      if (requestId === undefined) {
        // A health check.
        response.end();
        return;
      }
      response.setHeader("Lentilspur-Request-Id", requestId);
      if (running >= SLOTS) {
        response.setHeader("Lentilspur-Not-Executed", "1");
        response.writeHead(503).end();
        return;
      }
      running++;
      ranAtMs.set(requestId, record.readMs());
      if (promised.has(requestId)) {
        record.add(`upstream ${id} begins to run ${requestId}`);
      }
      await sleep(WORK_MS * (0.5 + Math.random()));
      running--;
      response.setHeader("Lentilspur-Response-Signature", `s-${requestId}`);
      response.setHeader("Lentilspur-Server-Load", `${running},0,${SLOTS}`);
      response.end("booked");
    });
  });
  server.keepAliveTimeout = 10_000;
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  store.register({
    id,
    service: "booking-desk",
    zone: ZONES[index % ZONES.length],
    slots: SLOTS,
    address: `127.0.0.1:${server.address().port}`,
  });
}

/** Opens a connection, and sends one request on it after the pause. */
function sendRequest(port, id, pauseMs) {
  return new Promise((resolve) => {
    // Otherwise it would close its side as soon as the machine does.
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    let received = "";
    let hasSent = false;
    const timer = setTimeout(() => {
      if (received !== "" || socket.destroyed) {
        return;
      }
      hasSent = true;
      socket.write(
        `POST /book/a HTTP/1.1\r\nHost: a.example\r\n` +
          `Lentilspur-Request-Id: ${id}\r\n` +
          `Lentilspur-Deadline-Milliseconds: ${DEADLINE_MS}\r\n` +
          `Content-Length: 4${HEAD_END}body`,
      );
      setTimeout(() => socket.destroy(), DEADLINE_MS);
    }, pauseMs);
    socket.on("data", (bytes) => {
      received += bytes.toString("latin1");
      if (received.includes(HEAD_END)) {
        setTimeout(() => socket.destroy(), 2 * CALLER_LINK_MS);
      }
    });
    socket.on(
      "end",
      () => setTimeout(() => socket.destroy(), 2 * CALLER_LINK_MS),
    );
    socket.on("error", () => {});
    socket.on("close", () => {
      clearTimeout(timer);
      resolve(
        hasSent ? Number(received.slice(9, 12)) || "no answer" : "not sent",
      );
    });
  });
}

function judge(id, end) {
  counts.set(end, (counts.get(end) ?? 0) + 1);
  if (PROMISES.has(end)) {
    promised.set(id, end);
    if (end === 408) {
      const ran = ranAtMs.has(id) ? "; it has begun to run" : "";
      record.add(`caller gets ${end} for ${id}${ran}`);
    }
  }
}

async function freezeInTurn(routers) {
  for (let index = 0; index < FREEZES; index++) {
    await sleep(BETWEEN_FREEZES_MS);
    const number = index % routers.length;
    record.add(`machine ${number} freezes`);
    routers[number].send("SIGSTOP");
    await sleep(FREEZE_MS);
    routers[number].send("SIGCONT");
    record.add(`machine ${number} wakes`);
  }
}

const store = new Store();
await store.open();
store.writeConfiguration({
  version: 1,
  routes: {
    book: {
      host: "a.example",
      path_prefix: "/book/",
      kind: "unsafe",
      timeout: `${TIMEOUT_MS}ms`,
      target_latency: "1200ms",
      priority: 1,
      max_attempts: 2,
      service: "booking-desk",
    },
  },
  services: {
    "booking-desk": { max_connections: 130, health_check_path: "/health" },
  },
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 67_108_864,
    header_timeout: `${HEADER_TIMEOUT_MS}ms`,
    idle_timeout: "15000ms",
  },
});
for (let index = 0; index < UPSTREAMS; index++) {
  await openUpstream(index, store);
}
const routers = await Promise.all(ZONES.map((zone) =>
  Router.start({
    storeAddress: store.address,
    name: `frontend-${zone}-1`,
    zone,
  })
));
const ready = await Promise.all(routers.map((one) => one.waitUntilReady()));
if (ready.includes(false)) {
  record.end(2, "a router did not become ready");
}
await sleep(1_500);
const loadMs = FREEZES * (FREEZE_MS + BETWEEN_FREEZES_MS) + 1_000;
const freezes = HAS_TROUBLE ? freezeInTurn(routers) : undefined;
const open = [];
const startedAtMs = record.readMs();
for (let index = 0; record.readMs() - startedAtMs < loadMs; index++) {
  const id = `r-${index}`;
  const { port } = routers[index % routers.length];
  const pauseMs = MIN_PAUSE_MS +
    Math.random() * (MAX_PAUSE_MS - MIN_PAUSE_MS);
  open.push(sendRequest(port, id, pauseMs).then((end) => judge(id, end)));
  await sleep(
    startedAtMs + (index + 1) * 1_000 / REQUESTS_PER_SECOND - record.readMs(),
  );
}
await Promise.all(open);
await freezes;
await sleep(1_000);
const broken = [...promised].filter(([id]) => ranAtMs.has(id));
for (const [id, status] of broken) {
  record.add(`${id} was answered with ${status} and has run`);
}
for (const [id] of broken.slice(0, 2)) {
  routers.flatMap((one) => one.listLog(`"${id}"`))
    .forEach((line) => record.add(`router: ${line}`));
}
routers.forEach((one) => one.send("SIGKILL"));
const ends = [...counts].map(([name, count]) => `${name}: ${count}`).join(", ");
record.end(
  broken.length > 0 ? 1 : 0,
  `${open.length} connections (${ends}); ${broken.length} requests were refused and have run`,
);
