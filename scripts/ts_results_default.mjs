/**
 * Replaces `ts-results` in the bundle. Its CommonJS build loads its modules by
 * a `require` that bundlers cannot follow, and its ES modules have no default
 * export.
 */
import * as results from "../node_modules/ts-results/esm/index.js";

export default results;
