/**
 * Makes the end of this process visible to callers whose response only the end
 * of their connection ends. The kernel would close the connection in order, and
 * the part that a caller has received would look like the whole response. Until
 * the last byte is written, the connection is reset instead.
 */
import type { ServerResponse } from "node:http";
import type { Result } from "@lentilspur/outcomes/result";
import type { ResetOnClose } from "@lentilspur/transport/reset_on_close";

export interface ConnectionResetsOptions {
  readonly load: () => Promise<Result<ResetOnClose, string>>;
  /** Called once if this system cannot reset connections by itself. */
  readonly reportFault: (message: string) => void;
}

export class ConnectionResets {
  readonly #options: ConnectionResetsOptions;
  #loaded: Promise<ResetOnClose | undefined> | undefined;

  constructor(options: ConnectionResetsOptions) {
    this.#options = options;
  }

  /**
   * Has the connection reset if the process ends before the response has been
   * written. Returns false if that is not possible. Call it before the head of
   * the response is written.
   */
  async reserveFor(response: ServerResponse): Promise<boolean> {
    const option = await (this.#loaded ??= this.#load());
    const { socket } = response;
    if (option === undefined || socket === null || !option.set(socket, true)) {
      return false;
    }
    // Node's own listener closes the socket, which would reset it.
    response.prependOnceListener("finish", () => option.set(socket, false));
    return true;
  }

  async #load(): Promise<ResetOnClose | undefined> {
    const { load, reportFault } = this.#options;
    const loaded = await load();
    if (!loaded.ok) {
      reportFault(
        `A response without a length may look complete if this process ends within it: ${loaded.val}`,
      );
      return undefined;
    }
    return loaded.val;
  }
}
