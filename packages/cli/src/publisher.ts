/**
 * One publication from start to end: check everything, write against the
 * expected version, read the verdict back. Every way in which it can end is
 * told apart, since "it probably worked" is no basis for the next step.
 */
import { createHash } from "node:crypto";
import type { DeclarationFault } from "@lentilspur/declarations/declaration_fault";
import { diffConfigurations } from "@lentilspur/declarations/diff";
import type { DeclarationFile } from "@lentilspur/declarations/document_source";
import type { DocumentChange } from "@lentilspur/declarations/template";
import { validateDeclarations } from "@lentilspur/declarations/validate";
import { OPERATOR_PREFIX } from "@lentilspur/state/apply_membership";
import type {
  Entry,
  Envelope,
  RejectionReason,
} from "@lentilspur/state/entries";
import type { FoundEnvelope, LogSession } from "./log_session.ts";

export interface PublishRequest {
  readonly files: readonly DeclarationFile[];
  readonly expectedVersion: number;
  readonly operator: string;
  readonly allowRemovals: boolean;
  /** Appended to the id of a new publication; for people and uniqueness. */
  readonly nonce: string;
  /** Id of an earlier publication whose outcome stayed unknown. */
  readonly resume?: string;
  readonly patienceMs: number;
}

export type PublishOutcome =
  | { readonly kind: "invalid"; readonly faults: readonly DeclarationFault[] }
  | { readonly kind: "unchanged"; readonly version: number }
  /** Somebody else's publication came first. */
  | { readonly kind: "superseded"; readonly version: number }
  | { readonly kind: "removal-not-allowed"; readonly documents: string }
  | { readonly kind: "template-in-use"; readonly templates: readonly string[] }
  /** `--resume` with other content than the first attempt had. */
  | { readonly kind: "content-differs"; readonly envelopeId: string }
  /** The records that could tell have expired. */
  | { readonly kind: "no-longer-told"; readonly envelopeId: string }
  | { readonly kind: "rejected"; readonly reason: RejectionReason }
  | { readonly kind: "not-appended"; readonly message: string }
  | {
    readonly kind: "unknown";
    readonly envelopeId: string;
    readonly message: string;
  }
  | {
    readonly kind: "accepted";
    readonly version: number;
    readonly offset: number;
    readonly envelopeId: string;
  };

/** Publishes against a session that has been read to the log's end. */
export async function publishConfiguration(
  session: LogSession,
  request: PublishRequest,
): Promise<PublishOutcome> {
  const settled = findEarlierOutcome(session, request);
  if (settled !== undefined) {
    return settled;
  }
  const version = session.view.configurationVersion;
  if (version !== request.expectedVersion) {
    return { kind: "superseded", version };
  }
  const planned = planChanges(session, request);
  if (planned.kind !== "planned") {
    return planned;
  }
  const envelope = createEnvelope(request, planned.changes);
  if (request.resume !== undefined && envelope.id !== request.resume) {
    return { kind: "content-differs", envelopeId: request.resume };
  }
  return await appendPublication(session, envelope, request);
}

/**
 * An earlier attempt is settled once its record is read, or once the version
 * it expected is past: a record that arrives later can only be rejected.
 */
function findEarlierOutcome(
  session: LogSession,
  { resume, expectedVersion }: PublishRequest,
): PublishOutcome | undefined {
  if (resume === undefined) {
    return undefined;
  }
  const found = session.findEnvelope(resume);
  if (found !== undefined) {
    return toOutcome(session, found);
  }
  const version = session.view.configurationVersion;
  if (version === expectedVersion) {
    return undefined;
  }
  return session.isCovering(expectedVersion + 1)
    ? { kind: "superseded", version }
    : { kind: "no-longer-told", envelopeId: resume };
}

type PlannedChanges =
  | {
    readonly kind: "planned";
    readonly changes: readonly DocumentChange[];
  }
  | PublishOutcome;

function planChanges(
  session: LogSession,
  request: PublishRequest,
): PlannedChanges {
  const inForce = session.configuration;
  const validated = validateDeclarations(request.files, inForce);
  if (!validated.ok) {
    return { kind: "invalid", faults: validated.val };
  }
  const changes = diffConfigurations(inForce, validated.val);
  if (changes.length === 0) {
    return { kind: "unchanged", version: session.view.configurationVersion };
  }
  return checkRemovals(session, changes, request.allowRemovals) ??
    { kind: "planned", changes };
}

/**
 * A directory that lacks a file, or the wrong directory, reads as an order to
 * remove what it lacks; so removals need to be asked for.
 */
function checkRemovals(
  session: LogSession,
  changes: readonly DocumentChange[],
  allowRemovals: boolean,
): PublishOutcome | undefined {
  const removed = changes.filter(({ content }) => content === null);
  if (removed.length > 0 && !allowRemovals) {
    const documents = removed.map(({ kind, name }) => `${kind} ${name}`);
    return { kind: "removal-not-allowed", documents: documents.join(", ") };
  }
  const templates = removed
    .filter(({ kind }) => kind === "template")
    .map(({ name }) => name)
    .filter((name) => session.view.listTargetsOfTemplate(name).length > 0);
  return templates.length > 0
    ? { kind: "template-in-use", templates }
    : undefined;
}

/** The id holds a digest of the content, so that a resume cannot change it. */
function createEnvelope(
  request: PublishRequest,
  changes: readonly DocumentChange[],
): Envelope {
  const entry: Entry = {
    kind: "configuration-published",
    expectedVersion: request.expectedVersion,
    changes,
    operator: request.operator,
  };
  const digest = createHash("sha256").update(JSON.stringify(entry))
    .digest("hex").slice(0, DIGEST_CHARACTERS);
  const nonce = request.resume?.split(ID_SEPARATOR)[1] ?? request.nonce;
  return {
    id: ["publication", nonce, digest].join(ID_SEPARATOR),
    author: `${OPERATOR_PREFIX}${request.operator}`,
    entries: [entry],
  };
}

const ID_SEPARATOR = "/";
const DIGEST_CHARACTERS = 16;

async function appendPublication(
  session: LogSession,
  envelope: Envelope,
  { patienceMs }: PublishRequest,
): Promise<PublishOutcome> {
  const appended = await session.appendEnvelope(envelope, patienceMs);
  switch (appended.kind) {
    case "decided":
      return toOutcome(session, appended.found);
    case "not-appended":
      return appended;
    case "unknown":
      return {
        kind: "unknown",
        envelopeId: envelope.id,
        message: appended.message,
      };
  }
}

function toOutcome(session: LogSession, found: FoundEnvelope): PublishOutcome {
  const [verdict] = found.verdicts;
  const [entry] = found.envelope.entries;
  if (
    verdict?.kind === "accepted" && entry?.kind === "configuration-published"
  ) {
    return {
      kind: "accepted",
      version: entry.expectedVersion + 1,
      offset: found.offset,
      envelopeId: found.envelope.id,
    };
  }
  const reason = verdict?.kind === "rejected" ? verdict.reason : "unreadable";
  return reason === "stale-precondition"
    ? { kind: "superseded", version: session.view.configurationVersion }
    : { kind: "rejected", reason };
}
