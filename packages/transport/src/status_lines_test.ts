import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { StatusLines } from "./status_lines.ts";

const LINES = [
  "HTTP/1.1 103 Early Hints",
  "HTTP/1.1 102 ",
  "HTTP/1.1 200 OK",
] as const;
const HEADS = [
  `\r\n${LINES[0]}\r\nlink: a\r\nx: \r\n\r\n`,
  `${LINES[1]}\r\n\r\n`,
  `\r\n\r\n${LINES[2]}\r\nContent-Length: 4\r\n\r\n`,
] as const;
const RESPONSE = Buffer.from(`${HEADS.join("")}\r\n\r\n`);

test("each status line is found however a response is split into reads", () => {
  fc.assert(
    fc.property(fc.array(fc.nat({ max: RESPONSE.length })), (cuts) => {
      const ends = [...cuts, RESPONSE.length].sort((a, b) => a - b);
      const lines = new StatusLines();
      const taken: string[] = [];
      let headEnd = 0;
      let start = 0;
      for (const end of ends) {
        lines.add(RESPONSE.subarray(start, end));
        start = end;
        for (
          let next = HEADS[taken.length];
          next !== undefined && headEnd + next.length <= end;
          next = HEADS[taken.length]
        ) {
          headEnd += next.length;
          taken.push(lines.take());
        }
      }
      assert.deepEqual(taken, LINES);
    }),
    { seed: 77 },
  );
});
