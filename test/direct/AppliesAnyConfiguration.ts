import { FleetView, type ServingConfiguration } from '../../src/direct/index.js';

/** Faulty view that applies the last configuration, even an older one. */
export class AppliesAnyConfiguration extends FleetView {
  private last: ServingConfiguration | undefined;

  override get configuration(): ServingConfiguration | undefined {
    return this.last;
  }

  override applyConfiguration(configuration: ServingConfiguration): boolean {
    this.last = configuration;
    return super.applyConfiguration(configuration);
  }
}
