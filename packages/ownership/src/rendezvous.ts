/**
 * Rendezvous hashing: everyone ranks the same candidates the same way, and one
 * candidate's coming or going changes no order among the others.
 */
import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/** Candidates, best first, for one subject. */
export function sortByRendezvous<T>(
  subject: string,
  candidates: readonly T[],
  getId: (candidate: T) => string,
): readonly T[] {
  return candidates
    .map((candidate) => {
      const id = getId(candidate);
      return { candidate, id, weight: h32(`${subject}\n${id}`) };
    })
    .sort((left, right) =>
      right.weight - left.weight || (left.id < right.id ? -1 : 1)
    )
    .map(({ candidate }) => candidate);
}
