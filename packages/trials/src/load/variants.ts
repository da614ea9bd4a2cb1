/**
 * All decisions, all but one, and the plain baselines. A decision is left out
 * by what the simulation tells the modules or does with their answers, so the
 * modules under test are the ones that run in production.
 */
import {
  createScheduler,
  HastyReturnQueue,
  MAX_QUEUED,
  PatientQueue,
  QueuePerPlace,
  RelabelledQueue,
  UnlimitedQueue,
} from "./adapted_queues.ts";
import { PLACES_PER_TARGET } from "./deployments.ts";
import { PlainQueue } from "./plain_queue.ts";
import type { TargetQueue } from "./target_queue.ts";

export interface Variant {
  readonly name: string;
  createQueue(options: { readonly cold: boolean }): TargetQueue;
  /** Limits of client accounts at the entries. */
  readonly limitsAccounts: boolean;
  /** Requests whose caller has gone are withdrawn. */
  readonly cancels: boolean;
  /** Lookups that failed are sent again within a budget, or without one. */
  readonly retries: "budgeted" | "unbounded";
  /** An answer may be given up before its deadline. */
  readonly adaptsTimeout: boolean;
  readonly placement: "weighed" | "trusting-reports" | "fixed" | "round-robin";
  /** A unit's load: the time that it takes of places, or its requests. */
  readonly measuresLoadBy: "time" | "requests";
  readonly placesHotKeys: boolean;
  /** A target that joins is given its part by and by. */
  readonly startsSlowly: boolean;
}

/** What runs in production. */
export const ALL: Variant = {
  name: "all decisions",
  createQueue: ({ cold }) => createScheduler({ cold }),
  limitsAccounts: true,
  cancels: true,
  retries: "budgeted",
  adaptsTimeout: true,
  placement: "weighed",
  measuresLoadBy: "time",
  placesHotKeys: true,
  startsSlowly: true,
};

export const VARIANTS: readonly Variant[] = [
  ALL,
  {
    ...ALL,
    name: "- early refusal",
    createQueue: ({ cold }) => new PatientQueue(createScheduler({ cold })),
  },
  {
    ...ALL,
    name: "- giving up waiting jobs",
    createQueue: ({ cold }) => createScheduler({ cold, recheckMs: Infinity }),
  },
  {
    ...ALL,
    name: "- fair queueing",
    createQueue: ({ cold }) =>
      new RelabelledQueue(createScheduler({ cold }), (job) => ({
        ...job,
        clientAccount: "everyone",
      })),
  },
  { ...ALL, name: "- account limits", limitsAccounts: false },
  {
    ...ALL,
    name: "- fair queueing, account limits",
    limitsAccounts: false,
    createQueue: ({ cold }) =>
      new RelabelledQueue(createScheduler({ cold }), (job) => ({
        ...job,
        clientAccount: "everyone",
      })),
  },
  {
    ...ALL,
    name: "- cost classes",
    createQueue: ({ cold }) =>
      new RelabelledQueue(createScheduler({ cold }), (job) => ({
        ...job,
        costClass: "any",
        key: "any",
      })),
  },
  {
    ...ALL,
    name: "- place kept for short jobs",
    createQueue: ({ cold }) =>
      createScheduler({ cold, longJobPlaces: PLACES_PER_TARGET }),
  },
  {
    ...ALL,
    name: "- concurrency limit",
    createQueue: () => new UnlimitedQueue(createScheduler({ cold: false })),
  },
  {
    ...ALL,
    name: "- spread return times",
    createQueue: ({ cold }) => new HastyReturnQueue(createScheduler({ cold })),
  },
  {
    ...ALL,
    name: "- one queue for both places",
    createQueue: ({ cold }) => new QueuePerPlace(cold),
  },
  { ...ALL, name: "- cancellation", cancels: false },
  { ...ALL, name: "- retry budget", retries: "unbounded" },
  { ...ALL, name: "- adaptive timeout", adaptsTimeout: false },
  { ...ALL, name: "- hot key placement", placesHotKeys: false },
  { ...ALL, name: "- balancing", placement: "fixed" },
  { ...ALL, name: "- latency feedback", measuresLoadBy: "requests" },
  { ...ALL, name: "- slow start", startsSlowly: false },
  { ...ALL, name: "- own observations", placement: "trusting-reports" },
  makeBaseline("first come first served", {
    places: PLACES_PER_TARGET,
    maxQueued: MAX_QUEUED,
  }),
  makeBaseline("unbounded queue", {
    places: PLACES_PER_TARGET,
    maxQueued: Infinity,
  }),
  {
    ...ALL,
    name: "round robin",
    placement: "round-robin",
    placesHotKeys: false,
  },
  makeBaseline("no limits", { places: Infinity, maxQueued: Infinity }),
];

function makeBaseline(
  name: string,
  options: { readonly places: number; readonly maxQueued: number },
): Variant {
  return {
    ...ALL,
    name,
    createQueue: () => new PlainQueue(options),
    limitsAccounts: false,
    cancels: false,
    retries: "unbounded",
    adaptsTimeout: false,
    placement: "fixed",
    placesHotKeys: false,
    startsSlowly: false,
  };
}
