/**
 * Builds the daemon into one file and keeps what V8 makes of it:
 * `target/lentilspur.cjs` starts it. One file loads in a third of the processor
 * time of its libraries' hundreds, and compiled code in half of that: a restart
 * on half a core is then silent for about half a second.
 *
 * V8 takes compiled code only under the flags under which it was made, so this
 * runs under those that the deploy file starts the daemon with.
 */
import { spawnSync } from "node:child_process";
import { copyFileSync, readFileSync, writeFileSync } from "node:fs";
import Module, { createRequire } from "node:module";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { setFlagsFromString } from "node:v8";
import { Script } from "node:vm";
import { build } from "esbuild";
import { parse } from "smol-toml";

const BUNDLE = "target/daemon.cjs";
const DEPLOY_FILE = "deploy/system.toml";

const { roles } = parse(readFileSync(DEPLOY_FILE, "utf8"));
const flags = roles.router.run.split(" ").filter((word) =>
  word.startsWith("-")
);
if (process.execArgv.join(" ") !== flags.join(" ")) {
  const words = [...flags, fileURLToPath(import.meta.url)];
  const { status } = spawnSync(process.execPath, words, { stdio: "inherit" });
  process.exit(status ?? 1);
}

await build({
  entryPoints: ["platform/src/daemon.ts"],
  outfile: BUNDLE,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  alias: {
    "ts-results": "./scripts/ts_results_default.mjs",
    "undici": "./scripts/undici_client.mjs",
  },
  minifyWhitespace: true,
  legalComments: "none",
  logLevel: "warning",
});

// All functions are compiled, those of requests too: an instance that has just
// started would compile them one by one while it answers.
setFlagsFromString("--no-lazy");
const script = new Script(Module.wrap(readFileSync(BUNDLE, "utf8")), {
  filename: BUNDLE,
});
// Loaded once, which shows that it loads at all.
const loaded = { exports: {} };
const require = createRequire(import.meta.url);
script.runInThisContext()(loaded.exports, require, loaded, BUNDLE, "target");
setFlagsFromString("--lazy");
writeFileSync("target/daemon.cache", script.createCachedData());
copyFileSync("scripts/launch.cjs", "target/lentilspur.cjs");
