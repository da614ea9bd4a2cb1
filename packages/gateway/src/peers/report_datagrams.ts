/** Reports of which only some fit into one datagram. */

/** In their order, `size` at a time. */
export function splitReports<Report>(
  reports: readonly Report[],
  size: number,
): readonly (readonly Report[])[] {
  return Array.from(
    { length: Math.ceil(reports.length / size) },
    (_, index) => reports.slice(index * size, (index + 1) * size),
  );
}
