/**
 * Orders decisions after reads. Once a process has stood still, the event loop
 * runs the timers that have passed before it reads what has arrived meanwhile,
 * so a timeout that is decided at once ignores what came in time.
 */

/** Resolves when all that had arrived before the call has been read. */
export function waitForArrivedData(): Promise<void> {
  // The sockets are read between the two.
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)));
}
