/** Keys and contents of the store records that hold the ownership table. */

/** Key of the record that names the keeper. */
export const KEEPER_KEY = "keeper";
/**
 * Key of the record that lists the witnesses, which the keeper asks for
 * pledges.
 */
export const WITNESSES_KEY = "witnesses";
export const TABLE_PREFIX = "table/";

export function formatTableKey(service: string): string {
  return `${TABLE_PREFIX}${service}`;
}

/** Content of the record that names the keeper. */
export interface KeeperClaim {
  readonly instance: string;
  /** Generated anew at each start of the process. */
  readonly incarnation: string;
  /** As in the member record of the instance. */
  readonly startNumber?: number;
  /**
   * The keeper's term: the offset at which the claim was to be appended. Its
   * record has a higher offset after a restore of the store. Missing in the
   * records of earlier versions.
   */
  readonly term?: number;
  /**
   * Whether the keeper has stopped and none of its unanswered grants can take
   * effect any more.
   */
  readonly resigned?: boolean;
  /** Earlier keepers that, as far as this keeper can tell, may still act. */
  readonly unresolved?: readonly UnresolvedKeeper[];
  /**
   * Whether a lapse of this keeper's authority lasts: it does not act again on
   * the pledge of a process that started later. Missing in the records of earlier
   * versions, which do.
   */
  readonly canLapse?: boolean;
  /** Its witnesses until its first record of them; as in `KeeperWitnesses`. */
  readonly witnesses?: readonly string[];
}

/** A replaced keeper that may not have noticed its replacement. */
export interface UnresolvedKeeper {
  readonly instance: string;
  readonly incarnation: string;
  readonly startNumber?: number;
  /** One incarnation may claim several times. */
  readonly term: number;
  /** Incarnations that this keeper asks for pledges. */
  readonly witnesses: readonly string[];
  /**
   * How long before this record, at least, the keeper had been replaced.
   * Missing in the records of earlier versions, and where nothing is known.
   */
  readonly replacedForMs?: number;
  /** As in `KeeperClaim`. */
  readonly canLapse?: boolean;
}

/**
 * Incarnation of an unresolved keeper that stands for all keepers whose claims
 * may have been lost when the store was restored, at the start of the era of its
 * term. It belongs to no instance.
 */
export const LOST_KEEPERS = "lost-keepers";

/**
 * The witnesses of a keeper. Without the store, the keeper acts only while each
 * of them has pledged to wait before taking over, so a witness can tell for how
 * long an unreachable keeper may act.
 */
export interface KeeperWitnesses {
  /** Term of the keeper that wrote the record. */
  readonly term: number;
  /** Incarnations of the witnesses, formatted by `formatIncarnation`. */
  readonly instances: readonly string[];
  /** As in `KeeperClaim`, at the time this record was written. */
  readonly unresolved: readonly UnresolvedKeeper[];
}

/**
 * Identifies one incarnation of an instance, so that a restarted instance is
 * not mistaken for its previous incarnation.
 */
export function formatIncarnation(
  { instance, incarnation }: Pick<KeeperClaim, "instance" | "incarnation">,
): string {
  return `${instance}/${incarnation}`;
}

/** Returns the instance in a text made by `formatIncarnation`. */
export function parseInstance(text: string): string {
  return text.slice(0, text.lastIndexOf("/"));
}
