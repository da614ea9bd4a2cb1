/**
 * Stops a daemon under load: `node scripts/planned_stop.mjs chunked 3` for one
 * form and seed, `all 1 2 3` for every form. Requires a finished build.
 */
import process from "node:process";
import { SystemClock } from "../packages/ports/dist/system_clock.js";
import {
  PLANNED_STOP_FORMS,
  runPlannedStop,
} from "../platform/dist/standins/planned_stop.js";

const [name = "plain", ...seeds] = process.argv.slice(2);
const names = name === "all" ? Object.keys(PLANNED_STOP_FORMS) : [name];
for (const formName of names) {
  for (const seed of seeds.length === 0 ? ["1"] : seeds) {
    const form = PLANNED_STOP_FORMS[formName];
    const report = await runPlannedStop(form, Number(seed), new SystemClock());
    const { cut, replaced, refusedAfterRun, unanswered, ...counts } = report;
    console.log(JSON.stringify({
      form: formName,
      seed: Number(seed),
      cut: cut.length,
      replaced: replaced.length,
      refusedAfterRun: refusedAfterRun.length,
      unanswered: unanswered.length,
      ...counts,
      cases: [...cut, ...replaced, ...refusedAfterRun, ...unanswered]
        .slice(0, 6),
    }));
  }
}
