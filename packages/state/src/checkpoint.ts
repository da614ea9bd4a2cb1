/**
 * Checkpoints of the fold, as records of the checkpoint stream. A state is
 * split into parts; it counts only when all parts of one writing are there,
 * their digest matches, and the state says the offset that was announced. So a
 * half-written checkpoint is nothing, and two that interleave keep apart.
 */
import { createHash } from "node:crypto";
import { z } from "zod";

export interface CheckpointPart {
  /** Names this writing; never used again. */
  readonly checkpoint: string;
  readonly part: number;
  readonly parts: number;
  /** The offset of the first record that the state has not folded. */
  readonly nextOffset: number;
  /** Digest of the whole state's text. */
  readonly digest: string;
  readonly data: string;
}

/** A whole checkpoint, as far as its digest vouches for it. */
export interface Checkpoint {
  readonly id: string;
  readonly nextOffset: number;
  readonly digest: string;
  readonly text: string;
  /** Where its earliest part stands in the checkpoint stream. */
  readonly firstRecord: number;
}

/** Characters of one part; well below what a log takes as one record. */
const PART_LENGTH = 64 * 1024;
/** Bounds what a writer's broken parts can occupy in memory. */
const MAX_PARTS = 4_096;
/** Writings followed at one time; the one begun first is forgotten. */
const MAX_OPEN = 8;

const partSchema = z.object({
  checkpoint: z.string().min(1).max(512),
  part: z.int().min(0),
  parts: z.int().min(1).max(MAX_PARTS),
  nextOffset: z.int().min(0),
  digest: z.string().length(64),
  data: z.string(),
});

/** Equal states have equal digests, on every instance. */
export function hashState(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** The payloads to append, in order. */
export function splitCheckpoint(
  text: string,
  options: { readonly id: string; readonly nextOffset: number },
): readonly string[] {
  const parts = Math.max(1, Math.ceil(text.length / PART_LENGTH));
  const digest = hashState(text);
  return Array.from({ length: parts }, (_, part) => {
    const data = text.slice(part * PART_LENGTH, (part + 1) * PART_LENGTH);
    const { id: checkpoint, nextOffset } = options;
    const whole: CheckpointPart = {
      checkpoint,
      part,
      parts,
      nextOffset,
      digest,
      data,
    };
    return JSON.stringify(whole);
  });
}

interface OpenCheckpoint {
  readonly head: CheckpointPart;
  readonly firstRecord: number;
  readonly data: Map<number, string>;
}

export type Collected =
  | { readonly kind: "nothing-yet" }
  | { readonly kind: "complete"; readonly checkpoint: Checkpoint }
  /** All parts came, and they do not make the state that they announced. */
  | { readonly kind: "broken"; readonly id: string };

/** Puts parts together as they come, in any order, more than once, or never. */
export class CheckpointCollector {
  readonly #open = new Map<string, OpenCheckpoint>();

  add(record: number, payload: string): Collected {
    const part = parsePart(payload);
    if (part === undefined) {
      return { kind: "nothing-yet" };
    }
    const open = this.#getOpen(record, part);
    const { head } = open;
    if (part.parts !== head.parts || part.digest !== head.digest) {
      return { kind: "nothing-yet" };
    }
    open.data.set(part.part, part.data);
    if (open.data.size < head.parts) {
      return { kind: "nothing-yet" };
    }
    this.#open.delete(head.checkpoint);
    return buildCheckpoint(open);
  }

  #getOpen(record: number, part: CheckpointPart): OpenCheckpoint {
    const known = this.#open.get(part.checkpoint);
    if (known !== undefined) {
      return known;
    }
    const open = { head: part, firstRecord: record, data: new Map() };
    this.#open.set(part.checkpoint, open);
    if (this.#open.size > MAX_OPEN) {
      const oldest = this.#open.keys().next().value;
      this.#open.delete(oldest!);
    }
    return open;
  }
}

function buildCheckpoint(open: OpenCheckpoint): Collected {
  const { head, data, firstRecord } = open;
  const { checkpoint: id, nextOffset, digest } = head;
  const text = Array.from(
    { length: head.parts },
    (_, part) => data.get(part) ?? "",
  ).join("");
  return hashState(text) === digest
    ? {
      kind: "complete",
      checkpoint: { id, nextOffset, digest, text, firstRecord },
    }
    : { kind: "broken", id };
}

function parsePart(payload: string): CheckpointPart | undefined {
  try {
    const parsed = partSchema.safeParse(JSON.parse(payload));
    return parsed.success && parsed.data.part < parsed.data.parts
      ? parsed.data
      : undefined;
  } catch {
    return undefined;
  }
}
