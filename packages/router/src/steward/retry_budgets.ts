/** One retry budget for each template, under its present policy. */
import type { RetryPolicy, Template } from "@lentilspur/declarations/template";
import { RetryBudget } from "@lentilspur/policy/retry_budget";

interface Budget {
  readonly policy: RetryPolicy;
  readonly budget: RetryBudget;
}

export class RetryBudgets {
  readonly #budgets = new Map<string, Budget>();

  /** The template's budget; a changed policy begins a new one. */
  claim(template: Template): RetryBudget {
    const { name, retry: policy } = template;
    const known = this.#budgets.get(name);
    if (known?.policy === policy) {
      return known.budget;
    }
    const budget = new RetryBudget(policy);
    this.#budgets.set(name, { policy, budget });
    return budget;
  }
}
