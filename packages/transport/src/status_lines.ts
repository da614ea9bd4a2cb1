/**
 * Finds the status lines in the bytes of a response. `undici` does not report
 * the protocol and version of a response, nor the whole of its reason phrase.
 */
import type { Socket } from "node:net";

const CR = 13;
const LF = 10;
const LINE_END = "\r\n";
const HEAD_END = "\r\n\r\n";
const NO_BYTES = Buffer.alloc(0);

export class StatusLines {
  /** Bytes behind the last head whose status line was taken. */
  #bytes: Buffer = NO_BYTES;

  /** Adds bytes that the parser reads next. */
  add(bytes: Buffer): void {
    this.#bytes = this.#bytes.length === 0
      ? bytes
      : Buffer.concat([this.#bytes, bytes]);
  }

  /** Takes the status line of the next head, of which all has been added. */
  take(): string {
    const bytes = removeEmptyLines(this.#bytes);
    this.#bytes = bytes.subarray(bytes.indexOf(HEAD_END) + HEAD_END.length);
    return bytes.toString("latin1", 0, bytes.indexOf(LINE_END));
  }

  /** Releases the bytes that are left. */
  clear(): void {
    this.#bytes = NO_BYTES;
  }
}

/** Removes the empty lines that the parser accepts before a status line. */
function removeEmptyLines(bytes: Buffer): Buffer {
  const start = bytes.findIndex((byte) => byte !== CR && byte !== LF);
  return bytes.subarray(Math.max(0, start));
}

/** Calls `observe` with all bytes that are read from the socket by `read()`. */
export function observeReads(
  socket: Socket,
  observe: (bytes: Buffer) => void,
): void {
  const read = socket.read.bind(socket);
  socket.read = (size?: number) => {
    const bytes: Buffer | null = read(size);
    if (bytes !== null) {
      observe(bytes);
    }
    return bytes;
  };
}
