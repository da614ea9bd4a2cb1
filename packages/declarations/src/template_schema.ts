/** Schema of `kind: Template` documents, and their conversion. */
import { z } from "zod";
import { TEMPLATE_DEFAULTS } from "./defaults.ts";
import {
  booleanSchema,
  createDurationSchema,
  createIntegerSchema,
  createNumberSchema,
  createObjectSchema,
  createSizeSchema,
  nameSchema,
} from "./field_schemas.ts";
import { isValidRoutePath, ROUTE_PATH_ALLOWED } from "./route_path.ts";
import type { Template } from "./template.ts";

/**
 * A table in memory with one owner per shard would have at most 65,536 entries.
 * The router does not use the shard count (see `Template.shardCount`).
 */
export const MAX_SHARD_COUNT = 65_536;

/** At most 10 minutes, because no caller waits longer. */
const durationSchema = createDurationSchema({ min: 1, max: 600_000 });

/** At most 16 MiB, because bodies are held in memory while requests wait. */
const sizeSchema = createSizeSchema({ min: 1, max: 16 * 1_048_576 });

const weightSchema = createNumberSchema({ min: 0, max: 1_000 });

const METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"] as const;

const routeSchema = createObjectSchema({
  method: z.enum(METHODS, { error: `one of ${METHODS.join(", ")}` }),
  path: z
    .string({ error: ROUTE_PATH_ALLOWED })
    .refine(isValidRoutePath, { error: ROUTE_PATH_ALLOWED }),
  /** Required, so that the author of each route makes the decision. */
  idempotent: booleanSchema,
});

const ROUTES_ALLOWED = "a list of 1 to 256 routes";

const defaults = TEMPLATE_DEFAULTS;

/** Fills in defaults and parses units; `toTemplate` converts the output. */
export const templateSchema = createObjectSchema({
  kind: z.literal("Template"),
  name: nameSchema,
  routes: z
    .array(routeSchema, { error: ROUTES_ALLOWED })
    .min(1, { error: ROUTES_ALLOWED })
    .max(256, { error: ROUTES_ALLOWED }),
  shardCount: createIntegerSchema({ min: 1, max: MAX_SHARD_COUNT }),
  placesPerTarget: createIntegerSchema({ min: 1, max: 1_024 })
    .default(defaults.placesPerTarget),
  deadlines: createObjectSchema({
    default: durationSchema.prefault(defaults.deadlines.default),
    max: durationSchema.prefault(defaults.deadlines.max),
  }).prefault({}),
  limits: createObjectSchema({
    maxBody: sizeSchema.prefault(defaults.limits.maxBody),
    maxAnswer: sizeSchema.prefault(defaults.limits.maxAnswer),
    maxQueuedPerTarget: createIntegerSchema({ min: 1, max: 65_536 })
      .default(defaults.limits.maxQueuedPerTarget),
    maxQueueTime: durationSchema.prefault(defaults.limits.maxQueueTime),
  }).prefault({}),
  placement: createObjectSchema({
    imbalance: weightSchema.default(defaults.placement.imbalance),
    churn: weightSchema.default(defaults.placement.churn),
    unservedTime: weightSchema.default(defaults.placement.unservedTime),
  }).prefault({}),
  retry: createObjectSchema({
    budgetRatio: createNumberSchema({ min: 0, max: 1 })
      .default(defaults.retry.budgetRatio),
    maxAttempts: createIntegerSchema({ min: 1, max: 10 })
      .default(defaults.retry.maxAttempts),
  }).prefault({}),
  maxHotKeys: createIntegerSchema({ min: 0, max: 1_024 })
    .default(defaults.maxHotKeys),
  drainPriority: createIntegerSchema({ min: 0, max: 100 })
    .default(defaults.drainPriority),
});

export type TemplateDocument = z.output<typeof templateSchema>;

/** Converts a valid document into the template that the system uses. */
export function toTemplate(document: TemplateDocument): Template {
  const { deadlines, limits } = document;
  return {
    name: document.name,
    routes: document.routes,
    shardCount: document.shardCount,
    placesPerTarget: document.placesPerTarget,
    deadlines: { defaultMs: deadlines.default, maxMs: deadlines.max },
    limits: {
      maxBodyBytes: limits.maxBody,
      maxAnswerBytes: limits.maxAnswer,
      maxQueuedPerTarget: limits.maxQueuedPerTarget,
      maxQueueMs: limits.maxQueueTime,
    },
    placement: document.placement,
    retry: document.retry,
    maxHotKeys: document.maxHotKeys,
    drainPriority: document.drainPriority,
  };
}
