/**
 * Upstreams whose answers have no length and end with their connections. Half
 * of the upstreams reset two connections in a hundred in the middle of the
 * answer. A caller must not get such an answer as a whole one.
 */
import { connect, createServer } from "node:net";
import process from "node:process";
import { Router, Store } from "../lib-2/deployment.mjs";
import { CaseRecord, sleep } from "../lib-2/record.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
/** The doses of `fleetbench kinds`: share (.5) spoil x (.02) of their answers. */
const SPOILING_SHARE = 0.5;
const SPOILED_SHARE = 0.02;
const UPSTREAMS = 8;
const SLOTS = 2;
const WORK_MS = 40;
const REQUESTS_PER_SECOND = 100;
const LOAD_MS = 20_000;
const DEADLINE_MS = 1_500;
const MIN_BODY_BYTES = 1_000;
const MAX_BODY_BYTES = 30_000;
const HEAD_END = "\r\n\r\n";

const record = new CaseRecord(new URL("record.txt", import.meta.url));
/** Whole bodies of the answers, by signature. */
const wholeBytes = new Map();
const runs = new Map();
let resets = 0;
let signatures = 0;

function findHeader(head, name) {
  return new RegExp(`^${name}: *(.*)$`, "im").exec(head)?.[1];
}

/** Calls `handle` with the head of each request, after its body has come. */
function readRequests(socket, handle) {
  let received = "";
  socket.on("data", (bytes) => {
    received += bytes.toString("latin1");
    for (;;) {
      const end = received.indexOf(HEAD_END);
      const head = received.slice(0, end);
      const bodyBytes = Number(findHeader(head, "content-length") ?? 0);
      const size = end + HEAD_END.length + bodyBytes;
      if (end < 0 || received.length < size) {
        return;
      }
      received = received.slice(size);
      handle(head);
    }
  });
}

async function answerRequest(socket, head, upstream) {
  const instance = `Lentilspur-Instance-Id: ${upstream.id}\r\n`;
  const id = findHeader(head, "lentilspur-request-id");
  if (id === undefined) {
    // A health check.
    socket.write(`HTTP/1.1 200 OK\r\n${instance}Content-Length: 0${HEAD_END}`);
    return;
  }
  if (upstream.running >= SLOTS) {
    socket.write(
      `HTTP/1.1 503 Full\r\n${instance}Lentilspur-Request-Id: ${id}\r\n` +
        `Lentilspur-Not-Executed: 1\r\nContent-Length: 0${HEAD_END}`,
    );
    return;
  }
  upstream.running++;
  runs.set(id, (runs.get(id) ?? 0) + 1);
  await sleep(WORK_MS * (0.5 + Math.random()));
  upstream.running--;
  const signature = `sig-${++signatures}`;
  const size = MIN_BODY_BYTES +
    Math.floor(Math.random() * (MAX_BODY_BYTES - MIN_BODY_BYTES));
  wholeBytes.set(signature, size);
  const answerHead =
    `HTTP/1.1 200 OK\r\nLentilspur-Request-Id: ${id}\r\n${instance}` +
    `Lentilspur-Response-Signature: ${signature}\r\n` +
    `Connection: close${HEAD_END}`;
  upstream.answers++;
  const isReset = HAS_TROUBLE && upstream.isSpoiling &&
    Math.random() < SPOILED_SHARE;
  if (!isReset) {
    socket.end(answerHead + "a".repeat(size));
    return;
  }
  const sent = Math.floor(size * (0.1 + 0.8 * Math.random()));
  socket.write(answerHead + "a".repeat(sent), () => socket.resetAndDestroy());
  resets++;
  record.add(
    `upstream ${upstream.id} resets ${id} (${signature}) after ${sent} of ${size} bytes`,
  );
}

async function openUpstream(index, store) {
  const upstream = {
    id: `i-${index}`,
    isSpoiling: index < UPSTREAMS * SPOILING_SHARE,
    running: 0,
    answers: 0,
  };
  const server = createServer((socket) => {
    socket.setNoDelay(true);
    socket.on("error", () => {});
    readRequests(socket, (head) => void answerRequest(socket, head, upstream));
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  store.register({
    id: upstream.id,
    service: "casefile",
    zone: "bole",
    slots: SLOTS,
    address: `127.0.0.1:${server.address().port}`,
  });
}

/** Sends one request on a new connection, and reads its answer to the end. */
function sendRequest(port, id, isRead) {
  return new Promise((resolve) => {
    const parts = [];
    let failure;
    const socket = connect(port, "127.0.0.1");
    const timer = setTimeout(() => {
      failure = "deadline";
      socket.destroy();
    }, DEADLINE_MS);
    socket.on("data", (bytes) => parts.push(bytes));
    socket.on("error", (error) => failure = error.code);
    socket.on("close", () => {
      clearTimeout(timer);
      resolve({ failure, bytes: Buffer.concat(parts) });
    });
    socket.write(
      `${isRead ? "GET /read/a" : "POST /write/a"} HTTP/1.1\r\n` +
        `Host: a.example\r\nLentilspur-Request-Id: ${id}\r\n` +
        `Lentilspur-Deadline-Milliseconds: ${DEADLINE_MS}\r\n` +
        `${isRead ? "" : "Content-Length: 4\r\n"}Connection: close` +
        `${HEAD_END}${isRead ? "" : "body"}`,
    );
  });
}

/** Whether the answer is complete as HTTP/1.1 says. */
function isComplete(head, body, failure) {
  const length = findHeader(head, "content-length");
  if (length !== undefined) {
    return body.length === Number(length);
  }
  return findHeader(head, "transfer-encoding") === undefined
    ? failure === undefined
    : body.subarray(-5).toString() === "0\r\n\r\n";
}

const counts = new Map();
const broken = [];

function judge(id, { failure, bytes }) {
  const end = bytes.indexOf(HEAD_END);
  const head = bytes.subarray(0, Math.max(0, end)).toString("latin1");
  const body = bytes.subarray(end + HEAD_END.length);
  const status = Number(head.slice(9, 12));
  const signature = findHeader(head, "lentilspur-response-signature");
  const isSuccess = end >= 0 && status >= 200 && status < 300 &&
    isComplete(head, body, failure);
  const name = isSuccess ? "success" : failure ?? `status ${status}`;
  counts.set(name, (counts.get(name) ?? 0) + 1);
  if (isSuccess && body.length !== wholeBytes.get(signature)) {
    broken.push(id);
    record.add(
      `caller gets ${id} as a success (${signature}) with ${body.length} of ${
        wholeBytes.get(signature)
      } bytes, ended in order`,
    );
  }
}

const store = new Store();
await store.open();
const route = {
  host: "a.example",
  timeout: "1400ms",
  target_latency: "400ms",
  priority: 0,
  max_attempts: 2,
  service: "casefile",
};
store.writeConfiguration({
  version: 1,
  routes: {
    read: { ...route, path_prefix: "/read/", kind: "safe" },
    write: { ...route, path_prefix: "/write/", kind: "unsafe" },
  },
  services: {
    casefile: { max_connections: 130, health_check_path: "/health" },
  },
  limits: { idle_timeout: "10s" },
});
for (let index = 0; index < UPSTREAMS; index++) {
  await openUpstream(index, store);
}
const router = await Router.start({ storeAddress: store.address });
if (!await router.waitUntilReady()) {
  record.end(2, "the router did not become ready");
}
await sleep(1_000);
const open = [];
const startedAtMs = record.readMs();
for (let index = 0; record.readMs() - startedAtMs < LOAD_MS; index++) {
  const id = `r-${index}`;
  open.push(
    sendRequest(router.port, id, index % 2 === 0)
      .then((answer) => judge(id, answer)),
  );
  await sleep(
    startedAtMs + (index + 1) * 1_000 / REQUESTS_PER_SECOND - record.readMs(),
  );
}
await Promise.all(open);
for (const id of broken.slice(0, 3)) {
  router.listLog(`"${id}"`).forEach((line) => record.add(`router: ${line}`));
}
router.send("SIGKILL");
await router.ended;
const ends = [...counts].map(([name, count]) => `${name}: ${count}`).join(", ");
record.end(
  broken.length > 0 ? 1 : 0,
  `${open.length} requests (${ends}); ${resets} answers reset; ${broken.length} of them passed on as whole`,
);
