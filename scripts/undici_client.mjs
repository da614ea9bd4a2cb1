/**
 * Replaces `undici` in the bundle by its single-connection client, the only
 * part that the daemon uses. The package's entry point also loads fetch, caches
 * and web sockets, which are half of the bundle and of the processor time of a
 * start.
 */
import Client from "../node_modules/undici/lib/dispatcher/client.js";

export { Client };
