/** A caller's request and its answer, apart from the HTTP that carries them. */
import type { HeaderField } from "@lentilspur/ports/target";

export interface CallerRequest {
  readonly method: string;
  /** Path and query as sent. */
  readonly path: string;
  /** Names in lower case. */
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

export interface CallerAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}
