/**
 * Start-time fair queueing among client accounts, by weight and measured cost.
 *
 * Load pattern: one client account sends twenty times its share. With one
 * queue in order of arrival everybody waits behind it; here each account waits
 * behind its own jobs and, of the others', only behind their fair share.
 *
 * An account's start tag is the virtual time at which its next job is due; a
 * job moves it on by cost over weight. Tags never lie behind the virtual time
 * when an account becomes active, so idle time earns no credit.
 */
import type { ScheduledJob } from "./scheduled_job.ts";

/** A waiting job with what was expected of it when it was admitted. */
export interface QueuedJob {
  readonly job: ScheduledJob;
  readonly costMs: number;
  readonly long: boolean;
  /** Starting later than this would miss the deadline or the queue's bound. */
  readonly latestStartMs: number;
}

interface AccountQueue {
  readonly name: string;
  weight: number;
  startTag: number;
  workMs: number;
  running: number;
  readonly waiting: QueuedJob[];
}

/** Where a new job of an account would stand. */
export interface QueuePlace {
  /** Work, in milliseconds of one place, that is served before it. */
  readonly workAheadMs: number;
  /** Virtual time at which the account's last job would be done. */
  readonly finishTag: number;
}

/** Idle accounts are swept once this many are known. */
const SWEEP_ABOVE = 256;

export class FairQueue {
  readonly #accounts = new Map<string, AccountQueue>();
  /** The accounts with waiting jobs; every decision looks through these only. */
  readonly #backlogged: AccountQueue[] = [];
  #virtualTime = 0;
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** Waiting work, in milliseconds of one place. */
  get workMs(): number {
    let workMs = 0;
    for (const account of this.#backlogged) {
      workMs += account.workMs;
    }
    return workMs;
  }

  /** Client accounts with waiting jobs. */
  get backloggedAccounts(): number {
    return this.#backlogged.length;
  }

  add(queued: QueuedJob): void {
    const account = this.#claimAccount(queued.job);
    account.weight = queued.job.weight;
    if (account.waiting.length === 0) {
      account.startTag = Math.max(account.startTag, this.#virtualTime);
      this.#backlogged.push(account);
    }
    account.waiting.push(queued);
    account.workMs += queued.costMs;
    this.#size++;
  }

  /** Where a job of this account and cost would stand, were it added now. */
  locateNew(
    job: Pick<ScheduledJob, "clientAccount" | "weight">,
    costMs: number,
  ): QueuePlace {
    const own = this.#accounts.get(job.clientAccount);
    const ownWorkMs = own?.workMs ?? 0;
    const startTag = Math.max(own?.startTag ?? 0, this.#virtualTime);
    const dueTag = startTag + ownWorkMs / job.weight;
    return {
      workAheadMs: ownWorkMs + this.#computeOthersWork(own, dueTag),
      finishTag: dueTag + costMs / job.weight,
    };
  }

  /** The account whose last waiting job is due latest, and when it is done. */
  findMostOverShare(): { account: string; finishTag: number } | null {
    let worst: { account: string; finishTag: number } | null = null;
    for (const account of this.#backlogged) {
      const finishTag = account.startTag + account.workMs / account.weight;
      if (finishTag > (worst?.finishTag ?? -Infinity)) {
        worst = { account: account.name, finishTag };
      }
    }
    return worst;
  }

  /** Removes the newest waiting job of an account. */
  takeNewest(accountName: string): QueuedJob | undefined {
    const account = this.#accounts.get(accountName);
    const newest = account?.waiting.at(-1);
    if (account !== undefined && newest !== undefined) {
      this.#removeAt(account, account.waiting.length - 1);
    }
    return newest;
  }

  /**
   * The job that is due first among those that `mayRun` allows. Each account
   * offers its oldest allowed job. `lagMs` is the service, in milliseconds of
   * one place, that the account has fallen behind the virtual time.
   */
  takeNext(
    mayRun: (queued: QueuedJob, lagMs: number) => boolean,
  ): QueuedJob | undefined {
    let best: AccountQueue | undefined;
    let bestIndex = -1;
    for (const account of this.#backlogged) {
      if (best !== undefined && account.startTag >= best.startTag) {
        continue;
      }
      const lag = this.#virtualTime - account.startTag;
      const lagMs = Math.max(0, lag) * account.weight;
      const index = account.waiting.findIndex((each) => mayRun(each, lagMs));
      if (index >= 0) {
        best = account;
        bestIndex = index;
      }
    }
    return best === undefined ? undefined : this.#startAt(best, bestIndex);
  }

  /** Charges what a finished job cost beyond its estimate. */
  settle(accountName: string, extraMs: number): void {
    const account = this.#accounts.get(accountName);
    if (account === undefined) {
      return;
    }
    account.running--;
    account.startTag += extraMs / account.weight;
    if (this.#accounts.size > SWEEP_ABOVE) {
      this.#clearIdleAccounts();
    }
  }

  /** Removes and returns the waiting jobs for which `applies` holds. */
  takeWhere(
    applies: (queued: QueuedJob) => boolean,
  ): readonly QueuedJob[] {
    const taken: QueuedJob[] = [];
    for (const account of this.#backlogged.slice()) {
      for (let index = account.waiting.length - 1; index >= 0; index--) {
        if (applies(account.waiting[index]!)) {
          taken.push(this.#removeAt(account, index));
        }
      }
    }
    return taken;
  }

  /**
   * Removes and returns jobs that `isLate` for the work ahead of them. What is
   * removed counts no longer for those behind it in the same account.
   */
  takeLate(
    isLate: (queued: QueuedJob, workAheadMs: number) => boolean,
  ): readonly QueuedJob[] {
    const taken: QueuedJob[] = [];
    for (const account of this.#backlogged.slice()) {
      let ownWorkMs = 0;
      for (let index = 0; index < account.waiting.length;) {
        const queued = account.waiting[index]!;
        const dueTag = account.startTag + ownWorkMs / account.weight;
        const aheadMs = ownWorkMs + this.#computeOthersWork(account, dueTag);
        if (isLate(queued, aheadMs)) {
          taken.push(this.#removeAt(account, index));
        } else {
          ownWorkMs += queued.costMs;
          index++;
        }
      }
    }
    return taken;
  }

  #startAt(account: AccountQueue, index: number): QueuedJob {
    const queued = this.#removeAt(account, index);
    this.#virtualTime = Math.max(this.#virtualTime, account.startTag);
    account.startTag += queued.costMs / account.weight;
    account.running++;
    return queued;
  }

  #removeAt(account: AccountQueue, index: number): QueuedJob {
    const [removed] = account.waiting.splice(index, 1);
    account.workMs -= removed!.costMs;
    this.#size--;
    if (account.waiting.length === 0) {
      account.workMs = 0;
      this.#backlogged.splice(this.#backlogged.indexOf(account), 1);
    }
    return removed!;
  }

  #computeOthersWork(own: AccountQueue | undefined, dueTag: number): number {
    let workMs = 0;
    for (const other of this.#backlogged) {
      if (other !== own) {
        const dueMs = (dueTag - other.startTag) * other.weight;
        workMs += Math.min(Math.max(0, dueMs), other.workMs);
      }
    }
    return workMs;
  }

  #claimAccount(job: ScheduledJob): AccountQueue {
    const known = this.#accounts.get(job.clientAccount);
    if (known !== undefined) {
      return known;
    }
    const account = {
      name: job.clientAccount,
      weight: job.weight,
      startTag: this.#virtualTime,
      workMs: 0,
      running: 0,
      waiting: [],
    };
    this.#accounts.set(job.clientAccount, account);
    return account;
  }

  /** An account without jobs that is not ahead of the virtual time says nothing. */
  #clearIdleAccounts(): void {
    for (const account of this.#accounts.values()) {
      const idle = account.waiting.length === 0 && account.running === 0;
      if (idle && account.startTag <= this.#virtualTime) {
        this.#accounts.delete(account.name);
      }
    }
  }
}
