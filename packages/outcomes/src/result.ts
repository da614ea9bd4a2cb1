/**
 * Re-exports `ts-results`. Its ES module build exposes its values only through
 * the default import, so all other modules import them from here.
 */
import results from "ts-results";
import type { Err as ErrOf, Ok as OkOf, Result as ResultOf } from "ts-results";

export const { Ok, Err } = results;

/** Either a value or a typed failure. Check `.ok`, then read `.val`. */
export type Result<T, E> = ResultOf<T, E>;
export type Ok<T> = OkOf<T>;
export type Err<E> = ErrOf<E>;
