/** What the simulation needs of a target's queue; `TargetScheduler` has it. */
import type {
  NextStep,
  OfferResult,
  ScheduledJob,
  ServiceObservation,
} from "@lentilspur/policy/scheduled_job";

export interface TargetQueue {
  offer(job: ScheduledJob, nowMs: number): OfferResult;
  take(nowMs: number): NextStep;
  takeExpired(nowMs: number): readonly ScheduledJob[];
  settle(jobId: string, observation: ServiceObservation, nowMs: number): void;
  cancel(jobId: string, nowMs: number): boolean;
  removeUnit(template: string, unit: string): readonly ScheduledJob[];
  estimateCostMs(job: ScheduledJob): number;
  assignReturnMs(job: ScheduledJob, nowMs: number): number;
}
