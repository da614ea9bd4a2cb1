/** The keys and contents of the records in which the table of owners is kept. */

/** Key of the record that names the keeper. */
export const KEEPER_KEY = "keeper";
/** Key of the record that names those whom the keeper asks for pledges. */
export const WITNESSES_KEY = "witnesses";
export const TABLE_PREFIX = "table/";

export function formatTableKey(service: string): string {
  return `${TABLE_PREFIX}${service}`;
}

/** What the keeper's record says. */
export interface KeeperClaim {
  readonly instance: string;
  /** Drawn anew at each start of the process. */
  readonly incarnation: string;
  /** It has stopped, and none of its orders is without an answer. */
  readonly resigned?: boolean;
  /** Earlier keepers that may act yet, as far as is known to this one. */
  readonly unresolved?: readonly UnresolvedKeeper[];
}

/** A keeper that was replaced and may not know it. */
export interface UnresolvedKeeper {
  readonly instance: string;
  readonly incarnation: string;
  /** Offset of its claim; one incarnation may claim several times. */
  readonly term: number;
  /** Those whom it asks for pledges. */
  readonly witnesses: readonly string[];
}

/**
 * Without the store a keeper acts only while each of these has pledged to wait.
 * So one that is named here knows for how long an unreachable keeper may act.
 */
export interface KeeperWitnesses {
  /** Of the keeper that wrote it. */
  readonly term: number;
  /** Each as `formatIncarnation` gives it. */
  readonly instances: readonly string[];
  /** As in the claim, as of now. */
  readonly unresolved: readonly UnresolvedKeeper[];
}

/** A restart is another one: it must not be taken for the one before. */
export function formatIncarnation(
  { instance, incarnation }: Pick<KeeperClaim, "instance" | "incarnation">,
): string {
  return `${instance}/${incarnation}`;
}
