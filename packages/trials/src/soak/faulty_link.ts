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
  /** Resets new connections and passes bytes on those that are open. */
  | "refusing-new"
  /** Delays all bytes by 200 ms. */
  | "delaying"
  /**
   * Sends a copy of a response late: when the next message has arrived on its
   * connection, before the response to it.
   */
  | "repeating";

const DELAY_MS = 200;
/** Every how many messages of a repeating link meet a copy. */
const REPEAT_INTERVAL = 4;

interface TransferOptions {
  /** Address that the connection came from. */
  readonly source: string;
  readonly blockingModes: readonly LinkFaultMode[];
}

/** The response that a connection has brought since its last message. */
interface LastResponse {
  bytes: Buffer;
  hasNewMessage: boolean;
}

interface BlockedTransfer {
  readonly source: string;
  readonly run: () => void;
}

export class FaultyLink {
  readonly #farAddress: string;
  readonly #server: Server;
  /** Both sockets of each connection, by the address that it came from. */
  readonly #sockets = new Map<Socket, string>();
  #faultMode: LinkFaultMode = "passing";
  /** The fault modes of connections from single addresses. */
  readonly #sourceModes = new Map<string, LinkFaultMode>();
  /**
   * Blocked transfers, in order, which run when the link passes bytes again.
   */
  #blockedTransfers: BlockedTransfer[] = [];
  #messages = 0;

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
    this.#applyModes();
  }

  /**
   * Sets the fault mode of connections from one address, whatever that of the
   * link is; undefined ends this.
   */
  setSourceMode(source: string, faultMode: LinkFaultMode | undefined): void {
    if (faultMode === undefined) {
      this.#sourceModes.delete(source);
    } else {
      this.#sourceModes.set(source, faultMode);
    }
    this.#applyModes();
  }

  #getMode(source: string): LinkFaultMode {
    return this.#sourceModes.get(source) ?? this.#faultMode;
  }

  /** Resets connections and delivers blocked bytes as the modes say. */
  #applyModes(): void {
    const isResetting = (source: string): boolean =>
      this.#getMode(source) === "resetting";
    for (const [socket, source] of this.#sockets) {
      if (isResetting(source)) {
        socket.resetAndDestroy();
      }
    }
    const transfers = this.#blockedTransfers
      .filter(({ source }) => !isResetting(source));
    this.#blockedTransfers = [];
    for (const transfer of transfers) {
      const isBlocked = ["silent", "deaf"]
        .includes(this.#getMode(transfer.source));
      if (isBlocked) {
        this.#blockedTransfers.push(transfer);
      } else {
        transfer.run();
      }
    }
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets.keys()) {
      socket.destroy();
    }
  }

  #openConnection(near: Socket): void {
    const source = near.remoteAddress ?? "";
    const mode = this.#getMode(source);
    if (mode === "resetting" || mode === "refusing-new") {
      near.resetAndDestroy();
      return;
    }
    const [host = "", port = ""] = this.#farAddress.split(":");
    const far = connect(Number(port), host);
    const last: LastResponse = { bytes: Buffer.alloc(0), hasNewMessage: false };
    near.on("data", () => this.#sendCopy(near, last));
    far.on("data", (bytes) => recordResponse(last, bytes));
    this.#forward(near, far, { source, blockingModes: ["silent"] });
    this.#forward(far, near, { source, blockingModes: ["silent", "deaf"] });
  }

  /** May send the last response again, since a message has arrived. */
  #sendCopy(near: Socket, last: LastResponse): void {
    const isRepeating = this.#getMode(near.remoteAddress ?? "") === "repeating";
    if (
      isRepeating && last.bytes.byteLength > 0 && !last.hasNewMessage &&
      ++this.#messages % REPEAT_INTERVAL === 0
    ) {
      near.write(last.bytes);
    }
    last.hasNewMessage = true;
  }

  #forward(from: Socket, to: Socket, options: TransferOptions): void {
    this.#sockets.set(from, options.source);
    from.on("data", (bytes) => this.#transfer(() => to.write(bytes), options));
    from.on("end", () => this.#transfer(() => to.end(), options));
    // Passes a reset on to the other end.
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => this.#sockets.delete(from));
  }

  #transfer(run: () => void, { source, blockingModes }: TransferOptions): void {
    const mode = this.#getMode(source);
    if (blockingModes.includes(mode)) {
      this.#blockedTransfers.push({ source, run });
    } else if (mode === "delaying") {
      setTimeout(run, DELAY_MS);
    } else {
      run();
    }
  }
}

function recordResponse(last: LastResponse, bytes: Buffer): void {
  last.bytes = last.hasNewMessage ? bytes : Buffer.concat([last.bytes, bytes]);
  last.hasNewMessage = false;
}
