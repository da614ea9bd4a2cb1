/**
 * Meters for slopes: live heap, processor time, and bytes on a connection.
 * A slope is the difference between two sizes, so that what a process costs
 * without any of the things measured falls away.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const MICROSECONDS_PER_SECOND = 1e6;

/** Live bytes on the heap and in buffers, after collection. */
export function measureLiveBytes(): number {
  collectGarbage();
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Live bytes that one of `count` things takes; `make` must keep them alive. */
export function measureBytesEach(
  make: (count: number) => unknown,
  counts: { readonly few: number; readonly many: number },
): number {
  const few = measureKept(make, counts.few);
  const many = measureKept(make, counts.many);
  return (many - few) / (counts.many - counts.few);
}

function measureKept(make: (count: number) => unknown, count: number): number {
  const before = measureLiveBytes();
  const kept = make(count);
  const after = measureLiveBytes();
  return kept === undefined ? NaN : after - before;
}

/** Microseconds of this process's processor time. */
export function readProcessorTime(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

/** Microseconds of processor time that one call takes, after a warm-up. */
export async function measureProcessorTimeEach(
  calls: number,
  act: (index: number) => unknown,
): Promise<number> {
  const warmUp = Math.ceil(calls / 4);
  for (let index = 0; index < warmUp; index++) {
    await act(index);
  }
  const before = readProcessorTime();
  for (let index = 0; index < calls; index++) {
    await act(warmUp + index);
  }
  return (readProcessorTime() - before) / calls;
}

/** The same for work without waiting; no cost of promises is counted in. */
export function measureWorkEach(
  calls: number,
  act: (index: number) => unknown,
): number {
  const warmUp = Math.ceil(calls / 4);
  for (let index = 0; index < warmUp; index++) {
    act(index);
  }
  const before = readProcessorTime();
  for (let index = 0; index < calls; index++) {
    act(warmUp + index);
  }
  return (readProcessorTime() - before) / calls;
}

/** Share of one core, in per cent, of so much work in a second. */
export function computeCorePercent(
  timesPerSecond: number,
  microsecondsEach: number,
): number {
  return timesPerSecond * microsecondsEach / MICROSECONDS_PER_SECOND * 100;
}

/** Stands between two ends on loopback and counts the bytes of both ways. */
export class CountingRelay {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #bytes = 0;

  constructor(server: Server) {
    this.#server = server;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Resolves once it listens; `targetPort` is on loopback. */
  static async open(targetPort: number): Promise<CountingRelay> {
    const server = createServer();
    const relay = new CountingRelay(server);
    server.on("connection", (near) => relay.#openPair(near, targetPort));
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    return relay;
  }

  get address(): string {
    const bound = this.#server.address();
    return typeof bound === "object" && bound !== null
      ? `127.0.0.1:${bound.port}`
      : "";
  }

  async close(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #openPair(near: Socket, targetPort: number): void {
    const far = connect(targetPort, "127.0.0.1");
    for (const [from, to] of [[near, far], [far, near]] as const) {
      this.#sockets.add(from);
      from.on("data", (chunk: Uint8Array) => {
        this.#bytes += chunk.length;
        to.write(chunk);
      });
      from.on("close", () => to.destroy());
      from.on("error", () => to.destroy());
    }
  }
}
