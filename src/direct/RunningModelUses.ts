import type { ModelUseParams } from './messages.js';

/** Running requests on models, by address of the engine. */
export class RunningModelUses {
  private readonly usesByAddress = new Map<string, ModelUseParams[]>();

  /**
   * Records that a request starts or has ended.
   * @param address - Address of the engine.
   * @param event - Whether the request starts or has ended.
   * @param use - Model and kind of the request.
   */
  record(address: string, event: 'started' | 'ended', use: ModelUseParams): void {
    const uses = this.usesByAddress.get(address) ?? [];
    if (event === 'started') {
      uses.push(use);
      this.usesByAddress.set(address, uses);
      return;
    }
    const index = uses.findIndex(
      ({ model, isInteractive }) => model === use.model && isInteractive === use.isInteractive,
    );
    if (index >= 0) {
      uses.splice(index, 1);
    }
    if (uses.length === 0) {
      this.usesByAddress.delete(address);
    }
  }

  /**
   * Returns the running requests at an engine.
   * @param address - Address of the engine.
   */
  get(address: string): readonly ModelUseParams[] {
    return this.usesByAddress.get(address) ?? [];
  }
}
