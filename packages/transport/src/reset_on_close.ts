/**
 * Chooses how the kernel closes the connections of a process that ends: in
 * order, as by default, or with a reset (the socket option `SO_LINGER` with a
 * timeout of 0). Node.js has no interface for the option, so `koffi` calls the C
 * library.
 */
import type { Socket } from "node:net";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";

/** Parameters and result of `setsockopt`, see setsockopt(2). */
type SetSocketOption = (
  descriptor: number,
  level: number,
  option: number,
  value: Uint8Array,
  valueBytes: number,
) => number;

/** Values of Linux on x64 and arm64. */
const SOL_SOCKET = 1;
const SO_LINGER = 13;
const SUPPORTED_PLATFORM = "linux";
const SUPPORTED_ARCHITECTURES: readonly string[] = ["x64", "arm64"];
/** Two native integers: whether the option is on, and the timeout in seconds. */
const LINGER_OFF = new Uint8Array(8);
const LINGER_ON = new Uint8Array(new Int32Array([1, 0]).buffer);

export class ResetOnClose {
  readonly #setOption: SetSocketOption;

  private constructor(setOption: SetSocketOption) {
    this.#setOption = setOption;
  }

  /** The error says why the option cannot be set on this system. */
  static async load(): Promise<Result<ResetOnClose, string>> {
    const { platform, arch } = process;
    if (
      platform !== SUPPORTED_PLATFORM || !SUPPORTED_ARCHITECTURES.includes(arch)
    ) {
      return Err(`SO_LINGER is not supported on ${platform} ${arch}`);
    }
    try {
      const { default: koffi } = await import("koffi");
      const setOption = koffi.load(null).func("setsockopt", "int", [
        "int",
        "int",
        "int",
        "const void *",
        "uint32_t",
      ]);
      return Ok(new ResetOnClose(setOption as SetSocketOption));
    } catch (error) {
      return Err(`The C library could not be loaded: ${String(error)}`);
    }
  }

  /**
   * Sets whether the connection is reset if the process ends. Returns false if
   * the option could not be set.
   */
  set(socket: Socket, isReset: boolean): boolean {
    const descriptor = findDescriptor(socket);
    if (descriptor === undefined) {
      return false;
    }
    const value = isReset ? LINGER_ON : LINGER_OFF;
    return this.#setOption(
      descriptor,
      SOL_SOCKET,
      SO_LINGER,
      value,
      value.byteLength,
    ) === 0;
  }
}

/** Undefined if the socket is closed. */
function findDescriptor(socket: Socket): number | undefined {
  const { _handle: handle } = socket as unknown as {
    readonly _handle: { readonly fd: number } | null;
  };
  const descriptor = handle?.fd ?? -1;
  return descriptor < 0 ? undefined : descriptor;
}
