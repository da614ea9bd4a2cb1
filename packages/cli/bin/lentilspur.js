#!/usr/bin/env node
/** Starts the built command; `npm run build` makes it. */
import { runMain } from "../dist/main.js";

await runMain();
