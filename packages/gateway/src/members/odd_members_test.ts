import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { test } from "node:test";
import fc from "fast-check";
import { createMember } from "./member_fixtures.ts";
import { decodeMember, Members, serializeMember } from "./members.ts";

const RECORD = serializeMember(createMember("bole-1"));

test("a record with a port, host or number that cannot be used is left out", () => {
  const odd: readonly (readonly [string, unknown])[] = [
    ...["port", "statusPort", "forwardPort"].flatMap((name) =>
      [70_000, 1.5, 0, -1, "80", null, 2 ** 53].map((port) =>
        [name, port] as const
      )
    ),
    ["host", ""],
    ["host", "a b"],
    ["host", "\u0000"],
    ["cores", -1],
    ["cores", 1e300],
    ["startNumber", 2 ** 53 - 1],
    ["startNumber", 0.5],
    ["dataCentre", "a".repeat(100_000)],
  ];
  const members = new Members(createMember("bole-2"));
  for (const [offset, [name, value]] of odd.entries()) {
    const text = JSON.stringify({ ...JSON.parse(RECORD), [name]: value });
    const applied = members.apply("bole-1", text, { offset, nowMs: 0 });
    assert.ok(!applied.ok, `${name} ${String(value)}`);
    assert.ok(applied.val.length < 300);
  }
  assert.equal(members.knownCount, 1);
  assert.ok(members.apply("bole-1", RECORD, { offset: 0, nowMs: 0 }).ok);
});

test("a datagram can be sent to any member whose record is accepted", () => {
  const socket = createSocket("udp4");
  const value = fc.oneof(
    fc.integer(),
    fc.double(),
    fc.string(),
    fc.jsonValue(),
  );
  const fields = fc.record({
    host: fc.oneof(fc.constant("127.0.0.1"), value),
    port: fc.oneof(fc.integer({ min: -5, max: 70_000 }), value),
    statusPort: fc.oneof(fc.constant(2), value),
    cores: value,
    startNumber: value,
  }, { requiredKeys: [] });
  const text = fc.oneof(
    fields.map((changes) =>
      JSON.stringify({ ...JSON.parse(RECORD), ...changes })
    ),
    fc.json(),
    fc.string({ unit: "binary" }),
  );
  fc.assert(
    fc.property(text, (record) => {
      const decoded = decodeMember("bole-1", record);
      if (decoded.ok) {
        socket.send("", decoded.val.port, "127.0.0.1", () => undefined);
        assert.deepEqual(
          decodeMember("bole-1", serializeMember(decoded.val)).unwrap(),
          decoded.val,
        );
      } else {
        assert.ok(decoded.val.length < 400);
      }
    }),
    { seed: 68, numRuns: 2_000 },
  );
  socket.close();
});
