import { claimProperty } from './ClaimSimulation.js';
import { residencyProperty } from './ResidencySimulation.js';
import { responseProperty } from './ResponseSimulation.js';
import { schedulerProperty } from './SchedulerSimulation.js';
import { budgetProperty, pacerProperty, retryProperty, stateProperty } from './SharedResourceSimulations.js';
import type { FuzzedProperty, Simulation } from './Simulation.js';

/** All properties that the fuzz tests check. */
export const PROPERTIES = [
  residencyProperty(true),
  residencyProperty(false),
  claimProperty,
  schedulerProperty,
  responseProperty,
  stateProperty,
  budgetProperty,
  pacerProperty,
  retryProperty,
] as unknown as readonly FuzzedProperty<Simulation>[];
