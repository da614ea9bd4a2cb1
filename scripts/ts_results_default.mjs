/**
 * `ts-results` for the bundle. Its CommonJS build loads its parts by a `require`
 * that no bundler can see, and its ES modules have no default export.
 */
import * as results from "../node_modules/ts-results/esm/index.js";

export default results;
