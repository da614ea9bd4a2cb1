import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import fc from "fast-check";
import type { DeclarationFile } from "./document_source.ts";
import { validateDeclarations } from "./validate.ts";

const SEED = 20_261_202;
const DIRECTORY = new URL("../../../playground/sautiba/", import.meta.url);

const FILES: readonly DeclarationFile[] = readdirSync(DIRECTORY, {
  recursive: true,
  encoding: "utf8",
})
  .filter((name) => name.endsWith(".yaml"))
  .map((name) => ({
    name,
    text: readFileSync(new URL(name, DIRECTORY), "utf8"),
  }));

/** Splits `  - method: GET` into indentation, field name and value. */
const FIELD_PATTERN = /^( *(?:- )?)([A-Za-z]+): (\S+)$/;

/** Values that are invalid for every field. */
const BAD_VALUES = ["{}", "[]", "-1", "~", '"?"'];

interface BrokenLine {
  readonly file: DeclarationFile;
  /** 1-based. */
  readonly line: number;
}

/** Replaces one line of `file`; the last of the new lines is invalid. */
function createBroken(
  file: DeclarationFile,
  index: number,
  lines: readonly string[],
): BrokenLine {
  const text = file.text.split("\n").toSpliced(index, 1, ...lines).join("\n");
  return { file: { ...file, text }, line: index + lines.length };
}

function listBroken(): readonly BrokenLine[] {
  return FILES.flatMap((file) =>
    file.text.split("\n").flatMap((line, index) => {
      const match = FIELD_PATTERN.exec(line);
      if (match === null) {
        return [];
      }
      const [, lead = "", name = ""] = match;
      const unknown = `${" ".repeat(lead.length)}zzz: 1`;
      return [
        ...BAD_VALUES.map((value) =>
          createBroken(file, index, [`${lead}${name}: ${value}`])
        ),
        createBroken(file, index, [line, unknown]),
      ];
    })
  );
}

function listFaultLines({ file }: BrokenLine): readonly number[] {
  const files = FILES.map((each) => each.name === file.name ? file : each);
  const result = validateDeclarations(files);
  return result.ok ? [] : result.val.filter((fault) => fault.file === file.name)
    .map((fault) => fault.line);
}

test("every field of the examples, made invalid in six ways, is reported with its line", () => {
  const broken = listBroken();
  assert.ok(broken.length > 6 * 100, String(broken.length));
  const missed = broken
    .filter((each) => !listFaultLines(each).includes(each.line))
    .map(({ file, line }) =>
      `${file.name}: ${file.text.split("\n")[line - 1]}`
    );
  assert.deepEqual(missed, []);
});

test("corrupted text makes validation neither throw nor report a line outside the file", () => {
  const mangled = fc.record({
    file: fc.constantFrom(...FILES),
    at: fc.nat(),
    length: fc.nat(40),
    text: fc.string({ unit: fc.constantFrom(..." \n\t:-{}[]&*!|>%@`'\"#aé0") }),
  });
  fc.assert(
    fc.property(mangled, ({ file, at, length, text }) => {
      const start = at % file.text.length;
      const changed = file.text.slice(0, start) + text +
        file.text.slice(start + length);
      const result = validateDeclarations([{ ...file, text: changed }]);
      const faults = result.ok ? [] : result.val;
      const lineCount = changed.split("\n").length;
      assert.ok(
        faults.every(({ line }) => line >= 1 && line <= lineCount),
        JSON.stringify(faults),
      );
    }),
    { seed: SEED, numRuns: 1_000 },
  );
});
