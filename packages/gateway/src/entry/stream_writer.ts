/**
 * Writes a large response to its caller while the target still sends it. The
 * caller's speed sets the pace; a response that breaks off ends with a reset
 * connection, so that it never looks complete.
 */
import type { ServerResponse } from "node:http";
import type { Clock } from "@lentilspur/ports/clock";
import type { ResponseStream } from "@lentilspur/ports/response_stream";
import { SERVER_CLOSED } from "./abort_reasons.ts";
import { checkLateness } from "./caller_lateness.ts";

/** How the delivery of a streamed response ended. */
export type StreamDeliveryResult =
  | "complete"
  /** The response broke off before its end. */
  | "broken-off"
  | "caller-left"
  /** This process had to end. */
  | "instance-stopped"
  /** The caller took nothing for too long. */
  | "caller-stalled";

export interface StreamDelivery {
  readonly result: StreamDeliveryResult;
  /** Bytes of the body that were passed to the caller's connection. */
  readonly bytes: number;
  /** Why the response broke off. */
  readonly message?: string;
}

export interface StreamWriterOptions extends WriteOptions {
  /** Aborts when the caller leaves. */
  readonly signal: AbortSignal;
}

interface WriteOptions {
  readonly clock: Clock;
  /** A caller that takes nothing for this long loses its connection. */
  readonly stallTimeoutMs: number;
  /** How long this process has been stalled since its start. */
  readonly readTotalStallMs: () => number;
}

/** Writes the body after the head has been set. */
export async function writeStream(
  stream: ResponseStream,
  response: ServerResponse,
  { signal, ...writeOptions }: StreamWriterOptions,
): Promise<StreamDelivery> {
  cancelOnAbort(stream, signal);
  let bytes = 0;
  for (;;) {
    const part = await stream.read();
    if (signal.aborted) {
      resetConnection(response);
      return { result: getAbortResult(signal), bytes };
    }
    switch (part.kind) {
      case "data": {
        const written = await writePart(response, part.bytes, writeOptions);
        if (written !== "written") {
          stream.cancel("The caller did not take the response");
          resetConnection(response);
          return {
            result: written === "closed" ? getAbortResult(signal) : written,
            bytes,
          };
        }
        bytes += part.bytes.byteLength;
        break;
      }
      case "end":
        response.end();
        return { result: "complete", bytes };
      case "broken":
        resetConnection(response);
        return { result: "broken-off", bytes, message: part.message };
    }
  }
}

/**
 * Resets the caller's connection; a plain close would end a response without a
 * length in order. Node leaks a socket that is reset while it is being shut
 * down, which it is once the caller has closed its side.
 */
function resetConnection({ socket }: ServerResponse): void {
  if (socket?.writableEnded === true) {
    socket.destroy();
  } else {
    socket?.resetAndDestroy();
  }
}

/** Whose end has closed the connection. */
function getAbortResult(
  { reason }: AbortSignal,
): "caller-left" | "instance-stopped" {
  return reason === SERVER_CLOSED ? "instance-stopped" : "caller-left";
}

/** Waits until the part has left this process. */
function writePart(
  response: ServerResponse,
  bytes: Uint8Array,
  { clock, stallTimeoutMs, readTotalStallMs }: WriteOptions,
): Promise<"written" | "closed" | "caller-stalled"> {
  return new Promise((resolve) => {
    let isSettled = false;
    const unreadBeforeMs = readTotalStallMs();
    const handleClose = () => settle("closed");
    const handleTimeout = async () => {
      const isLate = await checkLateness({
        clock,
        readUnreadMs: readTotalStallMs,
        unreadBeforeMs,
        isPending: () => !isSettled,
      });
      if (isLate) {
        settle("caller-stalled");
      }
    };
    const timer = setTimeout(() => void handleTimeout(), stallTimeoutMs);
    const settle = (
      result: "written" | "closed" | "caller-stalled",
    ): void => {
      isSettled = true;
      clearTimeout(timer);
      response.off("close", handleClose);
      resolve(result);
    };
    response.once("close", handleClose);
    response.write(
      bytes,
      (error) =>
        settle(
          error === undefined || error === null ? "written" : "closed",
        ),
    );
  });
}

export type BufferedResponse =
  | "whole"
  /** It is large or memory is short, so that the caller takes a part first. */
  | "partial"
  | "broken-off";

/** Waits until the response has arrived, as far as memory allows. */
export async function waitUntilBuffered(
  stream: ResponseStream,
  signal: AbortSignal,
): Promise<BufferedResponse> {
  cancelOnAbort(stream, signal);
  if (!await stream.buffered) {
    return "partial";
  }
  const { kind } = await stream.ended;
  return kind === "complete" ? "whole" : "broken-off";
}

/** Reads a stream to its end into memory; undefined if it breaks off. */
export async function readWhole(
  stream: ResponseStream,
  signal: AbortSignal,
): Promise<Uint8Array | undefined> {
  cancelOnAbort(stream, signal);
  const parts: Uint8Array[] = [];
  for (;;) {
    const part = await stream.read();
    switch (part.kind) {
      case "data":
        parts.push(part.bytes);
        break;
      case "end":
        return Buffer.concat(parts);
      case "broken":
        return undefined;
    }
  }
}

function cancelOnAbort(stream: ResponseStream, signal: AbortSignal): void {
  const cancel = () => stream.cancel("The caller has left");
  if (signal.aborted) {
    cancel();
  } else {
    signal.addEventListener("abort", cancel, { once: true });
  }
}
