/**
 * Collects one HTTP response and distinguishes complete from truncated
 * responses. A large response becomes a stream once its first part has arrived,
 * if the sender of the request allows it.
 */
import type { Dispatcher } from "undici";
import type { HeaderField } from "@lentilspur/ports/header_field";
import type { StreamBreak } from "@lentilspur/ports/response_stream";
import { BufferedStream } from "./buffered_stream.ts";
import type {
  HttpRequest,
  HttpResponse,
  ResponseVerdict,
  SendFailureCause,
} from "./http_exchange.ts";
import {
  findHeadFault,
  findStatusLineFault,
  isInterim,
} from "./response_head_check.ts";
import { StatusLines } from "./status_lines.ts";

export type CollectedResponse = Omit<HttpResponse, "trace">;

export type ResponseOutcome =
  | {
    readonly kind: "answered";
    readonly response: CollectedResponse;
  }
  | {
    readonly kind: "failed";
    readonly cause: SendFailureCause;
    readonly message: string;
  };

/** Responses with these statuses have no body, whatever their headers say. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
/**
 * Responses up to this size are held whole, so that one that breaks off can be
 * requested again.
 */
const MAX_WHOLE_BYTES = 64 * 1024;
/**
 * Bytes of a response besides its body: status line, headers, interim
 * responses, chunk framing and trailers. The HTTP parser limits only headers and
 * trailers.
 */
const MAX_FRAMING_BYTES = 64 * 1024;
/** Chunks of a single byte have five bytes of framing each. */
const MAX_FRAMING_PER_BODY_BYTE = 8;

export interface CollectorOptions {
  /**
   * Called for each part of the response that arrives, its head included;
   * interim responses do not count.
   */
  readonly observeData: () => void;
  /** Whether the target has closed its side of the connection in order. */
  readonly hasReceivedFin: () => boolean;
  /** Whether this is the first request of its connection. */
  readonly isFirst: boolean;
}

export class ResponseCollector {
  /**
   * Resolves once, with the complete response, one that has a stream, or the
   * first failure.
   */
  readonly outcome: Promise<ResponseOutcome>;
  /** Callbacks that `undici` invokes as the response arrives. */
  readonly handler: Dispatcher.DispatchHandler = {
    onRequestStart: (controller) => this.#checkStart(controller),
    onResponseStart: (controller, status) => this.#addHead(controller, status),
    onResponseData: (controller, chunk) => this.#addChunk(controller, chunk),
    onResponseEnd: () => this.#handleEnd(),
    onResponseError: (_controller, error) =>
      this.fail(this.#status === 0 ? "reset" : "cut", error.message),
  };
  readonly #request: HttpRequest;
  readonly #options: CollectorOptions;
  readonly #statusLines = new StatusLines();
  readonly #chunks: Uint8Array[] = [];
  #resolve: (outcome: ResponseOutcome) => void = () => undefined;
  #status = 0;
  #headers: readonly HeaderField[] = [];
  #verdict: ResponseVerdict = "own";
  #length = 0;
  #stream: BufferedStream | undefined;
  #controller: Dispatcher.DispatchController | undefined;

  constructor(request: HttpRequest, options: CollectorOptions) {
    this.#request = request;
    this.#options = options;
    this.outcome = new Promise((resolve) => this.#resolve = resolve);
  }

  /** Whose response has arrived; known once its head has. */
  get verdict(): ResponseVerdict {
    return this.#verdict;
  }

  /** Ends the request with a failure, unless it has ended already. */
  fail(cause: SendFailureCause, message: string): void {
    this.#stream?.fail(toStreamBreak(cause), message);
    this.#resolve({ kind: "failed", cause, message });
  }

  /** Observes bytes of the response that the parser reads next. */
  observeRead(bytes: Buffer): void {
    if (this.#status === 0) {
      this.#statusLines.add(bytes);
    }
  }

  /** Resumes a paused read, since nothing follows what has arrived. */
  resumeReading(): void {
    this.#controller?.resume();
  }

  /**
   * Fails a response of which this many bytes have been parsed, if it has too
   * many besides its body: a faulty peer may send them without end.
   */
  checkFraming(receivedBytes: number): void {
    const framingBytes = receivedBytes - this.#length;
    const allowedBytes = MAX_FRAMING_BYTES +
      MAX_FRAMING_PER_BODY_BYTE * this.#length;
    const maxBytes = MAX_FRAMING_BYTES + this.#request.maxResponseBytes;
    if (framingBytes > allowedBytes || receivedBytes > maxBytes) {
      this.fail(
        "too-large",
        `The response has ${framingBytes} bytes besides its body`,
      );
    }
  }

  /**
   * Aborts a request that may no longer be written. `undici` writes the request
   * synchronously after this method returns, so the check still holds then.
   */
  #checkStart(controller: Dispatcher.DispatchController): void {
    if (this.#request.mayStart?.() === false) {
      controller.abort(new Error("The request may no longer be written"));
    }
  }

  #addHead(controller: Dispatcher.DispatchController, status: number): void {
    const statusLine = this.#statusLines.take();
    const lineFault = findStatusLineFault(statusLine);
    if (lineFault !== undefined) {
      this.#failMalformed(controller, lineFault);
      return;
    }
    if (isInterim(status)) {
      return;
    }
    this.#options.observeData();
    const headers = listFields(controller.rawHeaders);
    const headFault = findHeadFault(statusLine, { status, headers });
    if (headFault !== undefined) {
      this.#failMalformed(controller, headFault);
      return;
    }
    this.#status = status;
    this.#headers = headers;
    this.#statusLines.clear();
    this.#checkOrigin();
  }

  /** The parser must read no further: it asserts that a status is valid. */
  #failMalformed(
    controller: Dispatcher.DispatchController,
    message: string,
  ): void {
    this.fail("malformed", message);
    controller.abort(new Error(message));
  }

  #checkOrigin(): void {
    const head = { status: this.#status, headers: this.#headers };
    const { isFirst } = this.#options;
    this.#verdict = this.#request.checkResponse?.(head, { isFirst }) ?? "own";
    if (this.#verdict === "foreign") {
      this.fail(
        "foreign",
        `The response with status ${this.#status} is not proved to be that of the request`,
      );
    }
  }

  #addChunk(
    controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    if (chunk.length === 0) {
      // A paused read that resumes begins with an empty part.
      return;
    }
    this.#length += chunk.length;
    if (this.#length > this.#request.maxResponseBytes) {
      this.#failTooLarge();
      return;
    }
    this.#options.observeData();
    this.#request.onData?.(chunk.length);
    if (this.#stream !== undefined) {
      this.#stream.add(chunk);
      return;
    }
    this.#chunks.push(chunk);
    if (this.#length > MAX_WHOLE_BYTES || this.#isShortOfMemory()) {
      this.#startStream(controller);
    }
  }

  /**
   * Whether a response that will be large should no longer be held: as a
   * stream, its read pauses.
   */
  #isShortOfMemory(): boolean {
    return this.#request.readAhead?.isUsedUp === true &&
      (this.#findLength() ?? 0) > MAX_WHOLE_BYTES;
  }

  #failTooLarge(): void {
    const limit = this.#request.maxResponseBytes;
    this.fail("too-large", `The response is longer than ${limit} bytes`);
  }

  #startStream(controller: Dispatcher.DispatchController): void {
    const { readAhead: budget, maxResponseBytes } = this.#request;
    const isSelfDelimited = this.#isSelfDelimited();
    if (
      budget === undefined ||
      (!isSelfDelimited && this.#request.acceptsCloseDelimited !== true)
    ) {
      return;
    }
    const length = this.#findLength();
    if (length !== undefined && length > maxResponseBytes) {
      this.#failTooLarge();
      return;
    }
    this.#controller = controller;
    this.#stream = new BufferedStream({
      budget,
      source: {
        pause: () => controller.pause(),
        resume: () => controller.resume(),
      },
      length,
    });
    this.#stream.add(Buffer.concat(this.#chunks.splice(0), this.#length));
    this.#resolve({
      kind: "answered",
      response: {
        status: this.#status,
        headers: this.#headers,
        body: new Uint8Array(0),
        stream: this.#stream,
        isSelfDelimited,
      },
    });
  }

  /** The length that the target announced; `undici` checks that it is true. */
  #findLength(): number | undefined {
    if (this.#hasHeader("transfer-encoding")) {
      return undefined;
    }
    const field = this.#headers.find(({ name }) => name === "content-length");
    return field === undefined ? undefined : Number(field.value);
  }

  #handleEnd(): void {
    const isSelfDelimited = this.#isSelfDelimited();
    if (!isSelfDelimited && this.#request.acceptsCloseDelimited !== true) {
      this.fail(
        "cut",
        "The response has neither Content-Length nor Transfer-Encoding, so it may be incomplete",
      );
      return;
    }
    if (!isSelfDelimited && !this.#options.hasReceivedFin()) {
      const message = "The connection was lost before the end of the response";
      this.fail("cut", message);
      return;
    }
    if (this.#stream !== undefined) {
      this.#stream.recordEnd();
      return;
    }
    const response: CollectedResponse = {
      status: this.#status,
      headers: this.#headers,
      body: Buffer.concat(this.#chunks, this.#length),
      isSelfDelimited,
    };
    this.#resolve({ kind: "answered", response });
  }

  /**
   * Whether the response marks its own end, by a length or a last chunk;
   * `undici` checks both. Otherwise the response ends with its connection, and
   * looks complete even if the target crashes in the middle of it; it is
   * accepted only if the sender of the request allows it.
   */
  #isSelfDelimited(): boolean {
    return this.#request.method === "HEAD" ||
      BODILESS_STATUSES.has(this.#status) ||
      this.#hasHeader("content-length") ||
      this.#hasHeader("transfer-encoding");
  }

  #hasHeader(name: string): boolean {
    return this.#headers.some((field) => field.name === name);
  }
}

/** A stream exists only after a valid head of the request's own response. */
function toStreamBreak(
  cause: SendFailureCause,
): Exclude<StreamBreak, "unread"> {
  switch (cause) {
    case "reset":
    case "foreign":
    case "malformed":
      return "cut";
    case "silent":
    case "cut":
    case "too-large":
    case "cancelled":
      return cause;
  }
}

function listFields(
  raw: Dispatcher.DispatchController["rawHeaders"],
): readonly HeaderField[] {
  if (!Array.isArray(raw)) {
    return [];
  }
  const fields: HeaderField[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    fields.push({
      name: raw[index]!.toString("latin1").toLowerCase(),
      value: raw[index + 1]!.toString("latin1"),
    });
  }
  return fields;
}
