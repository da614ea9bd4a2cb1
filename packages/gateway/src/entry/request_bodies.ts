/**
 * Reads the bodies of requests within the memory of the process, over all
 * connections.
 *
 * Failure case: many callers send large bodies at once, most stop just before
 * the end and keep their connections open. Once the memory is used up, the
 * largest body that is not complete is refused, so that callers with small
 * bodies are served and a caller that holds much without ending its request is
 * the first to lose it. Some of the rest of a refused body is read and dropped,
 * since a connection that is closed with unread bytes may lose the refusal.
 */
import type { IncomingMessage } from "node:http";
import type { ErrorKind } from "@lentilspur/outcomes/error_kinds";
import { BlockPool } from "@lentilspur/transport/block_pool";
import type { MemoryAccount } from "@lentilspur/transport/memory_account";
import { BodyBuffer } from "./body_buffer.ts";

export interface BodyFailure {
  readonly kind: ErrorKind;
  /** Why, if the kind does not say all. */
  readonly message?: string;
  readonly retryAfterMs?: number;
}

export type BodyResult =
  | { readonly ok: true }
  | { readonly ok: false; readonly failure: BodyFailure };

export interface RequestBodiesOptions {
  readonly memory: MemoryAccount;
  /** Called when a body is refused because the memory is used up. */
  readonly observeRefusal: () => void;
}

/** A larger body may not take the last part of the memory. */
const SMALL_BODY_BYTES = 64 * 1024;
/** The last part of the memory. */
const SMALL_BODIES_BYTES = 1024 * 1024;
/**
 * Others have this much beside the largest body, which is served whatever the
 * size of the machine.
 */
const BESIDE_BYTES = 2 * SMALL_BODIES_BYTES;
/** Small bodies are read to their ends, so that the refusal is not lost. */
const MAX_DROPPED_BYTES = 16 * 1024;
/** The largest bodies are usually complete or refused by then. */
const RETRY_MS = 250;

export class RequestBodies {
  readonly #options: RequestBodiesOptions;
  readonly #pool = new BlockPool();
  readonly #incomplete = new Set<RequestBody>();
  /** Bodies that claim memory, complete or not. */
  readonly #held = new Set<RequestBody>();

  constructor(options: RequestBodiesOptions) {
    this.#options = options;
  }

  /** Begins to read the body of a request. */
  open(message: IncomingMessage, maxBytes: number): RequestBody {
    const body: RequestBody = new RequestBody(message, {
      pool: this.#pool,
      maxBytes,
      reserve: (bytes) => this.#reserve(body, bytes),
      release: (bytes) => {
        this.#held.delete(body);
        this.#options.memory.release(bytes);
      },
      onRead: () => this.#incomplete.delete(body),
    });
    this.#incomplete.add(body);
    this.#held.add(body);
    body.start();
    return body;
  }

  /** Claims memory for a body, at the cost of larger incomplete ones. */
  #reserve(body: RequestBody, bytes: number): boolean {
    const { memory, observeRefusal } = this.#options;
    const keptBytes = body.heldBytes + bytes <= SMALL_BODY_BYTES
      ? 0
      : SMALL_BODIES_BYTES;
    while (!memory.reserve(bytes, keptBytes)) {
      const neededBytes = memory.claimedBytes + bytes + keptBytes;
      if (neededBytes <= this.#findMostHeld(body, bytes) + BESIDE_BYTES) {
        memory.claim(bytes);
        return true;
      }
      const largest = this.#findLargest();
      observeRefusal();
      if (largest.heldBytes <= body.heldBytes) {
        return false;
      }
      largest.refuse();
    }
    return true;
  }

  /** Finds the memory of the largest body, with what this one would claim. */
  #findMostHeld(growing: RequestBody, bytes: number): number {
    let most = growing.heldBytes + bytes;
    for (const { heldBytes } of this.#held) {
      most = Math.max(most, heldBytes);
    }
    return most;
  }

  #findLargest(): Pick<RequestBody, "heldBytes" | "refuse"> {
    let largest: RequestBody | undefined;
    for (const body of this.#incomplete) {
      if (body.heldBytes > (largest?.heldBytes ?? -1)) {
        largest = body;
      }
    }
    return largest!;
  }
}

interface RequestBodyOptions {
  readonly pool: BlockPool;
  readonly maxBytes: number;
  readonly reserve: (bytes: number) => boolean;
  readonly release: (bytes: number) => void;
  /** Called when no more of the body is kept. */
  readonly onRead: () => void;
}

export class RequestBody {
  readonly result: Promise<BodyResult>;
  readonly #message: IncomingMessage;
  readonly #options: RequestBodyOptions;
  #resolve: (result: BodyResult) => void = () => undefined;
  /** Undefined if nothing is kept of the body. */
  #buffer: BodyBuffer | undefined;
  #heldBytes = 0;
  #droppedBytes = 0;
  #isSettled = false;

  constructor(message: IncomingMessage, options: RequestBodyOptions) {
    this.#message = message;
    this.#options = options;
    this.result = new Promise((resolve) => this.#resolve = resolve);
  }

  /** Memory that is claimed for it. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  start(): void {
    const { maxBytes } = this.#options;
    const { headers } = this.#message;
    const isChunked = headers["transfer-encoding"] !== undefined;
    const declaredBytes = Number(headers["content-length"] ?? 0);
    if (!isChunked && declaredBytes === 0) {
      this.#settle({ ok: true });
      return;
    }
    if (declaredBytes > maxBytes) {
      this.#fail({ kind: "body-too-large" });
    } else {
      const largestBytes = isChunked ? maxBytes : declaredBytes;
      this.#buffer = new BodyBuffer(this.#options.pool, largestBytes);
    }
    this.#message.on("data", (part: Buffer) => this.#add(part));
    this.#message.on("end", () => this.#settle({ ok: true }));
    this.#message.on("close", () => this.#fail({ kind: "too-slow" }));
  }

  /** Refuses the request, because the memory is needed for others. */
  refuse(): void {
    this.#fail({
      kind: "overloaded",
      message: "The memory for bodies of requests is used up",
      retryAfterMs: RETRY_MS,
    });
  }

  /** Length of the body, as far as it has been read. */
  get size(): number {
    return this.#buffer?.size ?? 0;
  }

  /** Returns the whole body in one piece. */
  take(): Uint8Array {
    return this.#buffer?.take() ?? new Uint8Array(0);
  }

  /**
   * Gives back the memory. A body that was taken can be taken again, as long as
   * something refers to its request.
   */
  release(): void {
    this.#buffer?.clear();
    this.#options.release(this.#heldBytes);
    this.#heldBytes = 0;
  }

  #add(part: Buffer): void {
    const buffer = this.#buffer;
    if (buffer === undefined) {
      this.#recordDropped(part);
      return;
    }
    if (buffer.size + part.byteLength > this.#options.maxBytes) {
      this.#fail({ kind: "body-too-large" });
      return;
    }
    const heldBytes = buffer.computeHeldBytes(part.byteLength);
    if (!this.#options.reserve(heldBytes - this.#heldBytes)) {
      this.refuse();
      return;
    }
    this.#heldBytes = heldBytes;
    buffer.add(part);
  }

  /** Reads no further once much was dropped; the connection is closed soon. */
  #recordDropped(part: Buffer): void {
    this.#droppedBytes += part.byteLength;
    if (this.#droppedBytes > MAX_DROPPED_BYTES) {
      this.#message.pause();
    }
  }

  #fail(failure: BodyFailure): void {
    if (!this.#isSettled) {
      this.release();
      this.#buffer = undefined;
      this.#settle({ ok: false, failure });
    }
  }

  #settle(result: BodyResult): void {
    if (!this.#isSettled) {
      this.#isSettled = true;
      this.#options.onRead();
      this.#resolve(result);
    }
  }
}
