import assert from "node:assert/strict";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { FakeLog } from "@lentilspur/ports/fake_log";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { runAudit } from "./audit.ts";
import { exportLog } from "./export.ts";
import { listExportFiles, verifyExport } from "./export_verify.ts";
import { createSampleRun } from "./sample_run.ts";

const STREAM = "lentilspur";
const RECORDS = createSampleRun().records;

interface Trial {
  readonly directory: string;
  readonly log: FakeLog;
  runExport(): ReturnType<typeof exportLog>;
}

async function runTrial(check: (trial: Trial) => Promise<void>): Promise<void> {
  const directory = await mkdtemp(join(tmpdir(), "export-"));
  const clock = new VirtualClock();
  const log = new FakeLog(clock);
  const link = log.createLink({ latencyMs: 0 });
  const runExport = async () => {
    const result = exportLog({ log: link, stream: STREAM, directory });
    let isDone = false;
    void result.finally(() => isDone = true);
    while (!isDone) {
      await clock.advance(1);
    }
    return await result;
  };
  try {
    await check({ directory, log, runExport });
  } finally {
    await rm(directory, { recursive: true });
  }
}

/** Two files: the first six records, then the others. */
async function exportTwice({ log, runExport }: Trial): Promise<void> {
  RECORDS.slice(0, 6).forEach(({ payload }) => log.appendNow(STREAM, payload));
  assert.ok((await runExport()).ok);
  RECORDS.slice(6).forEach(({ payload }) => log.appendNow(STREAM, payload));
  assert.ok((await runExport()).ok);
}

test("exports go on where the last one ended and are found whole", () =>
  runTrial(async (trial) => {
    await exportTwice(trial);
    const again = await trial.runExport();
    assert.ok(again.ok);
    assert.equal(again.val.records, 0);
    const report = await verifyExport(trial.directory, STREAM);
    assert.deepEqual(report.faults, []);
    assert.equal(report.files, 2);
    assert.equal(report.records, RECORDS.length);
    assert.equal(report.lastDigest, again.val.lastDigest);
    const files = await listExportFiles(trial.directory, STREAM);
    assert.equal((await runAudit(files)).logRecords, RECORDS.length);
  }));

/** What somebody might do to the lines of one file. */
const DAMAGES: Readonly<Record<string, (lines: string[]) => string[]>> = {
  "a changed payload": (lines) =>
    lines.map((line, index) => index === 2 ? line.replace("a#", "z#") : line),
  "a record left out": (lines) => lines.toSpliced(2, 1),
  "two records in another order": (
    lines,
  ) => [lines[0]!, lines[2]!, lines[1]!, ...lines.slice(3)],
  "a file cut off": (lines) => lines.slice(0, 3),
  "a line added behind the seal": (lines) => [...lines, lines[1]!],
};

for (const [damage, change] of Object.entries(DAMAGES)) {
  test(`${damage} is found, and the export refuses to go on`, () =>
    runTrial(async (trial) => {
      await exportTwice(trial);
      const [file] = await listExportFiles(trial.directory, STREAM);
      const lines = (await readFile(file!, "utf8")).trimEnd().split("\n");
      await writeFile(file!, `${change(lines).join("\n")}\n`);
      const report = await verifyExport(trial.directory, STREAM);
      assert.notEqual(report.faults.length, 0);
      assert.ok(!(await trial.runExport()).ok);
    }));
}

test("a missing file is found by its offsets", () =>
  runTrial(async (trial) => {
    await exportTwice(trial);
    trial.log.appendNow(STREAM, "later");
    assert.ok((await trial.runExport()).ok);
    const [, second] = await listExportFiles(trial.directory, STREAM);
    await rm(second!);
    const { faults } = await verifyExport(trial.directory, STREAM);
    assert.match(faults[0]!.message, /Records "6" to "10" are missing/);
  }));

test("records that expired between two exports are said to be lost", () =>
  // Nobody exports for longer than the log keeps its records. The next export
  // must not close the gap silently: it names what is gone and adds nothing.
  runTrial(async (trial) => {
    await exportTwice(trial);
    trial.log.appendNow(STREAM, "lost");
    trial.log.appendNow(STREAM, "kept");
    trial.log.expireBefore(STREAM, RECORDS.length + 1);
    const result = await trial.runExport();
    assert.ok(!result.ok);
    assert.deepEqual(result.val, {
      kind: "expired",
      nextOffset: RECORDS.length,
      firstOffset: RECORDS.length + 1,
    });
  }));
