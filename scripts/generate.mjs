/**
 * Generates the inner protocol's code from packages/protocol/proto. Only a
 * change of the protocol needs it: what it writes is committed.
 */
import { runTool } from "./tools.mjs";

runTool("npx", ["buf", "generate"]);
