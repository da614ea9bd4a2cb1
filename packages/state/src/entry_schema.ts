/**
 * Reads a log payload. The log is shared, so anything may stand in it: text
 * that is no envelope is skipped by every instance alike, never half-applied.
 */
import { z } from "zod";
import { MAX_ENTRIES_PER_RECORD } from "@lentilspur/outcomes/position";
import type { Envelope } from "./entries.ts";

const name = z.string().min(1).max(512);
const position = z.int();
const count = z.int().min(0);
const ratio = z.number().min(0);

const routeSchema = z.object({
  method: name,
  path: name,
  idempotent: z.boolean(),
});

const templateSchema = z.object({
  name,
  routes: z.array(routeSchema),
  shardCount: z.int().min(1).max(65_536),
  placesPerTarget: z.int().min(1),
  deadlines: z.object({ defaultMs: ratio, maxMs: ratio }),
  limits: z.object({
    maxBodyBytes: count,
    maxAnswerBytes: count,
    maxQueuedPerTarget: count,
    maxQueueMs: ratio,
  }),
  placement: z.object({
    imbalance: ratio,
    churn: ratio,
    unservedTime: ratio,
  }),
  retry: z.object({ budgetRatio: ratio, maxAttempts: count }),
  maxHotKeys: count,
  drainPriority: z.number(),
});

const clientAccountSchema = z.object({
  name,
  credentialDigests: z.array(name),
  templates: z.array(z.object({
    template: name,
    weight: ratio,
    requestsPerSecond: ratio,
    burst: ratio,
    maxConcurrent: count,
  })),
});

const documentChangeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("template"),
    name,
    content: templateSchema.nullable(),
  }),
  z.object({
    kind: z.literal("clientAccount"),
    name,
    content: clientAccountSchema.nullable(),
  }),
]);

const instanceLossSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("guardians"),
    guardianToken: position,
    consented: z.array(name),
    waitedOut: z.array(name),
  }),
  z.object({ kind: z.literal("operator"), operator: name }),
]);

const targetLossSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("grants-lapsed") }),
  z.object({ kind: z.literal("process-ended") }),
  z.object({ kind: z.literal("restarted") }),
  z.object({ kind: z.literal("operator"), operator: name }),
]);

const placements = z.array(z.object({ unit: name, to: name }));

const entrySchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("configuration-published"),
    expectedVersion: count,
    changes: z.array(documentChangeSchema),
    operator: name,
  }),
  z.object({
    kind: z.literal("instance-joined"),
    instance: z.object({
      id: name,
      peerAddress: name,
      httpAddress: name,
      dataCentre: name,
    }),
    guardians: z.array(name),
  }),
  z.object({
    kind: z.literal("guardians-changed"),
    instance: name,
    expectedToken: position,
    guardians: z.array(name),
  }),
  z.object({ kind: z.literal("instance-left"), instance: name }),
  z.object({
    kind: z.literal("instance-lost"),
    instance: name,
    evidence: instanceLossSchema,
    stewardships: z.array(z.object({ target: name, to: name })),
  }),
  z.object({
    kind: z.literal("target-joined"),
    target: z.object({
      id: name,
      address: name,
      dataCentre: name,
      template: name,
      checksGrants: z.boolean(),
    }),
    steward: name,
  }),
  z.object({ kind: z.literal("target-leaving"), target: name }),
  z.object({ kind: z.literal("target-left"), target: name }),
  z.object({
    kind: z.literal("target-lost"),
    target: name,
    expectedStewardToken: position,
    evidence: targetLossSchema,
    reassigned: placements,
  }),
  z.object({
    kind: z.literal("steward-changed"),
    target: name,
    expectedToken: position,
    to: name,
  }),
  z.object({
    kind: z.literal("units-assigned"),
    template: name,
    units: placements,
  }),
  z.object({
    kind: z.literal("move-started"),
    template: name,
    unit: name,
    expectedToken: position,
    to: name,
    reason: z.enum(["balance", "hot-key", "hot-key-over", "drain"]),
  }),
  z.object({
    kind: z.literal("move-released"),
    template: name,
    unit: name,
    moveToken: position,
  }),
  z.object({
    kind: z.literal("move-abandoned"),
    template: name,
    unit: name,
    moveToken: position,
  }),
  z.object({ kind: z.literal("epoch-advanced"), expectedEpoch: count }),
]);

const envelopeSchema = z.object({
  id: name,
  author: name,
  entries: z.array(entrySchema).min(1).max(MAX_ENTRIES_PER_RECORD),
});

/** Undefined where the payload is no envelope. */
export function parseEnvelope(payload: string): Envelope | undefined {
  try {
    const parsed = envelopeSchema.safeParse(JSON.parse(payload));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

export function serializeEnvelope(envelope: Envelope): string {
  return JSON.stringify(envelope);
}
