/** Makes this process stand still as a frozen one does, for tests. */

/** Any short time; the freeze begins in a timer. */
const START_DELAY_MS = 10;

/**
 * Calls `act` and stands still for `ms`. Timers that have passed run next,
 * before any socket is read.
 */
export async function injectFreeze(
  ms: number,
  act: () => void = () => undefined,
): Promise<void> {
  await new Promise<void>((resolve) =>
    setTimeout(() => {
      act();
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
      resolve();
    }, START_DELAY_MS)
  );
  // Only a new timer makes the event loop aware of the time that has passed.
  await new Promise((resolve) => setTimeout(resolve, 1));
}
