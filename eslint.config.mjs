/**
 * Rules that Deno's linter lacks: exhaustive switches, handled promises,
 * #private fields, and functions named by a verb of docs/verbs.md.
 */
import { readFileSync } from "node:fs";
import tseslint from "typescript-eslint";

const verbsPage = readFileSync(
  new URL("docs/verbs.md", import.meta.url),
  "utf8",
);
const verbs = [...verbsPage.matchAll(/`([a-z]+)`/g)].map((match) => match[1]);
const startsWithVerb = `^(${verbs.join("|")})([A-Z0-9].*)?$`;

export default tseslint.config(
  { ignores: ["**/dist/**", "**/node_modules/**"] },
  {
    files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
    languageOptions: {
      parser: tseslint.parser,
      parserOptions: { projectService: true },
    },
    plugins: { "@typescript-eslint": tseslint.plugin },
    rules: {
      "@typescript-eslint/switch-exhaustiveness-check": [
        "error",
        { requireDefaultForNonUnion: true },
      ],
      "@typescript-eslint/no-floating-promises": [
        "error",
        {
          allowForKnownSafeCalls: [
            {
              from: "package",
              package: "node:test",
              name: ["test", "describe", "it"],
            },
          ],
        },
      ],
      "@typescript-eslint/no-misused-promises": [
        "error",
        { checksVoidReturn: false },
      ],
      "@typescript-eslint/naming-convention": [
        "error",
        {
          selector: ["function", "classMethod"],
          modifiers: [],
          format: null,
          custom: { regex: startsWithVerb, match: true },
          filter: { regex: "^#", match: false },
        },
      ],
      "no-restricted-syntax": [
        "error",
        {
          selector: "PropertyDefinition[accessibility='private']",
          message: "Use a #private field.",
        },
      ],
    },
  },
);
