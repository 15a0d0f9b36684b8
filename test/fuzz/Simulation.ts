import fc from 'fast-check';

/** Simulation that random commands drive, with an oracle that checks its invariants. */
export interface Simulation {
  /** Throws if an invariant is violated. */
  assertInvariants(): void;
}

/**
 * Creates an arbitrary of commands that run one kind of step with a random argument and then check the invariants.
 * @param name - Name of the step in the trace of a failure.
 * @param argument - Arbitrary of the argument.
 * @param run - Runs the step.
 */
export function commandArb<S extends Simulation, T>(
  name: string,
  argument: fc.Arbitrary<T>,
  run: (simulation: S, argument: T) => void,
): fc.Arbitrary<fc.Command<object, S>> {
  return argument.map((value) => ({
    check: () => true,
    run: (_model: object, simulation: S) => {
      run(simulation, value);
      simulation.assertInvariants();
    },
    toString: () => `${name}(${JSON.stringify(value)})`,
  }));
}

/** Property of a simulation, with mutants that violate it and that the fuzzer must detect. */
export interface FuzzedProperty<S extends Simulation> {
  readonly name: string;
  readonly commands: readonly fc.Arbitrary<fc.Command<object, S>>[];
  /** Creates a simulation of the production classes. */
  readonly create: () => S;
  /** Functions that create a simulation with an injected fault, by the name of the mutant. */
  readonly mutants: Readonly<Record<string, () => S>>;
  /** Completes all work in progress and checks the invariants that hold only afterwards. */
  readonly finish?: (simulation: S) => void;
  readonly maxCommands?: number;
}

/**
 * Runs random command sequences; the details contain the seed and the shrunk trace of a failure.
 * @param property - Property to check.
 * @param create - Creates the simulation: of the production classes or of a mutant.
 * @param seed - Seed of the random commands.
 * @param numRuns - Number of command sequences to run.
 */
export function fuzz<S extends Simulation>(
  property: FuzzedProperty<S>,
  create: () => S,
  seed: number,
  numRuns: number,
) {
  const commandSequences = fc.array(fc.oneof(...property.commands), {
    maxLength: property.maxCommands ?? 60,
    size: 'max',
  });
  const runnable = fc.property(commandSequences, (commands) => {
    const simulation = create();
    fc.modelRun(() => ({ model: {}, real: simulation }), commands);
    property.finish?.(simulation);
  });
  return fc.check(runnable, { seed, numRuns, endOnFailure: false });
}
