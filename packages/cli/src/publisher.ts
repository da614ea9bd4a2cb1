/**
 * Publishes a configuration: checks the declarations, appends the publication
 * on condition that the expected version is still the latest, and determines
 * the outcome. Each outcome is reported separately, because the operator's next
 * step depends on it.
 */
import { createHash } from "node:crypto";
import { describeChanges } from "@lentilspur/declarations/change_text";
import type { DeclarationFault } from "@lentilspur/declarations/declaration_fault";
import { diffConfigurations } from "@lentilspur/declarations/diff";
import type { DeclarationFile } from "@lentilspur/declarations/document_source";
import {
  createPublication,
  type Publication,
  serializePublication,
} from "@lentilspur/declarations/publication";
import type {
  Configuration,
  DocumentChange,
} from "@lentilspur/declarations/template";
import { validateDeclarations } from "@lentilspur/declarations/validate";
import type { Clock } from "@lentilspur/ports/clock";
import { describeStoreFailure, type StoreSession } from "./store_session.ts";

export interface PublishRequest {
  readonly files: readonly DeclarationFile[];
  readonly expectedVersion: number;
  readonly operator: string;
  readonly publishedAt: string;
  readonly allowRemovals: boolean;
  /** Part of the id of a new publication: makes it unique and readable. */
  readonly nonce: string;
  /** Id of an earlier publication whose outcome stayed unknown. */
  readonly resume?: string;
  readonly timeoutMs: number;
}

export type PublishOutcome =
  | { readonly kind: "invalid"; readonly faults: readonly DeclarationFault[] }
  | { readonly kind: "unchanged"; readonly version: number }
  /**
   * The expected version is not the published one: another publication came
   * first, or the expected version does not exist.
   */
  | { readonly kind: "superseded"; readonly version: number }
  | { readonly kind: "removal-not-allowed"; readonly documents: string }
  /** `--resume` with content that differs from the first attempt's. */
  | { readonly kind: "content-differs"; readonly publicationId: string }
  /** Later publications have displaced the note that would show the outcome. */
  | { readonly kind: "no-longer-told"; readonly publicationId: string }
  | { readonly kind: "too-large"; readonly bytes: number }
  | { readonly kind: "not-appended"; readonly message: string }
  | {
    readonly kind: "unknown";
    readonly publicationId: string;
    readonly message: string;
  }
  | {
    readonly kind: "accepted";
    readonly version: number;
    readonly publicationId: string;
  };

/** The largest record that the platform's store accepts. */
export const MAX_RECORD_BYTES = 262_144;
/** Delay between attempts while the store does not respond. */
const RETRY_DELAY_MS = 250;
const ID_SEPARATOR = "/";
const DIGEST_CHARACTERS = 16;

/**
 * Publishes if the expected version is the one that the session has just read.
 */
export async function publishConfiguration(
  session: StoreSession,
  request: PublishRequest,
  clock: Clock,
): Promise<PublishOutcome> {
  const earlierOutcome = findEarlierOutcome(session.publication, request);
  if (earlierOutcome !== undefined) {
    return earlierOutcome;
  }
  const { version } = session.publication;
  if (version !== request.expectedVersion) {
    return { kind: "superseded", version };
  }
  const planned = planPublication(session.publication, request);
  return planned.kind === "planned"
    ? await new PublicationAppender(session, planned, { request, clock }).run()
    : planned;
}

/**
 * Finds the outcome of an earlier attempt: accepted if its note is in the
 * store. Returns undefined if the expected version is still the published one,
 * so that the append is repeated. If the oldest note kept is no later than the
 * version sought, the missing note proves that another publication has that
 * version; otherwise the outcome can no longer be determined.
 */
function findEarlierOutcome(
  publication: Publication,
  { resume, expectedVersion }: PublishRequest,
): PublishOutcome | undefined {
  if (resume === undefined) {
    return undefined;
  }
  const note = publication.notes.find(({ id }) => id === resume);
  if (note !== undefined) {
    return {
      kind: "accepted",
      version: note.version,
      publicationId: resume,
    };
  }
  const { version, notes } = publication;
  if (version === expectedVersion) {
    return undefined;
  }
  return (notes[0]?.version ?? Infinity) <= expectedVersion + 1
    ? { kind: "superseded", version }
    : { kind: "no-longer-told", publicationId: resume };
}

interface PlannedPublication {
  readonly kind: "planned";
  readonly publicationId: string;
  readonly version: number;
  readonly text: string;
}

function planPublication(
  current: Publication,
  request: PublishRequest,
): PlannedPublication | PublishOutcome {
  const published = current.configuration;
  const validated = validateDeclarations(request.files, published);
  if (!validated.ok) {
    return { kind: "invalid", faults: validated.val };
  }
  const changes = diffConfigurations(published, validated.val);
  if (changes.length === 0) {
    return { kind: "unchanged", version: current.version };
  }
  const refusal = checkRemovals(changes, request.allowRemovals);
  if (refusal !== undefined) {
    return refusal;
  }
  const id = formatId(request, validated.val);
  if (request.resume !== undefined && id !== request.resume) {
    return { kind: "content-differs", publicationId: request.resume };
  }
  const publication = createPublication(current, validated.val, {
    id,
    operator: request.operator,
    publishedAt: request.publishedAt,
    changes: describeChanges(published, changes),
  });
  const text = serializePublication(publication);
  const bytes = Buffer.byteLength(text);
  const { version } = publication;
  return bytes > MAX_RECORD_BYTES
    ? { kind: "too-large", bytes }
    : { kind: "planned", publicationId: id, version, text };
}

/**
 * Refuses removals unless they are allowed: a missing file or the wrong
 * directory would otherwise remove documents by accident.
 */
function checkRemovals(
  changes: readonly DocumentChange[],
  allowRemovals: boolean,
): PublishOutcome | undefined {
  const removed = changes.filter(({ content }) => content === null);
  if (removed.length === 0 || allowRemovals) {
    return undefined;
  }
  const documents = removed.map(({ kind, name }) => `${kind} ${name}`);
  return { kind: "removal-not-allowed", documents: documents.join(", ") };
}

/**
 * The id contains a digest of the content, so that `--resume` cannot publish
 * other content under it.
 */
function formatId(
  { resume, nonce, expectedVersion, operator }: PublishRequest,
  configuration: Configuration,
): string {
  const content = JSON.stringify({ expectedVersion, operator, configuration });
  const digest = createHash("sha256").update(content)
    .digest("hex").slice(0, DIGEST_CHARACTERS);
  const uniquePart = resume?.split(ID_SEPARATOR)[1] ?? nonce;
  return ["publication", uniquePart, digest].join(ID_SEPARATOR);
}

/**
 * Appends a publication, with retries, until its outcome is known or the
 * timeout expires. Retrying is safe: every attempt is conditional on the end
 * offset of the partition, so at most one takes effect, even if some arrive
 * late.
 */
class PublicationAppender {
  readonly #session: StoreSession;
  readonly #planned: PlannedPublication;
  readonly #clock: Clock;
  readonly #deadlineMs: number;
  /** Whether an attempt may have taken effect or may still take effect. */
  #mayBeAppended: boolean;

  constructor(
    session: StoreSession,
    planned: PlannedPublication,
    { request, clock }: {
      readonly request: PublishRequest;
      readonly clock: Clock;
    },
  ) {
    this.#session = session;
    this.#planned = planned;
    this.#clock = clock;
    this.#deadlineMs = clock.readMs() + request.timeoutMs;
    this.#mayBeAppended = request.resume !== undefined;
  }

  async run(): Promise<PublishOutcome> {
    const { publicationId, version, text } = this.#planned;
    for (;;) {
      const appended = await this.#session.appendPublication(text);
      if (appended.ok) {
        return { kind: "accepted", version, publicationId };
      }
      if (appended.val.kind === "conflict") {
        const outcome = await this.#resolveConflict();
        if (outcome !== undefined) {
          return outcome;
        }
        continue;
      }
      this.#mayBeAppended ||= appended.val.kind === "unavailable";
      const message = describeStoreFailure(appended.val);
      if (this.#clock.readMs() >= this.#deadlineMs) {
        return this.#mayBeAppended
          ? { kind: "unknown", publicationId, message }
          : { kind: "not-appended", message };
      }
      await this.#clock.sleep(RETRY_DELAY_MS);
    }
  }

  /**
   * Finds out what another record in the partition means for this publication:
   * an earlier attempt was accepted, or another publication was. Returns
   * undefined if only an evacuation was written, so that the append is retried.
   */
  async #resolveConflict(): Promise<PublishOutcome | undefined> {
    const { publicationId } = this.#planned;
    for (;;) {
      const read = await this.#session.readPublicationAndEvacuations();
      if (read.ok) {
        const { version, notes } = this.#session.publication;
        const note = notes.find(({ id }) => id === publicationId);
        if (note !== undefined) {
          return { kind: "accepted", version: note.version, publicationId };
        }
        return version >= this.#planned.version
          ? { kind: "superseded", version }
          : undefined;
      }
      if (this.#clock.readMs() >= this.#deadlineMs) {
        const message = describeStoreFailure(read.val);
        return { kind: "unknown", publicationId, message };
      }
      await this.#clock.sleep(RETRY_DELAY_MS);
    }
  }
}
