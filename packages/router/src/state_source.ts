/** How the data path reads the folded state and waits for it to go on. */
import type { StateView } from "@lentilspur/state/view";

export interface StateSource {
  /** The state as folded so far; ask again after every wait. */
  getView(): StateView;
  /** Resolves after the next record is folded, or after `maxMs`. */
  waitForFold(maxMs: number, signal?: AbortSignal): Promise<void>;
}
