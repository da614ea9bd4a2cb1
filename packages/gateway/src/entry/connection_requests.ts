/**
 * Decides which requests of one connection may be passed on to targets. A
 * caller may send several without waiting for responses; they are answered in
 * order, and those behind a response that closes the connection count as not
 * read, so that the caller sends them again. Hence no request is passed on that
 * an earlier response could cut off (docs/design/pipelined-requests.md).
 */

export interface ConnectionRequest {
  /** Whether its last byte has been read. */
  readonly isRead: () => boolean;
  /** Called if it can no longer be answered. */
  readonly cancel: (reason: Error) => void;
  /** Called once, when it is answered or can no longer be. */
  readonly end: () => void;
}

export interface TurnOptions {
  readonly bytes: number;
  /** Whether it may run more than once. */
  readonly isIdempotent: boolean;
  /** Whether its response closes the connection, whatever it is. */
  readonly endsConnection: boolean;
}

type Entry =
  | {
    readonly stage: "reading" | "running";
    readonly request: ConnectionRequest;
  }
  | {
    readonly stage: "waiting";
    readonly request: ConnectionRequest;
    readonly options: TurnOptions;
    readonly resolve: (mayRun: boolean) => void;
  };

/**
 * Requests of one connection that run at once. Callers send some eight at once;
 * one after the other, the last would be late.
 */
const MAX_RUNNING = 32;
/** Requests that are read but not passed on; above this, reading pauses. */
const MAX_HELD = 64;
const MAX_HELD_BYTES = 256 * 1024;

export class ConnectionRequests {
  /** Requests that are not answered yet, in the order of their arrival. */
  readonly #entries: Entry[] = [];
  /** Resolve once the response to a request is the next one. */
  readonly #responseTurns = new Map<
    ConnectionRequest,
    (mayRespond: boolean) => void
  >();
  #isDraining = false;
  /** The request whose response is passed on while it still arrives. */
  #streamed: ConnectionRequest | undefined;
  /** Whether no further request is passed on. */
  #isClosing = false;
  /** Whether what is read from now on is dropped. */
  #isSealed = false;
  #hasEnded = false;
  #accepted = 0;
  #handleLast: (() => void) | undefined;

  get isIdle(): boolean {
    return this.#entries.length === 0;
  }

  /** Number of requests so far whose heads have been read. */
  get accepted(): number {
    return this.#accepted;
  }

  /** Whether the last response is decided, so that no request is accepted. */
  get isSealed(): boolean {
    return this.#isSealed;
  }

  /** Whether a request that was passed on is the last one. */
  get isClosing(): boolean {
    return this.#isClosing;
  }

  /** Whether a request that has been read whole is not answered yet. */
  get hasWholeRequest(): boolean {
    return this.#entries.some(({ request }) => request.isRead());
  }

  /** Number of requests that are read but not passed on. */
  get held(): number {
    return this.#entries.filter(({ stage }) => stage !== "running").length;
  }

  /** Whether as many requests are held as may wait in memory. */
  get isFull(): boolean {
    const bytes = this.#entries.reduce(
      (sum, entry) =>
        sum + (entry.stage === "waiting" ? entry.options.bytes : 0),
      0,
    );
    return this.held >= MAX_HELD || bytes >= MAX_HELD_BYTES;
  }

  /** Finds the request whose body is being read. */
  findUnread(): ConnectionRequest | undefined {
    return this.#entries.find(({ request }) => !request.isRead())?.request;
  }

  has(request: ConnectionRequest): boolean {
    return this.#findIndex(request) >= 0;
  }

  /** Adds a request whose head has been read. */
  add(request: ConnectionRequest): void {
    if (this.#hasEnded || this.#isSealed) {
      request.end();
      return;
    }
    this.#accepted++;
    this.#entries.push({ request, stage: "reading" });
  }

  /** Resolves when the request may be passed on; false if it never may. */
  waitForTurn(
    request: ConnectionRequest,
    options: TurnOptions,
  ): Promise<boolean> {
    const index = this.#findIndex(request);
    if (index < 0) {
      return Promise.resolve(false);
    }
    return new Promise((resolve) => {
      this.#entries[index] = { request, stage: "waiting", options, resolve };
      this.#advance();
    });
  }

  /**
   * Resolves when all earlier requests are answered; false if the caller has
   * left. Node would stop reading a connection on which responses wait, and not
   * notice that its caller leaves.
   */
  waitForResponseTurn(request: ConnectionRequest): Promise<boolean> {
    const index = this.#findIndex(request);
    return index <= 0
      ? Promise.resolve(index === 0)
      : new Promise((resolve) => this.#responseTurns.set(request, resolve));
  }

  /**
   * Whether the response to a request may close the connection, which cuts off
   * all that has been passed on behind it.
   */
  mayClose(request: ConnectionRequest): boolean {
    const index = this.#findIndex(request);
    return !this.#entries.slice(index + 1)
      .some(({ stage }) => stage === "running");
  }

  /**
   * Passes nothing on behind a request until its response has been written: the
   * response may break off, and the connection with it.
   */
  reserveFor(request: ConnectionRequest): void {
    this.#streamed = request;
  }

  /** Marks the response to a request as the last one of the connection. */
  closeAfter(request: ConnectionRequest): void {
    this.#isClosing = true;
    this.#isSealed = true;
    this.#handleLast = undefined;
    this.#removeFrom(this.#findIndex(request) + 1);
  }

  /** Removes a request whose response has been written. */
  remove(request: ConnectionRequest): void {
    const index = this.#findIndex(request);
    if (index < 0) {
      return;
    }
    this.#entries.splice(index, 1);
    if (this.#streamed === request) {
      this.#streamed = undefined;
    }
    request.end();
    this.#advance();
  }

  /** From now on, no request is passed on while an earlier one is unanswered. */
  drain(): void {
    this.#isDraining = true;
  }

  /**
   * Calls `handleLast` when all requests that have been read whole are
   * answered. What follows them on the connection is not a request: the caller
   * learns that it has not run, so nothing of it runs even if it becomes whole.
   * Has no effect once the last response is decided.
   */
  closeAfterAll(handleLast: () => void): void {
    if (this.#isSealed) {
      return;
    }
    this.#isSealed = true;
    this.#handleLast = handleLast;
    const unread = this.#entries.findIndex(({ request }) => !request.isRead());
    if (unread >= 0) {
      this.#removeFrom(unread);
    }
    this.#advance();
  }

  /** Cancels all requests: the connection has ended. */
  leave(reason: Error): void {
    this.#hasEnded = true;
    this.#handleLast = undefined;
    const requests = this.#entries.map(({ request }) => request);
    this.#removeFrom(0);
    requests.forEach((request) => request.cancel(reason));
  }

  #advance(): void {
    if (this.#entries.length === 0) {
      const handleLast = this.#handleLast;
      this.#handleLast = undefined;
      handleLast?.();
      return;
    }
    this.#settleResponseTurn(this.#entries[0]!.request, true);
    for (const [index, entry] of this.#entries.entries()) {
      if (entry.stage === "running") {
        continue;
      }
      if (
        entry.stage !== "waiting" || !this.#mayRun(entry.options, index)
      ) {
        return;
      }
      const { request, options, resolve } = entry;
      this.#entries[index] = { request, stage: "running" };
      resolve(true);
      if (options.endsConnection) {
        this.closeAfter(request);
        return;
      }
    }
  }

  /** `index` is the number of earlier requests; all of them are running. */
  #mayRun(options: TurnOptions, index: number): boolean {
    if (this.#isClosing || this.#streamed !== undefined) {
      return false;
    }
    const runsAlone = this.#isDraining || !options.isIdempotent;
    return index < (runsAlone ? 1 : MAX_RUNNING);
  }

  #removeFrom(index: number): void {
    const removed = this.#entries.splice(index);
    for (const entry of removed) {
      if (entry.stage === "waiting") {
        entry.resolve(false);
      }
      this.#settleResponseTurn(entry.request, false);
      entry.request.end();
    }
  }

  #settleResponseTurn(request: ConnectionRequest, mayRespond: boolean): void {
    this.#responseTurns.get(request)?.(mayRespond);
    this.#responseTurns.delete(request);
  }

  #findIndex(request: ConnectionRequest): number {
    return this.#entries.findIndex((entry) => entry.request === request);
  }
}
