/** One start of a target, however often its id is used. */
export interface TargetLife {
  readonly id: string;
  /** When it began, in Unix milliseconds by its own clock, if it says so. */
  readonly bornMs?: number;
}

/** A name of this life alone. */
export function formatLife({ id, bornMs }: TargetLife): string {
  return `${id} ${bornMs ?? ""}`;
}
