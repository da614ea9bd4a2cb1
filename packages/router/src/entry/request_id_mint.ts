/** Mints request ids that carry the epoch and how far this entry has folded. */
import { makePosition } from "@lentilspur/outcomes/position";
import { formatRequestId } from "@lentilspur/outcomes/request_id";
import type { StateView } from "@lentilspur/state/view";
import { createHash } from "node:crypto";

/** Hex digits of the instance's name; two instances in one epoch differ. */
const NAME_DIGITS = 16;
const RADIX = 36;

export class RequestIdMint {
  readonly #name: string;
  #count = 0;

  constructor(instanceId: string) {
    this.#name = createHash("sha256").update(instanceId).digest("hex")
      .slice(0, NAME_DIGITS);
  }

  mint(view: StateView): string {
    this.#count++;
    return formatRequestId({
      epoch: view.epoch,
      // The last position that belongs to a folded record.
      mintedAt: makePosition(view.nextOffset, 0) - 1,
      unique: `${this.#name}.${this.#count.toString(RADIX)}`,
    });
  }
}
