import { build, type Histogram } from 'hdr-histogram-js';

/** Largest value that a histogram records, in milliseconds; larger ones are recorded as this one. */
const HIGHEST_TRACKABLE_MS = 3_600_000;
/** Number of significant decimal digits in a histogram. */
const SIGNIFICANT_DIGITS = 2;
/** Percentiles that are exposed. */
const EXPOSED_PERCENTILES = [50, 95, 99];

/** Counters, gauges and histograms of one process, exposed as Prometheus text. */
export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly gauges = new Map<string, () => number>();
  private readonly histograms = new Map<string, Histogram>();

  /**
   * Adds to a counter.
   * @param name - Name without the prefix `monsoonglade_`.
   * @param amount - Amount to add.
   */
  count(name: string, amount = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + amount);
  }

  /**
   * Registers a gauge, read whenever the metrics are exposed.
   * @param name - Name without the prefix `monsoonglade_`.
   * @param read - Returns the current value.
   */
  gauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /**
   * Removes a gauge.
   * @param name - Name without the prefix `monsoonglade_`.
   */
  removeGauge(name: string): void {
    this.gauges.delete(name);
  }

  /**
   * Records a duration.
   * @param name - Name without the prefix `monsoonglade_`.
   * @param durationMs - Duration in milliseconds.
   */
  recordMs(name: string, durationMs: number): void {
    const histogram = this.histograms.get(name) ?? this.createHistogram(name);
    histogram.recordValue(Math.min(HIGHEST_TRACKABLE_MS, Math.max(0, Math.round(durationMs))));
  }

  /** Returns all metrics in the Prometheus text format. */
  toPrometheusText(): string {
    const lines: string[] = [];
    for (const [name, value] of this.counters) {
      lines.push(`# TYPE monsoonglade_${name}_total counter`, `monsoonglade_${name}_total ${value}`);
    }
    for (const [name, read] of this.gauges) {
      lines.push(`# TYPE monsoonglade_${name} gauge`, `monsoonglade_${name} ${read()}`);
    }
    for (const [name, histogram] of this.histograms) {
      lines.push(`# TYPE monsoonglade_${name} summary`);
      for (const percentile of EXPOSED_PERCENTILES) {
        const value = histogram.getValueAtPercentile(percentile);
        lines.push(`monsoonglade_${name}{quantile="${percentile / 100}"} ${value}`);
      }
      lines.push(`monsoonglade_${name}_count ${histogram.totalCount}`);
    }
    return `${lines.join('\n')}\n`;
  }

  private createHistogram(name: string): Histogram {
    const histogram = build({
      highestTrackableValue: HIGHEST_TRACKABLE_MS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      bitBucketSize: 32,
    });
    this.histograms.set(name, histogram);
    return histogram;
  }
}
