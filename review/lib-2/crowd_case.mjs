/**
 * A case in which a crowd of callers uses up the memory of a router. The
 * platform kills a process that exceeds the memory of its machine. Ordinary
 * callers send one request after the other on kept connections; the rule is
 * broken if more than three of them lose the answer to a request that an
 * upstream runs.
 */
import { createServer } from "node:http";
import { connect } from "node:net";
import { Router, Store } from "./deployment.mjs";
import { CaseRecord, sleep } from "./record.mjs";

const MEMORY_CHECK_MS = 10;
/** Upstreams of each service. */
const UPSTREAMS = { till: 8, shelf: 8, stacks: 24 };
const SLOTS = 6;
const WORK_MS = 670;
const CALLERS = 40;
const LEAD_MS = 3_000;
const WAVE_MS = 8_000;
/** "Closes that connection without an answer, more than three times." */
const ALLOWED_LOSSES = 3;
const HOST = "a.example";

export const DEADLINE_MS = 5_000;
export const HEAD_END = "\r\n\r\n";

/** Formats the head of a request; `fields` are further lines of it. */
export function formatHead(method, path, { id, fields }) {
  return [
    `${method} ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `Lentilspur-Request-Id: ${id}`,
    `Lentilspur-Deadline-Milliseconds: ${DEADLINE_MS}`,
    ...fields,
  ].join("\r\n") + HEAD_END;
}

export class CrowdCase {
  #record;
  #limits;
  #hasTrouble;
  #ran = new Set();
  #lost = [];
  #counts = new Map();
  #isOver = false;
  #requests = 0;
  #mostBytes = 0;

  constructor({ recordUrl, limits, hasTrouble }) {
    this.#record = new CaseRecord(recordUrl);
    this.#limits = limits;
    this.#hasTrouble = hasTrouble;
  }

  /**
   * Runs the case. `openCrowd` opens the sockets of one wave of the crowd.
   */
  async run({ waves, openCrowd }) {
    const store = new Store();
    await store.open();
    writeConfiguration(store);
    await openUpstreams(store, (id) => this.#ran.add(id));
    const router = await Router.start({
      storeAddress: store.address,
      limits: this.#limits,
    });
    if (!await router.waitUntilReady()) {
      this.#record.end(2, "the router did not become ready");
    }
    void this.#watchMemory(router);
    await sleep(1_500);
    for (let index = 0; index < CALLERS; index++) {
      this.#runCaller(router.port);
      await sleep(WORK_MS / CALLERS);
    }
    await sleep(LEAD_MS);
    for (let wave = 0; wave < waves && router.end === undefined; wave++) {
      const sockets = this.#hasTrouble ? openCrowd(router.port, wave) : [];
      if (this.#hasTrouble) {
        this.#record.add(`wave ${wave} of the crowd`);
      }
      await Promise.race([sleep(WAVE_MS), router.ended]);
      await sleep(500);
      sockets.forEach((socket) => socket.destroy());
    }
    this.#isOver = true;
    if (router.end !== undefined) {
      this.#record.add(`the process ended: ${JSON.stringify(router.end)}`);
    }
    router.listLog("FATAL").forEach((line) =>
      this.#record.add(`router: ${line}`)
    );
    router.send("SIGKILL");
    await router.ended;
    this.#summarize();
  }

  #summarize() {
    const ends = [...this.#counts].map(([name, count]) => `${name}: ${count}`);
    const lost = this.#lost.length;
    this.#record.end(
      lost > ALLOWED_LOSSES ? 1 : 0,
      `ordinary requests: ${ends.join(", ")}; most memory ${
        toMegabytes(this.#mostBytes)
      } MB; ${lost} requests that an upstream ran lost their answers`,
    );
  }

  /** A caller that sends one request after the other on one connection. */
  #runCaller(port) {
    let id;
    let received = "";
    const socket = connect(port, "127.0.0.1");
    const send = () => {
      if (this.#isOver) {
        socket.destroy();
        return;
      }
      id = `r-${this.#requests++}`;
      received = "";
      const fields = ["Content-Length: 4"];
      socket.write(`${formatHead("POST", "/redeem/a", { id, fields })}code`);
    };
    socket.on("connect", send);
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      received += bytes.toString("latin1");
      const end = received.indexOf(HEAD_END);
      const length = /^content-length: (\d+)/im.exec(received)?.[1];
      if (end < 0 || received.length < end + HEAD_END.length + Number(length)) {
        return;
      }
      const status = received.slice(9, 12);
      this.#counts.set(status, (this.#counts.get(status) ?? 0) + 1);
      id = undefined;
      setTimeout(send, 20 * Math.random());
    });
    socket.on("close", () => {
      if (id !== undefined && !this.#isOver) {
        this.#recordCut(id);
      }
    });
  }

  #recordCut(id) {
    const isRun = this.#ran.has(id);
    this.#record.add(
      `the connection of ${id} ends without an answer${
        isRun ? "; an upstream runs it" : ""
      }`,
    );
    if (isRun) {
      this.#lost.push(id);
    }
  }

  /** Kills the process when it exceeds its memory, as the platform does. */
  async #watchMemory(router) {
    const limitBytes = this.#limits.memoryMb * 1_024 * 1_024;
    while (router.end === undefined && !this.#isOver) {
      const bytes = router.readMemoryBytes() ?? 0;
      this.#mostBytes = Math.max(this.#mostBytes, bytes);
      if (bytes > limitBytes) {
        this.#record.add(
          `the process has ${toMegabytes(bytes)} MB, its machine ${
            toMegabytes(limitBytes)
          } MB: the platform kills it`,
        );
        router.send("SIGKILL");
        return;
      }
      await sleep(MEMORY_CHECK_MS);
    }
  }
}

/** Opens upstreams and registers them; `observeRun` is called with each id. */
async function openUpstreams(store, observeRun) {
  for (const [service, count] of Object.entries(UPSTREAMS)) {
    for (let index = 0; index < count; index++) {
      await openUpstream(service, index, { store, observeRun });
    }
  }
}

async function openUpstream(service, index, { store, observeRun }) {
  const id = `i-${service}-${index}`;
  const running = new Set();
  const server = createServer(
    { maxHeaderSize: 65_536 },
    (request, response) => {
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
        if (running.size >= SLOTS) {
          response.setHeader("Lentilspur-Not-Executed", "1");
          response.writeHead(503).end();
          return;
        }
        running.add(requestId);
        observeRun(requestId);
        await sleep(WORK_MS * (0.5 + Math.random()));
        running.delete(requestId);
        response.setHeader("Lentilspur-Response-Signature", `s-${requestId}`);
        response.setHeader(
          "Lentilspur-Server-Load",
          `${running.size},0,${SLOTS}`,
        );
        response.end("redeemed");
      });
    },
  );
  server.keepAliveTimeout = 10_000;
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  store.register({
    id,
    service,
    zone: "bole",
    slots: SLOTS,
    address: `127.0.0.1:${server.address().port}`,
  });
}

/** Writes a configuration with an unsafe and two safe routes, each to a service of its own. */
function writeConfiguration(store) {
  const route = {
    host: HOST,
    timeout: "3000ms",
    target_latency: "2000ms",
    max_attempts: 2,
  };
  const service = { max_connections: 570, health_check_path: "/health" };
  store.writeConfiguration({
    version: 1,
    routes: {
      redeem: {
        ...route,
        path_prefix: "/redeem/",
        kind: "unsafe",
        priority: 0,
        service: "till",
      },
      list: {
        ...route,
        path_prefix: "/list/",
        kind: "safe",
        priority: 1,
        service: "shelf",
      },
      page: {
        ...route,
        path_prefix: "/page/",
        kind: "safe",
        priority: 1,
        service: "stacks",
      },
    },
    services: { till: service, shelf: service, stacks: service },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout: "3000ms",
      idle_timeout: "15000ms",
    },
  });
}

function toMegabytes(bytes) {
  return Math.round(bytes / 1e6);
}
