/**
 * Collects one HTTP response and distinguishes complete from truncated
 * responses.
 */
import type { Dispatcher } from "undici";
import type { HeaderField } from "@lentilspur/ports/header_field";
import type {
  HttpRequest,
  HttpResponse,
  SendFailureCause,
} from "./http_exchange.ts";

export type ResponseOutcome =
  | {
    readonly kind: "answered";
    readonly response: HttpResponse;
  }
  | {
    readonly kind: "failed";
    readonly cause: SendFailureCause;
    readonly message: string;
  };

/** Responses with these statuses have no body, whatever their headers say. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const FIRST_FINAL_STATUS = 200;

export class ResponseCollector {
  /** Resolves once, with the complete response or the first failure. */
  readonly outcome: Promise<ResponseOutcome>;
  /** Callbacks that `undici` invokes as the response arrives. */
  readonly handler: Dispatcher.DispatchHandler = {
    onRequestStart: (controller) => this.#checkStart(controller),
    onResponseStart: (controller, status) =>
      this.#addHead(status, controller.rawHeaders),
    onResponseData: (_controller, chunk) => this.#addChunk(chunk),
    onResponseEnd: () => this.#handleEnd(),
    onResponseError: (_controller, error) =>
      this.fail(this.#status === 0 ? "reset" : "cut", error.message),
  };
  readonly #request: HttpRequest;
  readonly #observeData: () => void;
  readonly #chunks: Uint8Array[] = [];
  #resolve: (outcome: ResponseOutcome) => void = () => undefined;
  #status = 0;
  #headers: readonly HeaderField[] = [];
  #length = 0;

  /**
   * Calls `observeData` for each part of the response that arrives, its head
   * included.
   */
  constructor(request: HttpRequest, observeData: () => void) {
    this.#request = request;
    this.#observeData = observeData;
    this.outcome = new Promise((resolve) => this.#resolve = resolve);
  }

  /** Ends the request with a failure, unless it has ended already. */
  fail(cause: SendFailureCause, message: string): void {
    this.#resolve({ kind: "failed", cause, message });
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

  #addHead(
    status: number,
    raw: Dispatcher.DispatchController["rawHeaders"],
  ): void {
    this.#observeData();
    if (status >= FIRST_FINAL_STATUS) {
      this.#status = status;
      this.#headers = listFields(raw);
    }
  }

  #addChunk(chunk: Uint8Array): void {
    this.#length += chunk.length;
    if (this.#length > this.#request.maxResponseBytes) {
      const limit = this.#request.maxResponseBytes;
      this.fail("too-large", `The response is longer than ${limit} bytes`);
      return;
    }
    this.#chunks.push(chunk);
    this.#observeData();
    this.#request.onData?.(chunk.length);
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
    const response: HttpResponse = {
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
      this.#headers.some((field) =>
        field.name === "content-length" || field.name === "transfer-encoding"
      );
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
