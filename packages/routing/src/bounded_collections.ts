/** Bounds collections by age and by size. */

/** Removes the names whose times are before `oldestMs`. */
export function removeBefore(
  times: Map<string, number>,
  oldestMs: number,
): void {
  for (const [name, atMs] of times) {
    if (atMs < oldestMs) {
      times.delete(name);
    }
  }
}

/** Removes the entry that was added first, if there are too many. */
export function removeOldest(
  names: Map<string, unknown> | Set<string>,
  maxSize: number,
): void {
  if (names.size > maxSize) {
    names.delete(names.keys().next().value!);
  }
}
