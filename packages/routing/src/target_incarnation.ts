/** One start of a target, however often its id is used. */
export interface TargetIncarnation {
  readonly id: string;
  /** When it began, in Unix milliseconds by its own clock, if it says so. */
  readonly bornMs?: number;
}

/** A name of this life alone. */
export function formatTargetIncarnation(
  { id, bornMs }: TargetIncarnation,
): string {
  return `${id} ${bornMs ?? ""}`;
}
