/** A limit of requests a second that a target has named, as instances tell it. */

/** What instances tell each other of one target's limit. */
export interface LimitReport {
  /** Of `formatLife`. */
  readonly life: string;
  /** Requests a second; null where it names none any more. */
  readonly perSecond: number | null;
  /** Since it said so, in milliseconds. */
  readonly ageMs: number;
}
