/**
 * Recent small answers to non-idempotent requests, for resends. Bounded in
 * bytes; the oldest goes first. Losing one costs a resend its body, never its
 * outcome.
 */
import type { ForwardReply } from "@lentilspur/ports/peer";

type Answered = Extract<ForwardReply, { readonly kind: "answered" }>;

/** Larger answers would push out hundreds of the usual kind. */
const MAX_ANSWER_BYTES = 16 * 1024;
/** Headers and bookkeeping of one answer, roughly. */
const OVERHEAD_BYTES = 512;

export class AnswerStore {
  readonly #maxBytes: number;
  readonly #answers = new Map<string, Answered>();
  #bytes = 0;

  constructor(options: { readonly maxBytes: number }) {
    this.#maxBytes = options.maxBytes;
  }

  add(name: string, answer: Answered): void {
    const bytes = countBytes(answer);
    if (bytes > MAX_ANSWER_BYTES || this.#answers.has(name)) {
      return;
    }
    this.#answers.set(name, answer);
    this.#bytes += bytes;
    for (const [oldest, old] of this.#answers) {
      if (this.#bytes <= this.#maxBytes) {
        break;
      }
      this.#answers.delete(oldest);
      this.#bytes -= countBytes(old);
    }
  }

  get(name: string): Answered | undefined {
    return this.#answers.get(name);
  }
}

function countBytes(answer: Answered): number {
  return answer.answer.body.byteLength + OVERHEAD_BYTES;
}
