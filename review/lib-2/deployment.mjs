/**
 * Starts the router with the command of the deploy file, in front of the
 * project's stand-in of the store, with settings like those of a machine of
 * `sites/abay-recovery.toml`.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { SystemClock } from "../../packages/ports/dist/system_clock.js";
import { findPort } from "../../platform/dist/standins/free_port.js";
import { StoreServer } from "../../platform/dist/standins/store_server.js";
import { sleep } from "./record.mjs";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const READY_TIMEOUT_MS = 20_000;
const HEARTBEAT_MS = 870;
const CONFIGURATION = { topic: "keyed.op", part: 0 };
const SERVERS = { topic: "keyed.servers", part: 0 };

/** A machine of `sites/abay-recovery.toml`. */
const ABAY_LIMITS = { cpuShare: 0.54, memoryMb: 350, descriptors: 4_100 };

/** Returns the words of `run` in the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.+)"$/m.exec(text)[1].split(" ");
}

export class Store {
  #server = new StoreServer(new SystemClock());
  address = "";

  async open() {
    this.address = await this.#server.open();
  }

  /** Writes a configuration as the operator does. */
  writeConfiguration(configuration) {
    this.#server.store.write(
      CONFIGURATION,
      "config",
      JSON.stringify(configuration),
    );
  }

  /** Registers an upstream, as it does itself at every heartbeat. */
  register({ id, service, zone, slots, address }) {
    const born = Date.now();
    let sequence = 0;
    const write = () =>
      this.#server.store.write(
        SERVERS,
        id,
        JSON.stringify({
          born,
          address,
          server_info: { service, zone, version: "1", slots },
          status: { state: "ready", cold_remaining: "0ms", sequence },
        }),
      );
    write();
    setInterval(() => {
      sequence++;
      write();
    }, HEARTBEAT_MS);
  }
}

/** One process of the router. */
export class Router {
  port = 0;
  readyPort = 0;
  /** Undefined while it runs. */
  end;
  ended;
  #child;
  #directory;
  #output = "";

  constructor(child, ports, directory) {
    this.port = ports.request;
    this.readyPort = ports.ready;
    this.#child = child;
    this.#directory = directory;
    const collect = (bytes) => this.#output += bytes;
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    process.once("exit", () => child.kill("SIGKILL"));
    this.ended = once(child, "exit").then(([code, signal]) => {
      this.end = { code, signal };
      rmSync(directory, { recursive: true, force: true });
      return this.end;
    });
  }

  static async start({
    storeAddress,
    name = "frontend-bole-1",
    zone = "bole",
    limits = ABAY_LIMITS,
  }) {
    const ports = {
      request: await findPort(),
      ready: await findPort(),
      peer: await findPort(),
      metrics: await findPort(),
    };
    const directory = mkdtempSync(join(tmpdir(), "review-"));
    const settings = join(directory, "settings.toml");
    writeFileSync(
      settings,
      formatSettings({ name, zone, ports, storeAddress, limits }),
    );
    const [program, ...args] = readCommand();
    const child = spawn(
      program === "node" ? process.execPath : program,
      args,
      {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          LENTILSPUR_CONFIG: settings,
          LENTILSPUR_METRICS_PORT: String(ports.metrics),
        },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    return new Router(child, ports, directory);
  }

  /** Resident memory of the process; undefined after its end. */
  readMemoryBytes() {
    try {
      const status = readFileSync(`/proc/${this.#child.pid}/status`, "utf8");
      const [, kilobytes] = /^VmRSS:\s+(\d+) kB$/m.exec(status) ?? [];
      return kilobytes === undefined ? undefined : 1_024 * Number(kilobytes);
    } catch {
      return undefined;
    }
  }

  send(signal) {
    this.#child.kill(signal);
  }

  /** Lines of the router's log that contain a text. */
  listLog(text) {
    return this.#output.split("\n").filter((line) => line.includes(text));
  }

  isReady() {
    return new Promise((resolve) => {
      const sent = get(
        { host: "127.0.0.1", port: this.readyPort, path: "/readiness" },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      sent.on("error", () => resolve(false));
    });
  }

  /** Returns whether it is ready in time. */
  async waitUntilReady() {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < untilMs && this.end === undefined) {
      if (await this.isReady()) {
        return true;
      }
      await sleep(50);
    }
    return false;
  }
}

function formatSettings({ name, zone, ports, storeAddress, limits }) {
  return `node_name = "${name}"
role = "router"
machine_class = "frontend"
serves = ["frontend"]
ip_address = "127.0.0.1"
zone = "${zone}"
region = "addis"
internal_port_range = [${ports.peer}, ${ports.peer}]
heartbeat_interval = "870ms"
[listen_addresses]
frontend = "127.0.0.1:${ports.request}"
ready = "127.0.0.1:${ports.ready}"
[limits]
cpu_share = ${limits.cpuShare}
cpu_cores = 1
memory_mb = ${limits.memoryMb}
file_descriptors = ${limits.descriptors}
[bounds]
drain = "2000ms"
grace_period = "6s"
retry_budget_ratio = 0.2
budget_window = "10s"
retry_budget_slack = 64
max_hold = "10000ms"
[platform]
address = "${storeAddress}"
parts = 8
min_ttl = "1000ms"
`;
}
