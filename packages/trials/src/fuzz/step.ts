/**
 * What can happen in a cluster, as data: callers' requests, time that passes,
 * and every failure of the brief. The fuzz draws steps, traces keep them.
 * Indexes are taken modulo what is there.
 */
import { z } from "zod";

const index = z.int().min(0);

/** How the way between an instance and a target fails. */
export const WAYS = ["open", "silent", "held", "unreachable"] as const;

/** How the way between an instance and the log fails. */
export const LOG_FAULTS = [
  "cut",
  "mended",
  "slow",
  "lost-answer",
  "lost-append",
  "late-append",
] as const;

export type LogFault = typeof LOG_FAULTS[number];

export const stepSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("advance"), ms: z.int().min(1) }),
  z.object({
    kind: z.literal("send"),
    via: index,
    key: z.string(),
    idempotent: z.boolean(),
    /** Whether the caller fetched the request id before it sent. */
    isMintedBefore: z.boolean(),
  }),
  z.object({ kind: z.literal("resend"), via: index, back: index }),
  z.object({ kind: z.literal("pause"), instance: index }),
  /** Between a check and the act that it allowed. */
  z.object({ kind: z.literal("pause-at-call"), instance: index }),
  z.object({ kind: z.literal("resume"), instance: index }),
  z.object({ kind: z.literal("crash"), instance: index }),
  z.object({ kind: z.literal("stop"), instance: index }),
  z.object({ kind: z.literal("start") }),
  z.object({
    kind: z.literal("isolate"),
    instance: index,
    isIsolated: z.boolean(),
  }),
  z.object({
    kind: z.literal("cut"),
    left: index,
    right: index,
    isCut: z.boolean(),
  }),
  z.object({ kind: z.literal("lose-peer-answers"), instance: index }),
  z.object({ kind: z.literal("log-down"), isDown: z.boolean() }),
  z.object({
    kind: z.literal("log-link"),
    instance: index,
    fault: z.enum(LOG_FAULTS),
  }),
  z.object({
    kind: z.literal("target-way"),
    instance: index,
    target: index,
    way: z.enum(WAYS),
  }),
  z.object({
    kind: z.literal("target-answers-lost"),
    instance: index,
    target: index,
  }),
  z.object({ kind: z.literal("freeze"), target: index }),
  z.object({ kind: z.literal("thaw"), target: index }),
  z.object({ kind: z.literal("target-stop"), target: index }),
  z.object({ kind: z.literal("target-start"), target: index }),
  z.object({ kind: z.literal("leaving"), target: index }),
  /** The target reports this many running requests, whatever is true. */
  z.object({ kind: z.literal("lie"), target: index, load: index }),
  z.object({ kind: z.literal("shed"), target: index, sheds: z.boolean() }),
  z.object({ kind: z.literal("list-lag"), ms: z.int().min(0) }),
  z.object({ kind: z.literal("list-down"), isDown: z.boolean() }),
  z.object({ kind: z.literal("publish-twice") }),
]);

export type Step = z.infer<typeof stepSchema>;
