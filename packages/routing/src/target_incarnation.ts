/** One incarnation of a target: a target id may be reused after a restart. */
export interface TargetIncarnation {
  readonly id: string;
  /**
   * Start time in Unix milliseconds by the target's own clock, if it reports
   * one.
   */
  readonly bornMs?: number;
}

/**
 * Returns a name of this incarnation, which is unique if the target reports its
 * start time.
 */
export function formatTargetIncarnation(
  { id, bornMs }: TargetIncarnation,
): string {
  return `${id} ${bornMs ?? ""}`;
}
