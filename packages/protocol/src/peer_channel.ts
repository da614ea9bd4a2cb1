/**
 * One gRPC connection to one peer, replaced when it goes silent.
 *
 * Guards against a connection that looks open while something between the two
 * ends has forgotten it. It shows as calls that neither answer nor fail.
 * Keepalive pings find a silent connection that carries nothing; a call that
 * passes its deadline retires the connection, so that the next call opens a
 * fresh one. Calls still in progress on the old one may finish there.
 */
import * as grpc from "@grpc/grpc-js";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { PeerFailure } from "@lentilspur/ports/peer";

/** A ping each second finds a silent idle connection within two. */
const KEEPALIVE_EVERY_MS = 1_000;
const KEEPALIVE_TIMEOUT_MS = 1_000;
/** Short, because a peer restarts within seconds and callers wait for it. */
const RECONNECT_FIRST_MS = 100;
const RECONNECT_MAX_MS = 1_000;
/** Longest wait for a connection; a healthy one takes a few milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

const CHANNEL_OPTIONS: grpc.ChannelOptions = {
  "grpc.keepalive_time_ms": KEEPALIVE_EVERY_MS,
  "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
  "grpc.keepalive_permit_without_calls": 1,
  "grpc.initial_reconnect_backoff_ms": RECONNECT_FIRST_MS,
  "grpc.max_reconnect_backoff_ms": RECONNECT_MAX_MS,
  // Channels would otherwise share one connection per address, and a retired
  // one would come back under a new name.
  "grpc.use_local_subchannel_pool": 1,
  "grpc.enable_retries": 0,
  "grpc.enable_http_proxy": 0,
};

export interface PeerChannelOptions<C extends grpc.Client> {
  readonly address: string;
  readonly maxMessageBytes: number;
  readonly createClient: (
    address: string,
    credentials: grpc.ChannelCredentials,
    options: grpc.ChannelOptions,
  ) => C;
}

/** Starts one unary call on a generated client. */
export type StartCall<C, Reply> = (
  client: C,
  metadata: grpc.Metadata,
  options: grpc.CallOptions,
  callback: (error: grpc.ServiceError | null, reply: Reply) => void,
) => grpc.ClientUnaryCall;

export class PeerChannel<C extends grpc.Client> {
  readonly #options: PeerChannelOptions<C>;
  #client: C;

  constructor(options: PeerChannelOptions<C>) {
    this.#options = options;
    this.#client = this.#createClient();
  }

  /**
   * Runs one call. `not-sent` is given only while no connection stood or when
   * another process answered; once a call has started, every failure is
   * `lost`, UNAVAILABLE too, because a reset may follow delivery.
   */
  async run<Reply>(
    startCall: StartCall<C, Reply>,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<Reply, PeerFailure>> {
    const client = this.#client;
    const connected = isConnected(client) ||
      await waitForConnection(client, Math.min(timeoutMs, CONNECT_TIMEOUT_MS));
    if (!connected) {
      return failNotSent(`no connection to '${this.#options.address}'`);
    }
    if (signal?.aborted) {
      return failNotSent("the caller cancelled before the call was sent");
    }
    const outcome = await sendCall(client, startCall, timeoutMs, signal);
    if (!outcome.ok && outcome.val.code === grpc.status.DEADLINE_EXCEEDED) {
      this.#resetClient(client);
    }
    return outcome.ok ? outcome : Err(toPeerFailure(outcome.val));
  }

  close(): void {
    this.#client.close();
  }

  #resetClient(silent: C): void {
    if (silent === this.#client) {
      this.#client = this.#createClient();
      silent.close();
    }
  }

  #createClient(): C {
    return this.#options.createClient(
      this.#options.address,
      grpc.credentials.createInsecure(),
      {
        ...CHANNEL_OPTIONS,
        "grpc.max_receive_message_length": this.#options.maxMessageBytes,
        "grpc.max_send_message_length": this.#options.maxMessageBytes,
      },
    );
  }
}

function failNotSent<T>(message: string): Result<T, PeerFailure> {
  return Err({ kind: "not-sent", message });
}

function isConnected(client: grpc.Client): boolean {
  const state = client.getChannel().getConnectivityState(true);
  return state === grpc.connectivityState.READY;
}

/** False once an attempt has failed or the time is over. */
async function waitForConnection(
  client: grpc.Client,
  timeoutMs: number,
): Promise<boolean> {
  const channel = client.getChannel();
  // The grpc library takes deadlines as dates; it is never compared with
  // another machine's.
  const deadline = new Date(Date.now() + timeoutMs);
  for (;;) {
    const state = channel.getConnectivityState(true);
    if (state === grpc.connectivityState.READY) {
      return true;
    }
    if (isDead(state)) {
      return false;
    }
    const changed = await new Promise<boolean>((resolve) => {
      channel.watchConnectivityState(state, deadline, (error) => {
        resolve(error === undefined || error === null);
      });
    });
    if (!changed) {
      return false;
    }
  }
}

function isDead(state: grpc.connectivityState): boolean {
  return state === grpc.connectivityState.TRANSIENT_FAILURE ||
    state === grpc.connectivityState.SHUTDOWN;
}

function sendCall<C, Reply>(
  client: C,
  startCall: StartCall<C, Reply>,
  timeoutMs: number,
  signal: AbortSignal | undefined,
): Promise<Result<Reply, grpc.ServiceError>> {
  return new Promise((resolve) => {
    const deadline = new Date(Date.now() + timeoutMs);
    const cancelCall = (): void => call.cancel();
    const metadata = new grpc.Metadata();
    const call = startCall(client, metadata, { deadline }, (error, reply) => {
      signal?.removeEventListener("abort", cancelCall);
      resolve(error === null ? Ok(reply) : Err(error));
    });
    signal?.addEventListener("abort", cancelCall, { once: true });
  });
}

function toPeerFailure(error: grpc.ServiceError): PeerFailure {
  const kind = error.code === grpc.status.FAILED_PRECONDITION
    ? "not-sent"
    : "lost";
  return { kind, message: error.details };
}
