/**
 * Exit codes of all commands. docs/operating/publish.md lists those of
 * `publish`.
 */

export const EXIT_CODES = {
  /** The command succeeded, or there was nothing to do. */
  done: 0,
  /** The input was refused or faults were found; nothing was changed. */
  refused: 1,
  /** The command line is wrong; nothing was attempted. */
  usage: 2,
  /**
   * The store could not be reached, or an instance did not start; nothing was
   * changed.
   */
  unavailable: 3,
  /**
   * It is unknown whether the change was accepted; the output says how to find
   * out.
   */
  unknown: 4,
  /**
   * The version is not in force on every instance, an instance does not
   * respond, or none is a member.
   */
  lagging: 5,
} as const;

export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];

/** The exit codes as `--help` prints them. */
export const EXIT_CODES_HELP =
  "Exit codes: 0 done, 1 refused or faults found, 2 wrong usage, 3 store not reached or instance not started, 4 outcome unknown, 5 not in force everywhere";
