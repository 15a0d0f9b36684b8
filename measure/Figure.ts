/** One measured figure. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** Same measurement of the baseline, where there is one. */
  readonly baseline?: number;
  /** Stated target, where there is one. */
  readonly target?: string;
}

/** Digits to which figures are rounded. */
const FIGURE_DIGITS = 4;

/** Rounds a value to the digits that are shown. */
export function rounded(value: number): number {
  return Number(value.toPrecision(FIGURE_DIGITS));
}

/**
 * Gives a quantile of some values; 0 for none.
 * @param values - The values.
 * @param fraction - Quantile from 0 to 1.
 */
export function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0;
}
