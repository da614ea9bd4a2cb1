/** A crash of a target under a request, as one instance knows it. */

/** A send whose target process ended; times by this instance's clock. */
export interface Crash {
  /** Name of the target's incarnation. */
  readonly incarnation: string;
  readonly sentAtMs: number;
  /** When the send failed. */
  readonly atMs: number;
  /** Whether this instance sent the request. */
  readonly isOwn: boolean;
}

/** Counts the targets that crashed. */
export function countIncarnations(crashes: readonly Crash[]): number {
  return new Set(crashes.map(({ incarnation }) => incarnation)).size;
}

export function findLastCrashMs(crashes: readonly Crash[]): number {
  return Math.max(...crashes.map(({ atMs }) => atMs));
}

/**
 * Finds a crash of a target that has another one; returns the name of its send.
 */
export function findRepeatedCrash(
  crashes: ReadonlyMap<string, Crash>,
): string | undefined {
  const incarnations = new Set<string>();
  for (const [send, { incarnation }] of crashes) {
    if (incarnations.has(incarnation)) {
      return send;
    }
    incarnations.add(incarnation);
  }
  return undefined;
}
