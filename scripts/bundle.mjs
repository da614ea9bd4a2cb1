/**
 * Bundles the daemon into one file and writes V8's code cache for it;
 * `target/lentilspur.cjs` starts the daemon from them. Loading one file takes a
 * third of the processor time of loading the hundreds of files of the
 * libraries, and the code cache reduces that from 50 ms to 29 ms: an instance
 * that restarts on half a core is unavailable for about half a second.
 *
 * V8 rejects a code cache that was created under other flags, so this script
 * restarts itself with the flags from the deploy file.
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
  const args = [...flags, fileURLToPath(import.meta.url)];
  const { status } = spawnSync(process.execPath, args, { stdio: "inherit" });
  process.exit(status ?? 1);
}

await build({
  entryPoints: ["platform/src/daemon.ts"],
  outfile: BUNDLE,
  bundle: true,
  platform: "node",
  target: "node20",
  // Loads a native library from its own package.
  external: ["koffi"],
  // The script that starts the bundle has no callback for dynamic imports.
  supported: { "dynamic-import": false },
  format: "cjs",
  alias: {
    "node:assert": "./scripts/plain_assert.cjs",
    "ts-results": "./scripts/ts_results_default.mjs",
    "undici": "./scripts/undici_client.mjs",
  },
  minifyWhitespace: true,
  legalComments: "none",
  logLevel: "warning",
});

// Compiles all functions, including those that handle requests: with lazy
// compilation, a newly started instance would compile them during its first
// requests.
setFlagsFromString("--no-lazy");
const script = new Script(Module.wrap(readFileSync(BUNDLE, "utf8")), {
  filename: BUNDLE,
});
// Loads the bundle once, so that a bundle that cannot load fails the build.
const bundleModule = { exports: {} };
const require = createRequire(import.meta.url);
script.runInThisContext()(
  bundleModule.exports,
  require,
  bundleModule,
  BUNDLE,
  "target",
);
setFlagsFromString("--lazy");
writeFileSync("target/daemon.cache", script.createCachedData());
copyFileSync("scripts/launch.cjs", "target/lentilspur.cjs");
