/**
 * Replaces `node:assert` in the bundle. To word the message of a failed
 * assertion, `node:assert` parses the source around it; in the long lines of the
 * bundle that takes seconds, in which the process does nothing else.
 */
"use strict";

class AssertionError extends Error {
  name = "AssertionError";
  code = "ERR_ASSERTION";
}

/** The only function of `node:assert` that the bundled libraries call. */
module.exports = function assertTrue(value, message = "An assertion failed") {
  if (!value) {
    throw message instanceof Error ? message : new AssertionError(message);
  }
};
