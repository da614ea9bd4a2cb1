/**
 * Appends entries and finds out what the fold made of them.
 *
 * Failure: the log takes an append and the answer is lost, or it takes the
 * append minutes after it was given up. A writer that guessed "not accepted"
 * would act against its own accepted entry, and one that guessed "accepted"
 * would act on nothing. So a verdict is only ever read back from the fold, and
 * an append that may have been taken is sent again under the same envelope id
 * until one copy is answered with its offset: whichever copy came first is at
 * or before that offset, and the fold lets the later ones change nothing.
 */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import { waitForAbort } from "@lentilspur/ports/abort";
import type { Clock, Random } from "@lentilspur/ports/clock";
import type { LogPort } from "@lentilspur/ports/log";
import type { Entry, Envelope, Verdict } from "@lentilspur/state/entries";
import {
  parseEnvelope,
  serializeEnvelope,
} from "@lentilspur/state/entry_schema";
import { AppendRate, type AppendStatistics } from "./append_rate.ts";
import { Backoff } from "./backoff.ts";
import type { FoldedLog, ReplicaEvent } from "./folded_log.ts";
import { type Submission, SubmitQueue } from "./submit_queue.ts";

export type SubmitFailure =
  /** Proved: no copy was given to the log, and none ever will be. */
  | { readonly kind: "not-appended"; readonly message: string }
  /** It may have been accepted, or may still be. */
  | { readonly kind: "unresolved"; readonly message: string };

export interface SubmitOptions {
  /** The instance that writes, or `operator:NAME`. */
  readonly author: string;
  /** Names the envelope; one that was accepted before changes nothing. */
  readonly id?: string;
  /** Ends the wait; what was appended until then stays `unresolved`. */
  readonly signal?: AbortSignal;
}

export type SubmitResult = Result<readonly Verdict[], SubmitFailure>;

export interface SubmitterOptions {
  readonly log: LogPort;
  readonly clock: Clock;
  readonly random: Random;
  readonly stream: string;
  readonly folded: FoldedLog;
}

const RADIX = 36;
const RANDOM_ID_RANGE = 2 ** 48;

/** An envelope that is on its way; settles with the first copy's verdicts. */
interface OpenEnvelope {
  readonly envelope: Envelope;
  readonly payload: string;
  readonly settled: AbortController;
  /** The offset of a copy that the log has answered. */
  takenAt: number | undefined;
  verdicts: readonly Verdict[] | undefined;
}

export class Submitter {
  readonly #options: SubmitterOptions;
  readonly #queue = new SubmitQueue();
  readonly #rate: AppendRate;
  readonly #open = new Map<string, OpenEnvelope>();
  readonly #idPrefix: string;
  #idCount = 0;
  #isPumping = false;

  constructor(options: SubmitterOptions) {
    this.#options = options;
    this.#rate = new AppendRate(options.clock);
    this.#idPrefix = Math.floor(options.random.draw() * RANDOM_ID_RANGE)
      .toString(RADIX);
    options.folded.watch((event) => this.#handleEvent(event));
  }

  get statistics(): AppendStatistics {
    return this.#rate.statistics;
  }

  /** Resolves with one verdict for each entry, once they are folded here. */
  submit(
    entries: readonly Entry[],
    options: SubmitOptions,
  ): Promise<SubmitResult> {
    return new Promise((resolve) => {
      const refusal = this.#queue.add({ entries, ...options, resolve });
      if (refusal !== undefined) {
        resolve(Err({ kind: "not-appended", message: refusal }));
        return;
      }
      if (!this.#isPumping) {
        this.#isPumping = true;
        // Later calls of the same turn go into the same append.
        queueMicrotask(() => void this.#runQueue());
      }
    });
  }

  async #runQueue(): Promise<void> {
    for (;;) {
      const next = this.#queue.takeBatch();
      if (next.length === 0) {
        this.#isPumping = false;
        return;
      }
      await this.#rate.waitForTurn();
      const batch = listWanted(next);
      if (batch.length > 0) {
        await this.#sendBatch(batch);
      }
    }
  }

  /** Resolves after the first attempt, so that the next batch may leave. */
  async #sendBatch(batch: readonly Submission[]): Promise<void> {
    const open = this.#openEnvelope(batch);
    const refusal = await this.#append(open, false);
    if (refusal !== undefined) {
      this.#open.delete(open.envelope.id);
      settleAll(batch, Err({ kind: "not-appended", message: refusal }));
      return;
    }
    void this.#resolveBatch(batch, open);
  }

  /** Waits for the verdicts, appending again while no copy was answered. */
  async #resolveBatch(
    batch: readonly Submission[],
    open: OpenEnvelope,
  ): Promise<void> {
    const { clock, random } = this.#options;
    const backoff = new Backoff(clock, random);
    const stop = watchAllAborted(batch, open.settled.signal);
    while (!stop.aborted && open.takenAt === undefined) {
      await backoff.wait(stop);
      await this.#rate.waitForTurn(stop);
      if (!stop.aborted) {
        await this.#append(open, true);
      }
    }
    await waitForAbort(stop);
    this.#open.delete(open.envelope.id);
    open.settled.abort();
    settleVerdicts(batch, open.verdicts);
  }

  /** Gives the reason where the log did nothing, as is proved. */
  async #append(
    open: OpenEnvelope,
    isRepeat: boolean,
  ): Promise<string | undefined> {
    this.#rate.recordAppend(Buffer.byteLength(open.payload), isRepeat);
    const { log, stream } = this.#options;
    const appended = await log.append(stream, open.payload);
    if (appended.ok) {
      open.takenAt = appended.val;
      return undefined;
    }
    return appended.val.kind === "refused" ? appended.val.message : undefined;
  }

  #openEnvelope(batch: readonly Submission[]): OpenEnvelope {
    const [first] = batch;
    const entries = batch.flatMap((submission) => submission.entries);
    entries.forEach((entry) => this.#rate.recordEntry(entry.kind));
    const envelope: Envelope = {
      id: first!.id ?? this.#mintId(first!.author),
      author: first!.author,
      entries,
    };
    const open: OpenEnvelope = {
      envelope,
      payload: serializeEnvelope(envelope),
      settled: new AbortController(),
      takenAt: undefined,
      verdicts: undefined,
    };
    this.#open.set(envelope.id, open);
    return open;
  }

  #mintId(author: string): string {
    this.#idCount++;
    return `${author}/${this.#idPrefix}/${this.#idCount.toString(RADIX)}`;
  }

  #handleEvent(event: ReplicaEvent): void {
    if (event.kind === "history-skipped") {
      // What lies in the skipped records can never be read back. Those that
      // were not answered are appended again and go on.
      this.#open.forEach((open) => {
        if (open.takenAt !== undefined && open.takenAt < event.toOffset) {
          open.settled.abort();
        }
      });
      return;
    }
    if (event.kind !== "folded" || this.#open.size === 0) {
      return;
    }
    const id = parseEnvelope(event.record.payload)?.id;
    const open = id === undefined ? undefined : this.#open.get(id);
    if (open !== undefined && open.verdicts === undefined) {
      open.verdicts = event.verdicts;
      open.settled.abort();
    }
  }
}

/** Those whose caller still waits; the others were never appended. */
function listWanted(batch: readonly Submission[]): readonly Submission[] {
  return batch.filter((submission) => {
    if (submission.signal?.aborted !== true) {
      return true;
    }
    const message = "The wait ended before the append was sent";
    submission.resolve(Err({ kind: "not-appended", message }));
    return false;
  });
}

/** Aborts when the envelope has settled or nobody waits for it any more. */
function watchAllAborted(
  batch: readonly Submission[],
  settled: AbortSignal,
): AbortSignal {
  const nobody = new AbortController();
  const check = (): void => {
    if (batch.every((submission) => submission.signal?.aborted === true)) {
      nobody.abort();
    }
  };
  for (const { signal, resolve } of batch) {
    const giveUp = (): void => {
      resolve(Err(makeUnresolved("The wait ended before it was read back")));
      check();
    };
    if (signal?.aborted === true) {
      giveUp();
    }
    signal?.addEventListener("abort", giveUp, { once: true, signal: settled });
  }
  return AbortSignal.any([settled, nobody.signal]);
}

function settleVerdicts(
  batch: readonly Submission[],
  verdicts: readonly Verdict[] | undefined,
): void {
  if (verdicts === undefined) {
    const message = "The log lost the records in which its verdict stood";
    settleAll(batch, Err(makeUnresolved(message)));
    return;
  }
  let index = 0;
  for (const submission of batch) {
    const end = index + submission.entries.length;
    submission.resolve(Ok(verdicts.slice(index, end)));
    index = end;
  }
}

function settleAll(
  batch: readonly Submission[],
  result: SubmitResult,
): void {
  batch.forEach((submission) => submission.resolve(result));
}

function makeUnresolved(message: string): SubmitFailure {
  return { kind: "unresolved", message };
}
