/** What the fold shows: read-only tables that a decision may be based on. */
import type {
  ClientAccount,
  Template,
} from "@lentilspur/declarations/template";
import type { Position } from "@lentilspur/outcomes/position";
import type {
  InstanceDescription,
  MoveReason,
  TargetDescription,
  UnitId,
} from "./entries.ts";

export interface MemberState {
  readonly instance: InstanceDescription;
  readonly joinedAt: Position;
  readonly guardians: readonly string[];
  /** Changes with every change of the guardians. */
  readonly guardianToken: Position;
}

export interface TargetState {
  readonly target: TargetDescription;
  readonly leaving: boolean;
  /** Null while nobody may send to it. */
  readonly steward: string | null;
  /** Fencing token of the stewardship. */
  readonly stewardToken: Position;
  /** True where the steward took over from a lost one. */
  readonly takenOver: boolean;
}

export interface UnitMove {
  readonly to: string;
  readonly reason: MoveReason;
  /** Position of the `move-started` entry. */
  readonly token: Position;
}

export interface UnitState {
  readonly unit: UnitId;
  /** Null while no target owns it. */
  readonly owner: string | null;
  /** Fencing token of the ownership. */
  readonly token: Position;
  readonly move: UnitMove | null;
}

/** Where a key belongs at one position of the log. */
export interface KeyLocation {
  readonly unit: UnitState;
  readonly target: TargetState | null;
}

export interface StateView {
  /** The offset of the next record to fold. */
  readonly nextOffset: number;
  readonly configurationVersion: number;
  readonly epoch: number;
  getTemplate(name: string): Template | undefined;
  listTemplates(): readonly Template[];
  getClientAccount(name: string): ClientAccount | undefined;
  listClientAccounts(): readonly ClientAccount[];
  getMember(id: string): MemberState | undefined;
  listMembers(): readonly MemberState[];
  /** Position at which the fold removed a member; undefined if never or long ago. */
  getRemovalPosition(instance: string): Position | undefined;
  getTarget(id: string): TargetState | undefined;
  listTargets(): readonly TargetState[];
  listTargetsOfTemplate(template: string): readonly TargetState[];
  getUnit(template: string, unit: UnitId): UnitState | undefined;
  listUnits(template: string): readonly UnitState[];
  /** Units of hot keys; few, unlike shards. */
  listKeyUnits(template: string): readonly UnitState[];
  listUnitsOfTarget(target: string): readonly UnitState[];
  /** Units on their way to this target. */
  listUnitsMovingTo(target: string): readonly UnitState[];
  locateKey(template: string, key: string): KeyLocation | undefined;
}
