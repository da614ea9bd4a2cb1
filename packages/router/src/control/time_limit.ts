/** A bound on calls whose other side may have gone silent for good. */
import type { Clock } from "@lentilspur/ports/clock";

/** Undefined if `call` has not settled within `maxMs`; its result is dropped. */
export async function waitAtMost<T>(
  clock: Clock,
  maxMs: number,
  call: Promise<T>,
): Promise<T | undefined> {
  const controller = new AbortController();
  const timeout = clock.sleep(maxMs, controller.signal)
    .then(() => undefined);
  try {
    return await Promise.race([call, timeout]);
  } finally {
    controller.abort();
  }
}
