/**
 * Few of the upstreams' answers to downloads have no length: the end of their
 * connection marks the end of the answer. A router is killed while it passes such
 * an answer on, among others.
 */
import { request } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createRequestId } from "../lib/client.mjs";
import {
  Deployment,
  HOST,
  nowMs,
  Recorder,
  sleep,
} from "../lib/deployment.mjs";
import { AnswerShare, Upstream } from "../lib/upstream.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
/** The largest download of the sheets. */
const BODY_BYTES = 540_000;
const PIECE_BYTES = 18_000;
const PIECE_EVERY_MS = 50;
const UPSTREAMS = 8;
/** Upstreams of which some answers have no length, the share, and how long. */
const UNFRAMED_UPSTREAMS = 4;
const UNFRAMED_SHARE = 0.05;
const WINDOW_MS = 5_000;
const SEND_EVERY_MS = 50;
/** The router is killed this long after an answer without a length has begun. */
const KILL_AFTER_MS = 700;
const DEADLINE_MS = 10_000;

const recorder = new Recorder(dirname(fileURLToPath(import.meta.url)));
const deployment = new Deployment();
const upstreams = [];
const results = [];
const unframed = new AnswerShare(UNFRAMED_SHARE);
let unframedAtMs = Infinity;

function observe(event) {
  if (event.kind === "answer") {
    const length = event.hasLength ? "with its length" : "without a length";
    recorder.add(`${event.upstream} answers ${event.requestId} ${length}`);
    if (!event.hasLength) {
      unframedAtMs = Math.min(unframedAtMs, nowMs());
    }
  }
}

/** Resolves with what an ordinary client makes of the answer. */
function download(router) {
  const requestId = createRequestId();
  recorder.add(`client sends ${requestId}`);
  return new Promise((resolve) => {
    const call = request({
      host: router.ip,
      port: router.frontend,
      path: "/archive/plan",
      headers: {
        Host: HOST,
        "Lentilspur-Request-Id": requestId,
        "Lentilspur-Deadline-Milliseconds": String(DEADLINE_MS),
      },
    }, (response) => {
      let bytes = 0;
      response.on("data", (data) => bytes += data.byteLength);
      const finish = (isComplete) =>
        resolve({
          requestId,
          status: response.statusCode,
          headers: response.headers,
          isComplete,
          bytes,
        });
      response.on("end", () => finish(response.complete));
      response.on("error", () => finish(false));
    });
    call.on(
      "error",
      (error) =>
        resolve({
          requestId,
          status: 0,
          isComplete: false,
          why: error.message,
        }),
    );
    call.end();
  });
}

async function run() {
  await deployment.startStore();
  await deployment.writeConfiguration({
    version: 1,
    routes: {
      archive: {
        host: HOST,
        path_prefix: "/archive/",
        kind: "download",
        service: "archive",
        timeout: "10s",
        target_latency: "3s",
        priority: 1,
        max_attempts: 2,
      },
    },
    services: {
      archive: { max_connections: 570, health_check_path: "/health" },
    },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout: "5s",
      idle_timeout: "15s",
    },
  });
  for (let index = 0; index < UPSTREAMS; index++) {
    const upstream = new Upstream({
      id: `i-${index}`,
      ip: deployment.takeIp(),
      service: "archive",
      zone: "zone-a",
      slots: 4,
      queue: 16,
      keyed: false,
      deployment,
      observe,
      mayRepeat: () => false,
      workMs: () => 100,
      trickle: {
        bytes: BODY_BYTES,
        pieceBytes: PIECE_BYTES,
        everyMs: PIECE_EVERY_MS,
      },
      ...(index < UNFRAMED_UPSTREAMS ? { unframed } : {}),
    });
    await upstream.open();
    upstreams.push(upstream);
  }
  const router = await deployment.startRouter("router-0");
  await deployment.startRouter("router-1");
  await Promise.all(
    deployment.routers.map((one) => deployment.waitUntilReady(one)),
  );
  await sleep(4_000);
  const pending = [];
  const endMs = nowMs() + WINDOW_MS;
  unframed.open();
  while (nowMs() < endMs && router.exit === null) {
    pending.push(download(router));
    await sleep(SEND_EVERY_MS);
    if (HAS_TROUBLE && nowMs() > unframedAtMs + KILL_AFTER_MS) {
      router.child.kill("SIGKILL");
      recorder.add("SIGKILL to router-0");
      break;
    }
  }
  unframed.close();
  results.push(...await Promise.all(pending));
}

function judge() {
  const broken = [];
  for (const { requestId, status, headers, isComplete, bytes } of results) {
    const signature = headers?.["lentilspur-response-signature"];
    recorder.add(
      `client gets ${status} for ${requestId}: ${bytes} bytes, ` +
        `${isComplete ? "complete" : "broken off"}, signature ${signature}, ` +
        `length ${headers?.["content-length"]}, ` +
        `coding ${headers?.["transfer-encoding"]}`,
    );
    if (status === 200 && isComplete && bytes !== BODY_BYTES) {
      broken.push(
        `MIXED: ${requestId} got a complete answer 200 with ${bytes} of ` +
          `${BODY_BYTES} bytes`,
      );
    }
  }
  return broken;
}

let code = 2;
try {
  await run();
  const broken = judge();
  broken.forEach((line) => recorder.say(line));
  recorder.say(
    `${results.length} downloads, ${unframed.taken} of ${unframed.answers} ` +
      `answers without a length, ` +
      `${results.filter(({ isComplete }) => isComplete).length} complete`,
  );
  code = broken.length > 0 ? 1 : unframed.taken > 0 ? 0 : 2;
} catch (error) {
  recorder.say(`The case could not run: ${error.stack}`);
} finally {
  recorder.write();
  upstreams.forEach((upstream) => upstream.close());
  await deployment.end();
  process.exit(code);
}
