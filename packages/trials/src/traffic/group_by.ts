/** Splits `items` by name, in their order; names in order of first sight. */
export function groupBy<T>(
  items: readonly T[],
  getName: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const parts = new Map<string, T[]>();
  for (const item of items) {
    const name = getName(item);
    const part = parts.get(name);
    if (part === undefined) {
      parts.set(name, [item]);
    } else {
      part.push(item);
    }
  }
  return parts;
}
