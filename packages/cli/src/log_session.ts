/**
 * One command's view of the log: everything folded up to its end, and appends
 * whose verdict is read back. The command line runs outside the instances and
 * asks none of them, so it also works while they are down.
 */
import type { Configuration } from "@lentilspur/declarations/template";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import { fetchNewestCheckpoint } from "@lentilspur/transport/checkpoint_reader";
import type { Clock } from "@lentilspur/ports/clock";
import type { LogFailure, LogPort, LogRecord } from "@lentilspur/ports/log";
import { OPERATOR_PREFIX } from "@lentilspur/state/apply_membership";
import type { Envelope, Verdict } from "@lentilspur/state/entries";
import {
  parseEnvelope,
  serializeEnvelope,
} from "@lentilspur/state/entry_schema";
import { Fold } from "@lentilspur/state/fold";
import type { StateView } from "@lentilspur/state/view";
import { listPublicationsOf, type Publication } from "./publication.ts";

export interface LogSessionOptions {
  readonly log: LogPort;
  readonly stream: string;
  readonly checkpointStream: string;
  readonly clock: Clock;
}

/** An operator's envelope as the log holds it. */
export interface FoundEnvelope {
  readonly offset: number;
  readonly envelope: Envelope;
  readonly verdicts: readonly Verdict[];
}

/** What became of an append, as far as it is proved. */
export type AppendOutcome =
  | { readonly kind: "decided"; readonly found: FoundEnvelope }
  /** Proved: the log holds nothing of it and never will. */
  | { readonly kind: "not-appended"; readonly message: string }
  /** It may stand in the log, or may still arrive there. */
  | { readonly kind: "unknown"; readonly message: string };

/** Pause between two attempts against a log that does not answer. */
const RETRY_PAUSE_MS = 250;

export class LogSession {
  readonly #options: LogSessionOptions;
  #fold = new Fold();
  readonly #found = new Map<string, FoundEnvelope>();
  readonly #publications: Publication[] = [];

  constructor(options: LogSessionOptions) {
    this.#options = options;
  }

  get view(): StateView {
    return this.#fold;
  }

  /** What is in force at the end of what was read. */
  get configuration(): Configuration {
    return {
      templates: this.#fold.listTemplates(),
      clientAccounts: this.#fold.listClientAccounts(),
    };
  }

  /** Accepted publications whose records the log still holds, oldest first. */
  get publications(): readonly Publication[] {
    return this.#publications;
  }

  /** The first copy of an operator's envelope; later copies change nothing. */
  findEnvelope(id: string): FoundEnvelope | undefined {
    return this.#found.get(id);
  }

  /** Whether the publication that made `version` was read. */
  isCovering(version: number): boolean {
    return this.#publications.some((each) => each.version === version);
  }

  /** Another session on the same log, which has read nothing yet. */
  createAnew(): LogSession {
    return new LogSession(this.#options);
  }

  /** Goes on from the newest checkpoint, if that is ahead. */
  async restoreCheckpoint(): Promise<Result<void, LogFailure>> {
    const { log, checkpointStream } = this.#options;
    const found = await fetchNewestCheckpoint(log, checkpointStream);
    if (!found.ok) {
      return found;
    }
    const fold = found.val?.fold;
    if (fold !== undefined && fold.nextOffset > this.#fold.nextOffset) {
      this.#fold = fold;
    }
    return Ok(undefined);
  }

  /**
   * Reads and folds up to the log's present end. Where the next record has
   * expired, a checkpoint takes the place of what is gone.
   */
  async readToEnd(): Promise<Result<void, LogFailure>> {
    const { log, stream } = this.#options;
    for (;;) {
      const startedAt = this.#fold.nextOffset;
      const batch = await log.read(stream, startedAt);
      if (!batch.ok && batch.val.kind === "expired") {
        const restored = await this.restoreCheckpoint();
        if (!restored.ok) {
          return restored;
        }
        if (this.#fold.nextOffset === startedAt) {
          return batch;
        }
        continue;
      }
      if (!batch.ok) {
        return batch;
      }
      for (const record of batch.val.records) {
        if (record.offset !== this.#fold.nextOffset) {
          return Err(makeGapFailure(record.offset, this.#fold.nextOffset));
        }
        this.#applyRecord(record);
      }
      if (this.#fold.nextOffset >= batch.val.nextOffset) {
        return Ok(undefined);
      }
    }
  }

  /**
   * Appends `envelope` and reads its verdict back, for up to `patienceMs`.
   *
   * The failure guarded against: the log takes a record, but its answer is
   * lost, so the operator neither knows that the change is in force nor may
   * publish it anew. Appending the same envelope again is safe, since the fold
   * lets only the first copy of an id act, and an answer to any copy places
   * the first one at or before it; so reading up to there shows the verdict.
   */
  async appendEnvelope(
    envelope: Envelope,
    patienceMs: number,
  ): Promise<AppendOutcome> {
    const { log, stream, clock } = this.#options;
    const giveUpAt = clock.readMs() + patienceMs;
    const payload = serializeEnvelope(envelope);
    let mayStandInLog = false;
    for (;;) {
      const appended = await log.append(stream, payload);
      if (!appended.ok && appended.val.kind === "refused" && !mayStandInLog) {
        return { kind: "not-appended", message: appended.val.message };
      }
      mayStandInLog = true;
      const read = await this.readToEnd();
      const found = this.#found.get(envelope.id);
      if (found !== undefined) {
        return { kind: "decided", found };
      }
      if (clock.readMs() >= giveUpAt) {
        return { kind: "unknown", message: describeDoubt(appended, read) };
      }
      await clock.sleep(RETRY_PAUSE_MS);
    }
  }

  #applyRecord({ offset, payload }: LogRecord): void {
    const envelope = findOperatorEnvelope(payload);
    const before = envelope === undefined ? undefined : this.configuration;
    const verdicts = this.#fold.apply(offset, payload);
    if (envelope === undefined || before === undefined) {
      return;
    }
    if (!this.#found.has(envelope.id)) {
      const found = { offset, envelope, verdicts };
      this.#found.set(envelope.id, found);
      this.#publications.push(...listPublicationsOf(found, before));
    }
  }
}

/** Most records are of instances; they are told apart before they are parsed. */
function findOperatorEnvelope(payload: string): Envelope | undefined {
  const envelope = payload.includes(OPERATOR_PREFIX)
    ? parseEnvelope(payload)
    : undefined;
  return envelope?.author.startsWith(OPERATOR_PREFIX) ? envelope : undefined;
}

/** A failure as a sentence, with what to do next. */
export function describeLogFailure(failure: LogFailure): string {
  switch (failure.kind) {
    case "unavailable":
      return `The log does not answer (${failure.message}); nothing was changed, try again later`;
    case "refused":
      return `The log was not reached or refused the call (${failure.message}); nothing was changed, check --log-url and the stream`;
    case "expired":
      return `The log's records before offset ${failure.firstOffset} have expired and no complete checkpoint covers them; check --checkpoint-stream`;
  }
}

function makeGapFailure(found: number, wanted: number): LogFailure {
  return {
    kind: "unavailable",
    message: `it gave offset ${found} where ${wanted} was asked for`,
  };
}

function describeDoubt(
  appended: Result<number, LogFailure>,
  read: Result<void, LogFailure>,
): string {
  if (appended.ok) {
    return `The log took it at offset ${appended.val}, but its verdict could not be read back`;
  }
  return read.ok
    ? "The log did not answer the append and does not show it so far"
    : "The log answered neither the append nor a read";
}
