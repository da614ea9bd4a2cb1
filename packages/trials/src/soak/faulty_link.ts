/**
 * A proxy on loopback between a process and one that it connects to, which
 * fails as a network does: it delays, resets, or falls silent one way or both.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

export type LinkFaultMode =
  | "passing"
  /** Bytes and new connections go nowhere; those that are open stay open. */
  | "silent"
  /** What the far end says does not arrive. */
  | "deaf"
  /** Every connection is reset, new ones too. */
  | "resetting"
  /** All bytes come some 200 ms late. */
  | "delaying";

const DELAY_MS = 200;

export class FaultyLink {
  readonly #target: string;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #faultMode: LinkFaultMode = "passing";
  /** Pieces that wait for the link to pass again. */
  #blockedTransfers: (() => void)[] = [];

  constructor(target: string) {
    this.#target = target;
    this.#server = createServer((near) => this.#openConnection(near));
  }

  /** Listens and gives the address to connect to. */
  async open(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Pieces that were held up arrive when the link passes again. */
  setFaultMode(mood: LinkFaultMode): void {
    this.#faultMode = mood;
    if (mood === "resetting") {
      this.#blockedTransfers = [];
      this.#sockets.forEach((socket) => socket.resetAndDestroy());
    }
    if (mood === "passing") {
      this.#blockedTransfers.splice(0).forEach((release) => release());
    }
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #openConnection(near: Socket): void {
    if (this.#faultMode === "resetting") {
      near.resetAndDestroy();
      return;
    }
    const [host = "", port = ""] = this.#target.split(":");
    const far = connect(Number(port), host);
    this.#forward(near, far, ["silent"]);
    this.#forward(far, near, ["silent", "deaf"]);
  }

  #forward(
    from: Socket,
    to: Socket,
    holding: readonly LinkFaultMode[],
  ): void {
    this.#sockets.add(from);
    from.on("data", (bytes) => this.#transfer(() => to.write(bytes), holding));
    from.on("end", () => this.#transfer(() => to.end(), holding));
    // The other end sees a reset as a reset.
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => this.#sockets.delete(from));
  }

  #transfer(release: () => void, holding: readonly LinkFaultMode[]): void {
    if (holding.includes(this.#faultMode)) {
      this.#blockedTransfers.push(release);
    } else if (this.#faultMode === "delaying") {
      setTimeout(release, DELAY_MS);
    } else {
      release();
    }
  }
}
