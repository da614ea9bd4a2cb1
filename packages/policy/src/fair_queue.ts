/**
 * Start-time fair queueing among client accounts, by weight and measured cost.
 *
 * Load pattern: one client account sends twenty times its share. With one
 * queue in order of arrival everybody waits behind it; here each account waits
 * behind its own jobs and, of the others', only behind their fair share.
 *
 * An account's start tag is the virtual time at which its next job is due; a
 * job moves it on by cost over weight. Tags lie behind the virtual time never
 * by more than a bounded credit when an account becomes active.
 */
import { AccountQueue, type QueuedJob } from "./account_queue.ts";
import type { ScheduledJob } from "./scheduled_job.ts";

/** The oldest job of an account that may run. */
interface QueueHead {
  readonly account: AccountQueue;
  readonly index: number;
  readonly arrivedAtMs: number;
}

/** Where a new job of an account would stand. */
export interface QueuePlace {
  /**
   * Work that is served before it and is as long, or as short, as the job
   * itself, in milliseconds of one place.
   */
  readonly likeAheadMs: number;
  /** Virtual time at which the account's last job would be done. */
  readonly finishTag: number;
}

/**
 * How far behind the virtual time an account may start after it was idle, in
 * milliseconds of one place for a weight of 1. An account that asks for little
 * so goes before one that asks for more all the time, for this much work: ten
 * requests of 20 ms. It bounds what an idle account can claim later.
 */
const IDLE_CREDIT_MS = 200;
/**
 * Tags that differ by less count as equal, and the oldest job goes first. Exact
 * order by tags makes whoever sent two requests at once wait longer, although
 * nobody is over its share; this much is five requests of 20 ms.
 */
const TAG_SLACK_MS = 100;
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

  /** The part of `workMs` that is long jobs. */
  get longWorkMs(): number {
    let workMs = 0;
    for (const account of this.#backlogged) {
      workMs += account.longWorkMs;
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
      account.startTag = this.#computeStartTag(account);
      this.#backlogged.push(account);
    }
    account.add(queued);
    this.#size++;
  }

  /** Where a job of this account and cost would stand, were it added now. */
  locateNew(queued: QueuedJob): QueuePlace {
    const { job, costMs, long } = queued;
    const own = this.#accounts.get(job.clientAccount);
    const startTag = this.#computeStartTag(own);
    const ownLikeMs = own?.getLikeWorkMs(long) ?? 0;
    const dueTag = startTag + ownLikeMs / job.weight;
    const workMs = (own?.workMs ?? 0) + costMs;
    return {
      likeAheadMs: ownLikeMs + this.#computeOthersWork(own, dueTag, long),
      finishTag: startTag + workMs / job.weight,
    };
  }

  /** The account whose last waiting job is due latest, and when it is done. */
  findMostOverShare(): { account: string; finishTag: number } | null {
    let worst: { account: string; finishTag: number } | null = null;
    for (const account of this.#backlogged) {
      const { finishTag } = account;
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
   * Among the accounts that are due, the oldest job that `mayRun` allows; of
   * each account the oldest such job counts. `lagMs` is the service, in
   * milliseconds of one place, that an account is behind beyond its credit.
   */
  takeNext(
    mayRun: (queued: QueuedJob, lagMs: number) => boolean,
  ): QueuedJob | undefined {
    const heads = this.#listHeads(mayRun);
    let earliestTag = Infinity;
    for (const { account } of heads) {
      earliestTag = Math.min(earliestTag, account.startTag);
    }
    let best: QueueHead | undefined;
    for (const head of heads) {
      const due = head.account.startTag <= earliestTag + TAG_SLACK_MS;
      if (due && head.arrivedAtMs < (best?.arrivedAtMs ?? Infinity)) {
        best = head;
      }
    }
    return best === undefined
      ? undefined
      : this.#startAt(best.account, best.index);
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
   * Removes and returns jobs that `isLate` for the like work ahead. What is
   * removed counts no longer for those behind it in the same account.
   */
  takeLate(
    isLate: (queued: QueuedJob, likeAheadMs: number) => boolean,
  ): readonly QueuedJob[] {
    const taken: QueuedJob[] = [];
    for (const account of this.#backlogged.slice()) {
      const ownMs = { long: 0, short: 0 };
      for (let index = 0; index < account.waiting.length;) {
        const queued = account.waiting[index]!;
        const kind = queued.long ? "long" : "short";
        const dueTag = account.startTag + ownMs[kind] / account.weight;
        const aheadMs = ownMs[kind] +
          this.#computeOthersWork(account, dueTag, queued.long);
        if (isLate(queued, aheadMs)) {
          taken.push(this.#removeAt(account, index));
        } else {
          ownMs[kind] += queued.costMs;
          index++;
        }
      }
    }
    return taken;
  }

  #listHeads(
    mayRun: (queued: QueuedJob, lagMs: number) => boolean,
  ): readonly QueueHead[] {
    const heads: QueueHead[] = [];
    for (const account of this.#backlogged) {
      const lag = this.#virtualTime - IDLE_CREDIT_MS - account.startTag;
      const lagMs = Math.max(0, lag) * account.weight;
      const index = account.waiting.findIndex((each) => mayRun(each, lagMs));
      if (index >= 0) {
        const { arrivedAtMs } = account.waiting[index]!.job;
        heads.push({ account, index, arrivedAtMs });
      }
    }
    return heads;
  }

  #startAt(account: AccountQueue, index: number): QueuedJob {
    const queued = this.#removeAt(account, index);
    this.#virtualTime = Math.max(this.#virtualTime, account.startTag);
    account.startTag += queued.costMs / account.weight;
    account.running++;
    return queued;
  }

  #removeAt(account: AccountQueue, index: number): QueuedJob {
    const removed = account.removeAt(index);
    this.#size--;
    if (account.waiting.length === 0) {
      this.#backlogged.splice(this.#backlogged.indexOf(account), 1);
    }
    return removed;
  }

  #computeStartTag(account: AccountQueue | undefined): number {
    if (account !== undefined && account.waiting.length > 0) {
      return account.startTag;
    }
    const earliest = this.#virtualTime - IDLE_CREDIT_MS;
    return Math.max(account?.startTag ?? earliest, earliest);
  }

  /** Work of the other accounts that is due before a virtual time. */
  #computeOthersWork(
    own: AccountQueue | undefined,
    dueTag: number,
    long: boolean,
  ): number {
    let workMs = 0;
    for (const other of this.#backlogged) {
      workMs += other === own ? 0 : other.computeDueWorkMs(dueTag, long);
    }
    return workMs;
  }

  #claimAccount(job: ScheduledJob): AccountQueue {
    const known = this.#accounts.get(job.clientAccount);
    if (known !== undefined) {
      return known;
    }
    const account = new AccountQueue(job.clientAccount, {
      weight: job.weight,
      startTag: this.#virtualTime - IDLE_CREDIT_MS,
    });
    this.#accounts.set(job.clientAccount, account);
    return account;
  }

  /** An account without jobs that has all its credit is as good as unknown. */
  #clearIdleAccounts(): void {
    for (const account of this.#accounts.values()) {
      const idle = account.waiting.length === 0 && account.running === 0;
      if (idle && account.startTag <= this.#virtualTime - IDLE_CREDIT_MS) {
        this.#accounts.delete(account.name);
      }
    }
  }
}
