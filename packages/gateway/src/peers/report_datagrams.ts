/** Splits reports that do not fit into one datagram. */

/** Splits the reports, in order, into groups of at most `size`. */
export function splitReports<Report>(
  reports: readonly Report[],
  size: number,
): readonly (readonly Report[])[] {
  return Array.from(
    { length: Math.ceil(reports.length / size) },
    (_, index) => reports.slice(index * size, (index + 1) * size),
  );
}
