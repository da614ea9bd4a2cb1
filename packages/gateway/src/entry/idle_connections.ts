/** Closes idle connections of a server that knows no callers. */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { waitForArrivedData } from "@lentilspur/ports/event_loop";

/**
 * Replaces what Node's server does after `keepAliveTimeout`: it would also close
 * a connection on which a request has arrived while this process stood still.
 */
export function closeIdleConnections(server: Server): void {
  server.on("timeout", (socket) => void closeIfIdle(socket));
}

async function closeIfIdle(socket: Socket): Promise<void> {
  const { bytesRead } = socket;
  await waitForArrivedData();
  if (socket.bytesRead === bytesRead) {
    socket.destroy();
  }
}
