/**
 * What the daemon uses of `undici`: its client of one connection. The package's
 * own entry also loads fetch, caches and web sockets, which is half of the
 * whole bundle and of what a start costs.
 */
import Client from "../node_modules/undici/lib/dispatcher/client.js";

export { Client };
