/**
 * From a key to the unit that holds it. Ten billion keys cannot be listed, so
 * keys are hashed to a fixed number of shards; only the few hot keys that were
 * placed on their own are named.
 */
import xxhash from "xxhash-wasm";
import type { UnitId } from "./entries.ts";

const SHARD_PREFIX = "s:";
const KEY_PREFIX = "k:";

// Loaded once: the hash has to be the same on every instance, so it comes from
// a library with a published definition (xxHash64, seed 0).
const { h64 } = await xxhash();

export function hashKeyToShard(key: string, shardCount: number): number {
  return Number(h64(key) % BigInt(shardCount));
}

export function makeShardUnit(shard: number): UnitId {
  return `${SHARD_PREFIX}${shard}`;
}

export function makeKeyUnit(key: string): UnitId {
  return `${KEY_PREFIX}${key}`;
}

/** The key of a hot key's unit; undefined for a shard. */
export function getKeyOfUnit(unit: UnitId): string | undefined {
  return unit.startsWith(KEY_PREFIX)
    ? unit.slice(KEY_PREFIX.length)
    : undefined;
}

/** The number of a shard's unit; undefined for a hot key or bad text. */
export function getShardOfUnit(unit: UnitId): number | undefined {
  if (!unit.startsWith(SHARD_PREFIX)) {
    return undefined;
  }
  const shard = Number(unit.slice(SHARD_PREFIX.length));
  return Number.isInteger(shard) && shard >= 0 ? shard : undefined;
}
