/**
 * One publication from start to end: check everything, write against the
 * expected version, find out what became of it. Every way in which it can end
 * is told apart, since "it probably worked" is no basis for the next step.
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
  /** Appended to the id of a new publication; for people and uniqueness. */
  readonly nonce: string;
  /** Id of an earlier publication whose outcome stayed unknown. */
  readonly resume?: string;
  readonly timeoutMs: number;
}

export type PublishOutcome =
  | { readonly kind: "invalid"; readonly faults: readonly DeclarationFault[] }
  | { readonly kind: "unchanged"; readonly version: number }
  /** Somebody else's publication came first. */
  | { readonly kind: "superseded"; readonly version: number }
  | { readonly kind: "removal-not-allowed"; readonly documents: string }
  /** `--resume` with other content than the first attempt had. */
  | { readonly kind: "content-differs"; readonly publicationId: string }
  /** The note that could tell has made room for later ones. */
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

/** What the platform's store takes as one record. */
export const MAX_RECORD_BYTES = 262_144;
/** Between two tries while the store does not answer. */
const RETRY_DELAY_MS = 250;
const ID_SEPARATOR = "/";
const DIGEST_CHARACTERS = 16;

/** Publishes against a session that has just been read. */
export async function publishConfiguration(
  session: StoreSession,
  request: PublishRequest,
  clock: Clock,
): Promise<PublishOutcome> {
  const settled = findEarlierOutcome(session.publication, request);
  if (settled !== undefined) {
    return settled;
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

/** An earlier attempt is settled once its note, or another's version, is read. */
function findEarlierOutcome(
  publication: Publication,
  { resume, expectedVersion }: PublishRequest,
): PublishOutcome | undefined {
  if (resume === undefined) {
    return undefined;
  }
  const found = publication.notes.find(({ id }) => id === resume);
  if (found !== undefined) {
    return {
      kind: "accepted",
      version: found.version,
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
  before: Publication,
  request: PublishRequest,
): PlannedPublication | PublishOutcome {
  const inForce = before.configuration;
  const validated = validateDeclarations(request.files, inForce);
  if (!validated.ok) {
    return { kind: "invalid", faults: validated.val };
  }
  const changes = diffConfigurations(inForce, validated.val);
  if (changes.length === 0) {
    return { kind: "unchanged", version: before.version };
  }
  const refusal = checkRemovals(changes, request.allowRemovals);
  if (refusal !== undefined) {
    return refusal;
  }
  const id = formatId(request, validated.val);
  if (request.resume !== undefined && id !== request.resume) {
    return { kind: "content-differs", publicationId: request.resume };
  }
  const publication = createPublication(before, validated.val, {
    id,
    operator: request.operator,
    publishedAt: request.publishedAt,
    changes: describeChanges(inForce, changes),
  });
  const text = serializePublication(publication);
  const bytes = Buffer.byteLength(text);
  const { version } = publication;
  return bytes > MAX_RECORD_BYTES
    ? { kind: "too-large", bytes }
    : { kind: "planned", publicationId: id, version, text };
}

/**
 * A directory that lacks a file, or the wrong directory, reads as an order to
 * remove what it lacks; so removals need to be asked for.
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

/** Holds a digest of the content, so that a resume cannot change it. */
function formatId(
  { resume, nonce, expectedVersion, operator }: PublishRequest,
  configuration: Configuration,
): string {
  const content = JSON.stringify({ expectedVersion, operator, configuration });
  const digest = createHash("sha256").update(content)
    .digest("hex").slice(0, DIGEST_CHARACTERS);
  const part = resume?.split(ID_SEPARATOR)[1] ?? nonce;
  return ["publication", part, digest].join(ID_SEPARATOR);
}

/**
 * Appends until it is known what came of it. Repeating is safe: all tries have
 * one condition, so at most one of them takes effect, also of those that arrive
 * late.
 */
class PublicationAppender {
  readonly #session: StoreSession;
  readonly #planned: PlannedPublication;
  readonly #clock: Clock;
  readonly #deadlineMs: number;
  /** Whether a try may have taken effect, or may yet. */
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
        const winner = await this.#resolveConflict();
        if (winner !== undefined) {
          return winner;
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
   * The partition has moved on: by an earlier try of this, or by another.
   * Undefined where no publication was written since, but an evacuation.
   */
  async #resolveConflict(): Promise<PublishOutcome | undefined> {
    const { publicationId } = this.#planned;
    for (;;) {
      const read = await this.#session.readPublications();
      if (read.ok) {
        const { version, notes } = this.#session.publication;
        const found = notes.find(({ id }) => id === publicationId);
        if (found !== undefined) {
          return { kind: "accepted", version: found.version, publicationId };
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
