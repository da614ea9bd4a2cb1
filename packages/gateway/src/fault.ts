/** What components report that is no event of a request, target or keeper. */

/** A record, datagram or body that could not be decoded and was left out. */
export interface UnreadableRecord {
  readonly record: "target" | "configuration" | "member" | "table" | "datagram";
  /** Key of the record, or address of the sender. */
  readonly key: string;
  readonly why: string;
}

export type Fault = string | UnreadableRecord;
