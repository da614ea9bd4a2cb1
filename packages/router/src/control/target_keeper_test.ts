import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeTarget } from "@lentilspur/ports/fake_target";
import { FakeTargetNetwork } from "@lentilspur/ports/fake_target_network";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import type { StateView, UnitState } from "@lentilspur/state/view";
import { DEFAULT_TIMING } from "../settings.ts";
import { ChangeNotifier } from "./change_notifier.ts";
import { TargetKeeper } from "./target_keeper.ts";

function makeUnit(token: number): UnitState {
  return { unit: "s:1", owner: "t1", token, move: null };
}

test("a unit that left a target and comes back is granted again", async () => {
  // A calendar moves off a target and, a minute later, back to it, under the
  // same steward. Its producers were told "owner-changing" from then on, until
  // the steward changed: the keeper still held it to be given up.
  const clock = new VirtualClock();
  const network = new FakeTargetNetwork(clock);
  const template = "calendars";
  network.add(
    new FakeTarget({ id: "t1", template, clock, checksGrants: true }),
  );
  let units: readonly UnitState[] = [makeUnit(1)];
  const view = {
    listUnitsOfTarget: () => units,
    listKeyUnits: () => [],
  } as unknown as StateView;
  const keeper = new TargetKeeper({
    target: {
      id: "t1",
      address: "127.0.0.1:1",
      dataCentre: "sinza",
      template,
      checksGrants: true,
    },
    leaving: false,
    steward: "e1",
    stewardToken: 1,
    takenOver: false,
  }, {
    clock,
    targets: network.createLink(),
    state: { getView: () => view, waitForFold: () => Promise.resolve() },
    timing: DEFAULT_TIMING,
    changes: new ChangeNotifier(clock),
    decisions: { log: () => undefined },
    getContact: () => undefined,
    mayAct: () => true,
  });
  const renew = async (): Promise<void> => {
    const renewed = keeper.renewOnce();
    await clock.advance(10);
    await renewed;
  };
  await renew();
  assert.equal(keeper.checkUnit(makeUnit(1), clock.readMs()), "ready");
  const revoked = keeper.revokeUnit("s:1");
  await clock.advance(10);
  assert.ok(await revoked);
  units = [];
  await renew();
  units = [makeUnit(2)];
  await renew();
  assert.equal(keeper.checkUnit(makeUnit(2), clock.readMs()), "ready");
});
