/**
 * The tables that the fold keeps. They are changed only by the modules beside
 * this one that apply entries, and shown outside as a `StateView`.
 */
import type {
  ClientAccount,
  Template,
} from "@lentilspur/declarations/template";
import type { Position } from "@lentilspur/outcomes/position";
import { BoundedSet } from "./bounded_set.ts";
import { UnitTable } from "./unit_table.ts";
import type { MemberState, TargetState } from "./view.ts";

/**
 * Envelope ids remembered to recognise a repeated append. A writer repeats an
 * append within seconds, and batched appends stay below ten a second, so this
 * covers minutes; an older repeat still fails its own precondition.
 */
export const REMEMBERED_ENVELOPES = 4_096;

/** Removed members remembered, so that their ids cannot join again. */
export const REMEMBERED_REMOVALS = 8_192;

/** Where an entry stands and who wrote it. */
export interface EntryContext {
  readonly position: Position;
  readonly author: string;
}

export class Tables {
  nextOffset = 0;
  configurationVersion = 0;
  epoch = 0;
  readonly templates = new Map<string, Template>();
  readonly clientAccounts = new Map<string, ClientAccount>();
  readonly members = new Map<string, MemberState>();
  readonly removals = new Map<string, Position>();
  readonly targets = new Map<string, TargetState>();
  readonly units = new UnitTable();
  readonly envelopeIds = new BoundedSet(REMEMBERED_ENVELOPES);

  isMember(id: string): boolean {
    return this.members.has(id);
  }

  listTargetsOfTemplate(template: string): readonly TargetState[] {
    return [...this.targets.values()]
      .filter((state) => state.target.template === template);
  }

  removeMember(id: string, position: Position): void {
    this.members.delete(id);
    this.removals.set(id, position);
    if (this.removals.size > REMEMBERED_REMOVALS) {
      const oldest = this.removals.keys().next().value;
      this.removals.delete(oldest!);
    }
  }
}
