/** An HTTP header field; the name is in lower case. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}
