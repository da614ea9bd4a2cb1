/**
 * Implements a TCP proxy on loopback that injects network faults between a
 * process and the address that it connects to: delays, resets, and blocked
 * traffic in one or both directions.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

export type LinkFaultMode =
  | "passing"
  /**
   * Blocks bytes in both directions, also on new connections, without closing
   * any.
   */
  | "silent"
  /** Blocks bytes from the far address only. */
  | "deaf"
  /** Resets all connections, including new ones. */
  | "resetting"
  /** Delays all bytes by 200 ms. */
  | "delaying";

const DELAY_MS = 200;

export class FaultyLink {
  readonly #farAddress: string;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #faultMode: LinkFaultMode = "passing";
  /**
   * Blocked transfers, in order, which run when the link passes bytes again.
   */
  #blockedTransfers: (() => void)[] = [];

  constructor(farAddress: string) {
    this.#farAddress = farAddress;
    this.#server = createServer((near) => this.#openConnection(near));
  }

  /** Listens and returns the address to connect to. */
  async open(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Sets the fault mode. With `passing`, blocked bytes are delivered. */
  setFaultMode(faultMode: LinkFaultMode): void {
    this.#faultMode = faultMode;
    if (faultMode === "resetting") {
      this.#blockedTransfers = [];
      this.#sockets.forEach((socket) => socket.resetAndDestroy());
    }
    if (faultMode === "passing") {
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
    const [host = "", port = ""] = this.#farAddress.split(":");
    const far = connect(Number(port), host);
    this.#forward(near, far, ["silent"]);
    this.#forward(far, near, ["silent", "deaf"]);
  }

  #forward(
    from: Socket,
    to: Socket,
    blockingModes: readonly LinkFaultMode[],
  ): void {
    this.#sockets.add(from);
    from.on(
      "data",
      (bytes) => this.#transfer(() => to.write(bytes), blockingModes),
    );
    from.on("end", () => this.#transfer(() => to.end(), blockingModes));
    // Passes a reset on to the other end.
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => this.#sockets.delete(from));
  }

  #transfer(
    transfer: () => void,
    blockingModes: readonly LinkFaultMode[],
  ): void {
    if (blockingModes.includes(this.#faultMode)) {
      this.#blockedTransfers.push(transfer);
    } else if (this.#faultMode === "delaying") {
      setTimeout(transfer, DELAY_MS);
    } else {
      transfer();
    }
  }
}
