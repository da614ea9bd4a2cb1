/** A client that sends one request and notes what it is answered. */
import { Agent, request } from "node:http";
import { randomBytes } from "node:crypto";
import { HOST } from "./deployment.mjs";

export const createRequestId = () => randomBytes(8).toString("hex");

/** Keeps up to `maxSockets` connections to a router open. */
export function createAgent(maxSockets) {
  return new Agent({ keepAlive: true, maxSockets });
}

/**
 * Never rejects; a connection that ends without a whole answer gives the status
 * 0.
 */
export function send(router, { agent, method, path, key, deadlineMs, body }) {
  const requestId = createRequestId();
  const answer = new Promise((resolve) => {
    const call = request({
      host: router.ip,
      port: router.frontend,
      agent,
      method,
      path,
      headers: {
        Host: HOST,
        "Lentilspur-Request-Id": requestId,
        "Lentilspur-Deadline-Milliseconds": String(deadlineMs),
        ...(key === undefined ? {} : { "Lentilspur-Shard-Key": String(key) }),
        ...(body === undefined
          ? {}
          : { "Content-Length": String(Buffer.byteLength(body)) }),
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => resolve({ status: 0, why: "cut" }));
      response.on("end", () =>
        resolve({
          status: response.complete ? response.statusCode : 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString("utf8"),
        }));
    });
    call.on("error", (error) => resolve({ status: 0, why: error.message }));
    call.end(body);
  });
  return { requestId, answer };
}
