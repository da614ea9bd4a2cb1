/** Gathers one HTTP answer and tells a whole one from a cut one. */
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

/** Answers that have no body whatever their headers say. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const FIRST_FINAL_STATUS = 200;

export class ResponseCollector {
  /** Resolves once, with the first thing that settles the request. */
  readonly outcome: Promise<ResponseOutcome>;
  /** What `undici` calls as the answer comes in. */
  readonly handler: Dispatcher.DispatchHandler = {
    onRequestStart: (controller) => this.#checkStart(controller),
    onResponseStart: (controller, status) =>
      this.#addHead(status, controller.rawHeaders),
    onResponseData: (_controller, chunk) => this.#addChunk(chunk),
    onResponseEnd: () => this.#settleWhole(),
    onResponseError: (_controller, error) =>
      this.fail(this.#status === 0 ? "reset" : "cut", error.message),
  };
  readonly #request: HttpRequest;
  readonly #observeData: () => void;
  readonly #chunks: Uint8Array[] = [];
  #settle: (ending: ResponseOutcome) => void = () => undefined;
  #status = 0;
  #headers: readonly HeaderField[] = [];
  #length = 0;

  /** `observeData` is told of each part that comes in, the head included. */
  constructor(request: HttpRequest, observeData: () => void) {
    this.#request = request;
    this.#observeData = observeData;
    this.outcome = new Promise((resolve) => this.#settle = resolve);
  }

  /** Settles the request as failed, unless it is settled already. */
  fail(cause: SendFailureCause, message: string): void {
    this.#settle({ kind: "failed", cause, message });
  }

  /** `undici` writes in the same turn, right after this returns. */
  #checkStart(controller: Dispatcher.DispatchController): void {
    if (this.#request.mayStart?.() === false) {
      controller.abort(new Error("The request came too late to be written"));
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
    if (this.#length > this.#request.maxAnswerBytes) {
      const limit = this.#request.maxAnswerBytes;
      this.fail("too-large", `The answer is longer than ${limit} bytes`);
      return;
    }
    this.#chunks.push(chunk);
    this.#observeData();
    this.#request.onData?.(chunk.length);
  }

  #settleWhole(): void {
    const isFramed = this.#isSelfDelimited();
    if (!isFramed && this.#request.acceptsCloseDelimited !== true) {
      this.fail("cut", "The answer does not say where it ends");
      return;
    }
    const answer: HttpResponse = {
      status: this.#status,
      headers: this.#headers,
      body: Buffer.concat(this.#chunks, this.#length),
      isSelfDelimited: isFramed,
    };
    this.#settle({ kind: "answered", response: answer });
  }

  /**
   * Failure: the target dies in the middle of an answer that ends with its
   * connection, and half of it looks whole. Unless the sender allows it, only
   * an answer that gives its length or ends with its last chunk is taken;
   * `undici` checks both.
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
