/**
 * Collects the parts of a body as they come. A part that is kept as it was read
 * is an object of its own: a body of one-byte chunks would take a hundred times
 * its length.
 */
import { BLOCK_BYTES, type BlockPool } from "@lentilspur/transport/block_pool";

/** A larger body gets one buffer, so that it is not copied once it is whole. */
const MAX_BLOCKS_BYTES = 4 * 1024 * 1024;

export class BodyBuffer {
  readonly #pool: BlockPool;
  readonly #largestBytes: number;
  #blocks: Buffer[] = [];
  #buffer: Buffer | undefined;
  #size = 0;

  /** `largestBytes`: the length of the body, or the most that it may have. */
  constructor(pool: BlockPool, largestBytes: number) {
    this.#pool = pool;
    this.#largestBytes = largestBytes;
  }

  /** Number of bytes of the body so far. */
  get size(): number {
    return this.#size;
  }

  /** The memory that is taken with a further part of this length. */
  computeHeldBytes(partBytes: number): number {
    return BLOCK_BYTES * Math.ceil((this.#size + partBytes) / BLOCK_BYTES);
  }

  add(part: Buffer): void {
    const size = this.#size + part.byteLength;
    if (this.#buffer === undefined && size > MAX_BLOCKS_BYTES) {
      this.#moveToBuffer();
    }
    if (this.#buffer === undefined) {
      this.#addToBlocks(part);
    } else {
      part.copy(this.#buffer, this.#size);
    }
    this.#size = size;
  }

  /** Returns the body in one piece; nothing may be added afterwards. */
  take(): Uint8Array {
    if (this.#buffer === undefined) {
      this.#buffer = Buffer.concat(this.#blocks, this.#size);
      this.#releaseBlocks();
    }
    return this.#buffer.subarray(0, this.#size);
  }

  /** Gives back the blocks of a body that was not taken. */
  clear(): void {
    this.#releaseBlocks();
    if (this.#buffer === undefined) {
      this.#size = 0;
    }
  }

  #addToBlocks(part: Buffer): void {
    let start = 0;
    let position = this.#size;
    while (start < part.byteLength) {
      const offset = position % BLOCK_BYTES;
      if (offset === 0) {
        this.#blocks.push(this.#pool.take());
      }
      const end = Math.min(part.byteLength, start + BLOCK_BYTES - offset);
      part.copy(this.#blocks.at(-1)!, offset, start, end);
      position += end - start;
      start = end;
    }
  }

  #moveToBuffer(): void {
    // Memory that is not written to yet takes no room.
    this.#buffer = Buffer.allocUnsafeSlow(this.#largestBytes);
    this.#blocks.forEach((block, index) =>
      block.copy(this.#buffer!, index * BLOCK_BYTES)
    );
    this.#releaseBlocks();
  }

  #releaseBlocks(): void {
    this.#pool.release(this.#blocks);
    this.#blocks = [];
  }
}
