/** Measured value as it is printed. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** Value of the same measurement for the baseline, if there is one. */
  readonly baseline?: number;
  /** Condition that the value has to meet, if there is one. */
  readonly target?: string;
}

/** Significant digits of a printed figure. */
const FIGURE_DIGITS = 4;

/**
 * Rounds a value to the significant digits of a figure.
 * @param value - Value to round.
 */
export function roundFigure(value: number): number {
  return Number(value.toPrecision(FIGURE_DIGITS));
}

/**
 * Returns a quantile of the values, or 0 if there are none.
 * @param values - Values in any order.
 * @param fraction - Quantile from 0 to 1.
 */
export function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0;
}
