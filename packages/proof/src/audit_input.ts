/**
 * Reads what operators collected: files of JSON lines that hold decision lines,
 * exported log records, targets' histories, or a mix. A line that cannot be read is counted and
 * reported, never guessed at.
 */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { LogRecord } from "@lentilspur/ports/log";
import { z } from "zod";
import type { DecisionLine } from "./decision_line.ts";
import { type TargetExecution, toExecution } from "./evidence.ts";

/** What one line of input turned out to be. */
export type AuditInput =
  | { readonly kind: "line"; readonly line: DecisionLine }
  | { readonly kind: "record"; readonly record: LogRecord }
  | { readonly kind: "execution"; readonly execution: TargetExecution }
  /**
   * Not for the audit: headers and seals of export files, which `export
   * verify` judges, and what instances write for people.
   */
  | { readonly kind: "other" }
  | {
    readonly kind: "unreadable";
    readonly file: string;
    readonly lineNumber: number;
  };

const headSchema = z.object({
  instance: z.string().min(1),
  sequence: z.int().min(0),
  elapsedMs: z.number(),
  time: z.string(),
  foldedOffset: z.int(),
});

const subjectSchema = headSchema.extend({
  requestId: z.string(),
  clientAccount: z.string(),
  template: z.string(),
  key: z.string(),
  idempotent: z.boolean(),
});

const outcomeSchema = z.enum(["ran", "not-run", "unknown"]);

/** Only what the checks lean on; further fields pass through. */
const lineSchema = z.discriminatedUnion("decision", [
  subjectSchema.extend({
    decision: z.literal("request-routed"),
    unit: z.string(),
    target: z.string(),
    steward: z.string(),
  }).loose(),
  subjectSchema.extend({
    decision: z.literal("request-dispatched"),
    unit: z.string(),
    target: z.string(),
    stewardToken: z.int(),
    unitToken: z.int(),
    attempt: z.int(),
  }).loose(),
  subjectSchema.extend({
    decision: z.literal("request-settled"),
    unit: z.string(),
    target: z.string(),
    attempt: z.int(),
    outcome: outcomeSchema,
  }).loose(),
  subjectSchema.extend({
    decision: z.literal("request-answered"),
    outcome: outcomeSchema,
    status: z.int(),
  }).loose(),
  subjectSchema.extend({
    decision: z.literal("resend-recognised"),
    unit: z.string(),
    memory: z.enum(["answered", "joined", "not-remembered"]),
  }).loose(),
  headSchema.extend({
    decision: z.literal("configuration-in-force"),
    version: z.int(),
    position: z.int(),
  }).loose(),
  headSchema.extend({
    decision: z.enum([
      "move-proposed",
      "move-released",
      "grant-sent",
      "target-declared-lost",
      "instance-taken-over",
      "lease-changed",
      "stewardship-changed",
    ]),
  }).loose(),
]);

const recordSchema = z.object({ offset: z.int().min(0), payload: z.string() });

/** A target's own history, where it keeps one and gives it out. */
const runSchema = z.object({
  target: z.string(),
  template: z.string(),
  bootId: z.string(),
  sequence: z.int(),
  method: z.string(),
  requestId: z.string(),
  clientAccount: z.string(),
  key: z.string(),
  unit: z.string(),
  stewardToken: z.int(),
  unitToken: z.int(),
  startedAtMs: z.number(),
  endedAtMs: z.number().nullable(),
  ending: z.enum(["running", "done", "cancelled", "killed", "lapsed"]),
  answerDigest: z.string().exactOptional(),
});

const otherSchema = z.union([
  z.object({ kind: z.enum(["header", "seal"]) }),
  z.object({ level: z.string(), message: z.string() }),
]);

/** Streams the lines of one file; memory holds one line at a time. */
export async function* readAuditFile(file: string): AsyncGenerator<AuditInput> {
  const lines = createInterface({
    input: createReadStream(file),
    crlfDelay: Infinity,
  });
  let lineNumber = 0;
  for await (const text of lines) {
    lineNumber++;
    if (text.trim() !== "") {
      yield parseAuditLine(text) ?? { kind: "unreadable", file, lineNumber };
    }
  }
}

/** Undefined where the text is none of what an audit reads. */
export function parseAuditLine(text: string): AuditInput | undefined {
  // Decisions begin with a brace. A part of one that does not leaves a gap in
  // its instance's sequence, so nothing is overlooked by skipping it.
  if (!text.startsWith("{")) {
    return { kind: "other" };
  }
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return undefined;
  }
  const line = lineSchema.safeParse(value);
  if (line.success) {
    return { kind: "line", line: line.data as unknown as DecisionLine };
  }
  const record = recordSchema.safeParse(value);
  if (record.success) {
    return { kind: "record", record: record.data };
  }
  const run = runSchema.safeParse(value);
  if (run.success) {
    // Targets' clocks disagree, so their times order nothing here.
    const execution = toExecution(run.data, { hasCommonClock: false });
    return { kind: "execution", execution };
  }
  return otherSchema.safeParse(value).success ? { kind: "other" } : undefined;
}
