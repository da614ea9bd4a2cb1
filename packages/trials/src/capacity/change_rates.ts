/** How many records and bytes a second the letter's size puts on the log. */
import { ASSUMED, LETTER, SECONDS_PER_DAY, SHARDS } from "./letter_size.ts";
import type { RecordSlope, RecordSlopes } from "./record_slopes.ts";

/** One mechanism that appends, at the letter's size. */
export interface ChangeRate {
  readonly name: string;
  readonly slope: RecordSlope;
  readonly perSecond: number;
  readonly grounds: string;
}

/** A member that restarts guards three others, which each choose anew. */
const GUARDED_BY_EACH = 3;
const EPOCH_SECONDS = 300;

export function listChangeRates(records: RecordSlopes): readonly ChangeRate[] {
  const restarts = LETTER.restartsPerDay / SECONDS_PER_DAY;
  const losses = LETTER.lossesPerDay / SECONDS_PER_DAY;
  const hotKeyMoves = 2 * LETTER.hotKeys /
    (ASSUMED.hotKeysChangeWithinMs / 1_000);
  const balanceMoves = SHARDS * ASSUMED.balanceMovesPerDayShare /
    SECONDS_PER_DAY;
  return [
    {
      name: "configuration change",
      slope: records.configurationChange,
      perSecond: LETTER.configurationChangesPerDay / SECONDS_PER_DAY,
      grounds: "10,000 a day",
    },
    {
      name: "restart or replacement",
      slope: records.restart,
      perSecond: restarts,
      grounds: "4,600 a day",
    },
    {
      name: "change of guardians",
      slope: records.guardianChange,
      perSecond: (restarts + losses) * GUARDED_BY_EACH,
      grounds: "three for each restart or loss",
    },
    {
      name: "hot key, there and back",
      slope: records.hotKeyMove,
      perSecond: hotKeyMoves,
      grounds: "200 keys, all others after 5 min",
    },
    {
      name: "move for balance",
      slope: records.hotKeyMove,
      perSecond: balanceMoves,
      grounds: "1 % of the shards a day, assumed",
    },
    {
      name: "loss of an instance",
      slope: records.instanceLoss,
      perSecond: losses,
      grounds: "25 a day",
    },
    {
      name: "loss of a target",
      slope: records.targetLoss,
      perSecond: losses,
      grounds: "as many as instances, assumed",
    },
    {
      name: "epoch",
      slope: records.epoch,
      perSecond: 1 / EPOCH_SECONDS,
      grounds: "one in 5 min",
    },
  ];
}

export interface LogLoad {
  readonly recordsPerSecond: number;
  readonly bytesPerSecond: number;
  readonly foldMicrosecondsPerSecond: number;
}

export function computeLogLoad(rates: readonly ChangeRate[]): LogLoad {
  const sum = (weigh: (rate: ChangeRate) => number): number =>
    rates.reduce((total, rate) => total + weigh(rate) * rate.perSecond, 0);
  return {
    recordsPerSecond: sum(({ slope }) => slope.records),
    bytesPerSecond: sum(({ slope }) => slope.bytes),
    foldMicrosecondsPerSecond: sum(({ slope }) => slope.foldMicroseconds),
  };
}
