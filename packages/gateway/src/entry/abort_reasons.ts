/**
 * Why a request of a caller is aborted. Created once, since a new error with
 * its stack trace costs 0.05 ms.
 */
export const CALLER_DISCONNECTED = new Error(
  "The caller closed the connection",
);
export const SERVER_CLOSED = new Error("The instance ends");
