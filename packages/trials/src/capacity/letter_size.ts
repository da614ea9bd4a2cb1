/**
 * The size that the letter expects within two years, and what has to be
 * assumed beside it. Each assumption says where it comes from.
 */

/** From docs/CAPACITY.md's letter, as it stands. */
export const LETTER = {
  nodes: 12_000,
  keys: 10e9,
  requestsPerSecond: 35e6,
  p99Ms: 17,
  hotKeys: 200,
  servedAgainWithinMs: 5_000,
  regions: 7,
  dataCentres: 20,
  configurationChangesPerDay: 10_000,
  configurationInForceMs: 5_000,
  controlCorePercent: 2.8,
  controlMemoryBytes: 32 * 1024 * 1024,
  controlBytesPerSecond: 3 * 1024,
  lossesPerDay: 25,
  restartsPerDay: 4_600,
  regionsApartMs: 3_600_000,
} as const;

export const ASSUMED = {
  /** Today's two deployments: 38 targets to 12 instances. */
  targetsPerNode: 38 / 12,
  /** The playground's templates: 512 shards to 38 targets. */
  shardsPerTarget: 512 / 38,
  /** "Within minutes": the whole set of hot keys is another every 5 min. */
  hotKeysChangeWithinMs: 300_000,
  /** Units that balance moves in a day; the planner's own bound is higher. */
  balanceMovesPerDayShare: 0.01,
  /** "Several hundred appends per second". */
  logAppendsPerSecond: 300,
  /** Nodes in one rack. */
  nodesPerRack: 40,
} as const;

export const NODES = LETTER.nodes;
export const TARGETS = Math.round(NODES * ASSUMED.targetsPerNode);
export const SHARDS = Math.round(TARGETS * ASSUMED.shardsPerTarget);
export const REQUESTS_PER_NODE = LETTER.requestsPerSecond / NODES;
export const SECONDS_PER_DAY = 86_400;
