/** The keys and contents of the records in which the table of owners is kept. */

/** Key of the record that names the keeper. */
export const KEEPER_KEY = "keeper";
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
}
