/**
 * For each unit, the position from which on the memory of its requests is
 * complete. An id minted before it and not remembered may have been seen by an
 * earlier steward.
 */
import type { Position } from "@lentilspur/outcomes/position";
import type { UnitId } from "@lentilspur/state/entries";

/** The tokens under which a unit is served. */
export interface UnitTokens {
  readonly unit: UnitId;
  readonly unitToken: Position;
  readonly stewardToken: Position;
}

interface Floor {
  readonly position: Position;
  /** The higher of the two tokens that it holds for. */
  readonly token: Position;
}

export class MemoryFloors {
  readonly #floors = new Map<string, Floor>();

  /** Sets a floor that counts while the higher of the unit's tokens is `token`. */
  set(
    template: string,
    unit: UnitId,
    options: { readonly position: Position; readonly token: Position },
  ): void {
    this.#floors.set(formatUnitName(template, unit), options);
  }

  remove(template: string, unit: UnitId): void {
    this.#floors.delete(formatUnitName(template, unit));
  }

  has(template: string, unit: UnitId): boolean {
    return this.#floors.has(formatUnitName(template, unit));
  }

  /**
   * The floor under these tokens.
   *
   * Guards against a unit that came back after others served it: it shows as
   * a token that differs from the floor's. Such a floor says nothing about the
   * time in between, so the present token takes its place.
   */
  get(template: string, tokens: UnitTokens, shard: UnitId): Position {
    const token = Math.max(tokens.unitToken, tokens.stewardToken);
    return this.#find(template, tokens.unit, token) ??
      this.#find(template, shard, token) ?? token;
  }

  /** The floor under these tokens, which holds for them from now on. */
  claim(template: string, tokens: UnitTokens, shard: UnitId): Position {
    const position = this.get(template, tokens, shard);
    const token = Math.max(tokens.unitToken, tokens.stewardToken);
    this.set(template, tokens.unit, { position, token });
    return position;
  }

  #find(
    template: string,
    unit: UnitId,
    token: Position,
  ): Position | undefined {
    const floor = this.#floors.get(formatUnitName(template, unit));
    return floor?.token === token ? floor.position : undefined;
  }
}

export function formatUnitName(template: string, unit: UnitId): string {
  return `${template}\n${unit}`;
}
