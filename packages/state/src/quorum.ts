/**
 * How many guardians hold a lease up and how many can end it.
 *
 * The two quorums always share a guardian (`lease + takeOver > guardians`), so
 * no take-over can gather its consents while a lease still stands. With two
 * guardians one pledge is enough to go on and both must consent to a
 * take-over, so three instances survive the loss of any one of them.
 */

/** Guardians of one instance; one in each of three data centres where there are. */
export const WANTED_GUARDIANS = 3;

/** Bounds the cost of a renewal. */
export const MAX_GUARDIANS = 7;

/** Consents that a take-over needs. Without guardians only an operator can. */
export function computeTakeOverQuorum(guardians: number): number {
  return Math.floor(guardians / 2) + 1;
}

/** Pledges that a lease needs. */
export function computeLeaseQuorum(guardians: number): number {
  return guardians - computeTakeOverQuorum(guardians) + 1;
}
