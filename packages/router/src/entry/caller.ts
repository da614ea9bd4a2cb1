/** A caller's request and its answer, apart from the HTTP that carries them. */
import {
  makeRequestError,
  type RequestError,
} from "@lentilspur/outcomes/error_kinds";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { HeaderField } from "@lentilspur/ports/target";

export interface CallerRequest {
  readonly method: string;
  /** Path and query as sent. */
  readonly path: string;
  /** Names in lower case. */
  readonly headers: readonly HeaderField[];
  readonly body: BodySource;
}

/** A body that is read only once its sender is known and let in. */
export interface BodySource {
  read(maxBytes: number): Promise<Result<Uint8Array, RequestError>>;
}

export interface CallerAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** A body that is at hand already. */
export class WholeBody implements BodySource {
  readonly #bytes: Uint8Array;

  constructor(bytes: Uint8Array) {
    this.#bytes = bytes;
  }

  read(maxBytes: number): Promise<Result<Uint8Array, RequestError>> {
    return Promise.resolve(
      this.#bytes.byteLength > maxBytes
        ? Err(makeBodyTooLargeError(maxBytes))
        : Ok(this.#bytes),
    );
  }
}

export function makeBodyTooLargeError(maxBytes: number): RequestError {
  return makeRequestError(
    "body-too-large",
    `The body is larger than ${maxBytes} bytes`,
  );
}
