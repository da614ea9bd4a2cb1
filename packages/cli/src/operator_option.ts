/**
 * The `--operator` option: who is responsible for a change, as the store
 * records it.
 */
import { extendType, option, string } from "cmd-ts";

const OPERATOR_PATTERN = /^[A-Za-z][A-Za-z0-9._@-]{0,62}$/;

const operatorType = extendType(string, {
  displayName: "name",
  from: (text): Promise<string> =>
    OPERATOR_PATTERN.test(text) ? Promise.resolve(text) : Promise.reject(
      new Error(
        `"${text}" is not a valid operator name; use up to 63 letters, digits and . _ @ - and begin with a letter`,
      ),
    ),
});

export const operatorOption = option({
  long: "operator",
  env: "LENTILSPUR_OPERATOR",
  type: operatorType,
  description:
    "Who is responsible for this change; lentilspur history shows the name",
});
