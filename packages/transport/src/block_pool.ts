/**
 * Blocks of memory of one size that are used again. What is allocated anew for
 * each body stays resident until it is collected, which V8 begins only after
 * some 64 MB.
 */

export const BLOCK_BYTES = 4 * 1024;
/** Kept at all times; more only as long as as many blocks are in use. */
const MIN_FREE_BLOCKS = 256;

export class BlockPool {
  readonly #free: Buffer[] = [];
  #used = 0;

  take(): Buffer {
    this.#used++;
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Gives blocks back, whose content must not be used any more. */
  release(blocks: readonly Buffer[]): void {
    this.#used -= blocks.length;
    const room = Math.max(MIN_FREE_BLOCKS, this.#used) - this.#free.length;
    if (room > 0) {
      this.#free.push(...blocks.slice(0, room));
    }
  }
}
