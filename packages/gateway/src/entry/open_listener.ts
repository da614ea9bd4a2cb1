/** Opens the listener of a server. */
import type { Server } from "node:net";

export interface ListenerOptions {
  readonly host: string;
  readonly port: number;
  /** Called when the server cannot accept connections for a while. */
  readonly reportFault: (message: string) => void;
}

/** Rejects if the address cannot be bound. */
export function openListener(
  server: Server,
  { host, port, reportFault }: ListenerOptions,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      // Without a listener, a failed accept would end the process.
      server.on(
        "error",
        (error) =>
          reportFault(`A connection was not accepted: ${error.message}`),
      );
      resolve();
    });
  });
}
