#!/usr/bin/env node
/** Starts the `lentilspur` command. Run `npm run build` first. */
import { runMain } from "../dist/main.js";

await runMain();
