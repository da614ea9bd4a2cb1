/** Who answers for a change; kept in the log for good. */
import { extendType, option, string } from "cmd-ts";

const OPERATOR_PATTERN = /^[A-Za-z][A-Za-z0-9._@-]{0,62}$/;

const operatorType = extendType(string, {
  displayName: "name",
  from: (text): Promise<string> =>
    OPERATOR_PATTERN.test(text) ? Promise.resolve(text) : Promise.reject(
      new Error(
        `"${text}" is no operator name, use up to 63 letters, digits and . _ @ - with a letter first`,
      ),
    ),
});

export const operatorOption = option({
  long: "operator",
  env: "LENTILSPUR_OPERATOR",
  type: operatorType,
  description: "Who answers for this change, as the history shows it",
});
